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
	must.SliceEmpty(t, Upstreams(all[7], all, oneRegion), must.Sprint("it asks the store for all"))
	must.True(t, Relays(all[7], all))
	must.SliceEmpty(t, Upstreams(all[21], all, oneRegion), must.Sprint("its hall has few"))
	must.False(t, Relays(all[21], all))
	relays := 0
	for _, m := range all[:20] {
		up := Upstreams(m, all, oneRegion)
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
				must.SliceEmpty(t, Upstreams(m, all, oneRegion))
			} else if len(Upstreams(m, all, oneRegion)) == 1 {
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
		up := Upstreams(m, all, oneRegion)
		must.Len(t, relaysPerHall+2, up)
		for i, relay := range up {
			must.EqOp(t, i < relaysPerHall, relay.Hall == m.Hall)
			must.True(t, Relays(relay, all))
		}
		must.NotEq(t, up[relaysPerHall].Hall, up[relaysPerHall+1].Hall)
		next[up[relaysPerHall].Hall]++
	}
	must.MapLen(t, 2, next)
	must.SliceEmpty(t, Upstreams(all[60], all, oneRegion))
}

// TestUpstreams_OneRootAsksTheStoreForARegion: of 5 halls of 200 daemons one asks the store
// and nine that relay ask it, also where the regions are two, each with its own.
func TestUpstreams_OneRootAsksTheStoreForARegion(t *testing.T) {
	var all []Member
	for h := range 5 {
		for i := range 200 {
			name := strconv.Itoa(h) + "-" + strconv.Itoa(i)
			all = append(all, Member{Name: name, Addr: "a" + name, Hall: strconv.Itoa(h), Cores: 0.2 + float64(i%20/19)})
		}
	}
	twoRegions := func(hall string) string { return map[string]string{"0": "east", "1": "east"}[hall] }
	for regions, region := range map[int]Region{1: oneRegion, 2: twoRegions} {
		roots := 0
		for _, m := range all {
			up := Upstreams(m, all, region)
			must.EqOp(t, len(up) == 0, IsRoot(m, all, region), must.Sprint(m.Name))
			switch {
			case len(up) == 0:
				roots++
				must.EqOp(t, 1.2, m.Cores)
			case Relays(m, all):
				must.True(t, IsRoot(up[0], all, region), must.Sprint(m.Name))
				must.EqOp(t, region(m.Hall), region(up[0].Hall))
			default:
				must.EqOp(t, m.Hall, up[0].Hall)
			}
		}
		must.EqOp(t, regions, roots)
	}
}
