package catalog

import (
	"slices"
	"strings"
)

// Regions are the regions in which requests may run. An empty list allows all.
type Regions []string

// Allow reports whether a region is allowed.
func (r Regions) Allow(region string) bool { return len(r) == 0 || slices.Contains(r, region) }

// RegionSet is a set of regions that is usable as a map key. The zero value allows all
// regions.
type RegionSet struct {
	// names are the sorted regions, each between two separators.
	names string
}

const regionSeparator = "\x00"

// NewRegionSet returns a set of regions, the zero value if there are none.
func NewRegionSet(regions []string) RegionSet {
	if len(regions) == 0 {
		return RegionSet{}
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	return RegionSet{names: regionSeparator + strings.Join(sorted, regionSeparator) + regionSeparator}
}

// Intersect returns the regions that both lists allow, and false if there are none.
func Intersect(a, b Regions) (RegionSet, bool) {
	if len(a) == 0 {
		return NewRegionSet(b), true
	}
	var both []string
	for _, region := range a {
		if b.Allow(region) {
			both = append(both, region)
		}
	}
	return NewRegionSet(both), len(both) > 0
}

// Allow reports whether a region is allowed.
func (s RegionSet) Allow(region string) bool {
	return s.names == "" || strings.Contains(s.names, regionSeparator+region+regionSeparator)
}

// Overlaps reports whether both sets allow some region.
func (s RegionSet) Overlaps(other RegionSet) bool {
	if s.names == "" || other.names == "" {
		return true
	}
	return slices.ContainsFunc(other.Names(), s.Allow)
}

// Names returns the regions in order, none if all are allowed.
func (s RegionSet) Names() []string {
	if s.names == "" {
		return nil
	}
	return strings.Split(strings.Trim(s.names, regionSeparator), regionSeparator)
}
