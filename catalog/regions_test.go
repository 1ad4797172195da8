package catalog

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRegionSet_IsComparable(t *testing.T) {
	must.EqOp(t, NewRegionSet([]string{"b", "a", "b"}), NewRegionSet([]string{"a", "b"}))
	must.NotEqOp(t, NewRegionSet([]string{"ab"}), NewRegionSet([]string{"a", "b"}))
	must.EqOp(t, RegionSet{}, NewRegionSet(nil))
	must.Eq(t, []string{"a", "b"}, NewRegionSet([]string{"b", "a"}).Names())
	must.SliceEmpty(t, RegionSet{}.Names())
}

func TestRegionSet_AllowsListedRegions(t *testing.T) {
	s := NewRegionSet([]string{"north", "south"})
	must.True(t, s.Allow("north"))
	must.False(t, s.Allow("nor"))
	must.False(t, s.Allow(""), must.Sprint("an unknown region"))
	must.True(t, RegionSet{}.Allow(""))
}

func TestRegionSet_Overlaps(t *testing.T) {
	north, both, south := NewRegionSet([]string{"north"}), NewRegionSet([]string{"south", "north"}), NewRegionSet([]string{"south"})
	must.True(t, north.Overlaps(both))
	must.True(t, both.Overlaps(south))
	must.False(t, north.Overlaps(south))
	must.True(t, RegionSet{}.Overlaps(south))
	must.True(t, south.Overlaps(RegionSet{}))
}

func TestShared_AllowsRegionsOfBoth(t *testing.T) {
	for _, c := range []struct {
		a, b Regions
		want []string
		any  bool
	}{
		{nil, nil, nil, true},
		{Regions{"a"}, nil, []string{"a"}, true},
		{nil, Regions{"b", "a"}, []string{"a", "b"}, true},
		{Regions{"a", "b"}, Regions{"c", "b"}, []string{"b"}, true},
		{Regions{"a"}, Regions{"b"}, nil, false},
	} {
		set, found := Intersect(c.a, c.b)
		must.EqOp(t, c.any, found)
		must.Eq(t, c.want, set.Names())
	}
}
