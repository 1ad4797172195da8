package relay

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// oneRegion has all halls in one region.
func oneRegion(string) string { return "" }

func TestUpstreams(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
	}
	all[7].Cores = 0.8
	all = append(all, Member{Name: "mute", Hall: "z", Cores: 2}, Member{Name: "far", Addr: "f", Hall: "other", Cores: 2})
	must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(all[7]), must.Sprint("it asks the store for all"))
	must.True(t, Relays(all[7], all))
	must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(all[21]), must.Sprint("its hall has few"))
	must.False(t, Relays(all[21], all))
	relays := 0
	for _, m := range all[:20] {
		up := Fleet{Members: all, Region: oneRegion}.Upstreams(m)
		if Relays(m, all) {
			relays++
			must.Less(t, relaysPerHall, len(up), must.Sprint("relays don't ask each other in a circle"))
			continue
		}
		must.Len(t, relaysPerHall, up)
		must.EqOp(t, "e7", up[0].Name)
	}
	must.EqOp(t, relaysPerHall, relays)
}

// TestUpstreams_OneRelaysInASmallHall: the others ask it, then other halls' relays. A
// daemon alone in its hall asks the store.
func TestUpstreams_OneRelaysInASmallHall(t *testing.T) {
	for n := 1; n <= fewMembers; n++ {
		var all []Member
		for i := range n {
			all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
		}
		relays, asking := 0, 0
		for _, m := range all {
			if Relays(m, all) {
				relays++
				must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(m))
			} else if len(Fleet{Members: all, Region: oneRegion}.Upstreams(m)) == 1 {
				asking++
			}
		}
		must.EqOp(t, min(n-1, 1), relays, must.Sprint(n))
		must.EqOp(t, n-1, asking, must.Sprint(n))
	}
}

// TestUpstreams_GoOnToOtherHalls: where a hall's relays can't be relied on, its
// daemons ask the first relays of other halls, not all of them the same one, and not
// the store. Halls with few daemons have none.
func TestUpstreams_GoOnToOtherHalls(t *testing.T) {
	var all []Member
	for _, hall := range []string{"x", "y", "z"} {
		for i := range 20 {
			name := hall + strconv.Itoa(i)
			all = append(all, Member{Name: name, Addr: "a" + name, Hall: hall, Cores: 0.2})
		}
	}
	all = append(all, Member{Name: "few", Addr: "f", Hall: "few", Cores: 2})
	next := map[string]int{}
	for _, m := range all[:20] {
		if Relays(m, all) {
			continue
		}
		up := Fleet{Members: all, Region: oneRegion}.Upstreams(m)
		must.Len(t, relaysPerHall+2, up)
		for i, relay := range up {
			must.EqOp(t, i < relaysPerHall, relay.Hall == m.Hall)
			must.True(t, Relays(relay, all))
		}
		must.NotEq(t, up[relaysPerHall].Hall, up[relaysPerHall+1].Hall)
		next[up[relaysPerHall].Hall]++
	}
	must.MapLen(t, 2, next)
	must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(all[60]))
}

// TestUpstreams_OneRootAsksTheStoreForARegion: of 5 halls of 200 daemons one asks the store
// and those that relay ask it: the holder of the lease, if it is known. So it is where the regions are two, each with its own.
func TestUpstreams_OneRootAsksTheStoreForARegion(t *testing.T) {
	var all []Member
	for h := range 5 {
		for i := range 200 {
			name := strconv.Itoa(h) + "-" + strconv.Itoa(i)
			all = append(all, Member{Name: name, Addr: "a" + name, Hall: strconv.Itoa(h), Cores: 0.2 + float64(i%20/19)})
		}
	}
	twoRegions := func(hall string) string { return map[string]string{"0": "east", "1": "east"}[hall] }
	for regions, region := range map[int]func(string) string{1: oneRegion, 2: twoRegions} {
		for _, holder := range []string{"", "3-7", "gone"} {
			fleet := Fleet{Members: all, Region: region, Holder: holder}
			roots := 0
			for _, m := range all {
				up := fleet.Upstreams(m)
				must.EqOp(t, len(up) == 0, fleet.IsRoot(m), must.Sprint(m.Name))
				switch {
				case len(up) == 0:
					roots++
					must.True(t, m.Cores == 1.2 || m.Name == holder)
				case Relays(m, all):
					must.True(t, fleet.IsRoot(up[0]), must.Sprint(m.Name))
					must.EqOp(t, region(m.Hall), region(up[0].Hall))
					must.EqOp(t, holder == "3-7" && region(m.Hall) == region("3"), up[0].Name == holder)
				default:
					must.EqOp(t, m.Hall, up[0].Hall)
				}
			}
			must.EqOp(t, regions, roots)
		}
	}
}
