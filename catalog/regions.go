package catalog

import (
	"slices"
	"strings"
)

// Regions are the regions where requests may run; none bounds nothing.
type Regions []string

// Allow tells whether a region is allowed.
func (r Regions) Allow(region string) bool { return len(r) == 0 || slices.Contains(r, region) }

// RegionSet is a set of regions that can be the key of a map. The zero value bounds
// nothing.
type RegionSet struct {
	// names are the regions in order, each between two separators.
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

// Shared returns the regions that two lists allow, both of which bind, and false if there
// are none.
func Shared(a, b Regions) (RegionSet, bool) {
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

// Allow tells whether a region is allowed.
func (s RegionSet) Allow(region string) bool {
	return s.names == "" || strings.Contains(s.names, regionSeparator+region+regionSeparator)
}

// Overlaps tells whether some region is in both sets.
func (s RegionSet) Overlaps(other RegionSet) bool {
	if s.names == "" || other.names == "" {
		return true
	}
	return slices.ContainsFunc(other.Names(), s.Allow)
}

// Names returns the regions in order, none if nothing is bounded.
func (s RegionSet) Names() []string {
	if s.names == "" {
		return nil
	}
	return strings.Split(strings.Trim(s.names, regionSeparator), regionSeparator)
}
