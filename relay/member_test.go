package relay

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// oneRegion puts all halls into one region.
func oneRegion(string) string { return "" }

func TestUpstreams(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
	}
	all[7].Cores = 0.8
	all = append(all, Member{Name: "mute", Hall: "z", Cores: 2}, Member{Name: "far", Addr: "f", Hall: "other", Cores: 2})
	must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(all[7]), must.Sprint("the first relay reads from the store for all"))
	must.True(t, IsRelay(all[7], all))
	must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(all[21]), must.Sprint("alone in its hall"))
	must.False(t, IsRelay(all[21], all))
	relays := 0
	for _, m := range all[:20] {
		up := Fleet{Members: all, Region: oneRegion}.Upstreams(m)
		if IsRelay(m, all) {
			relays++
			must.Less(t, relaysPerHall, len(up), must.Sprint("relays don't read from each other in a cycle"))
			continue
		}
		must.Len(t, relaysPerHall, up)
		must.EqOp(t, "e7", up[0].Name)
	}
	must.EqOp(t, relaysPerHall, relays)
}

// Guards against a small hall with more than one relay. The others read from that relay,
// then from those of other halls. A daemon alone in its hall reads from the store.
func TestUpstreams_SmallHallHasOneRelay(t *testing.T) {
	for n := 1; n <= maxMembersForOneRelay; n++ {
		var all []Member
		for i := range n {
			all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
		}
		relays, followers := 0, 0
		for _, m := range all {
			if IsRelay(m, all) {
				relays++
				must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(m))
			} else if len(Fleet{Members: all, Region: oneRegion}.Upstreams(m)) == 1 {
				followers++
			}
		}
		must.EqOp(t, min(n-1, 1), relays, must.Sprint(n))
		must.EqOp(t, n-1, followers, must.Sprint(n))
	}
}

// Guards against a hall whose relays fail falling back to the store, or to a single relay.
// Its daemons read from the first relays of other halls, distributed over these. Small
// halls have none.
func TestUpstreams_FallBackToOtherHalls(t *testing.T) {
	var all []Member
	for _, hall := range []string{"x", "y", "z"} {
		for i := range 20 {
			name := hall + strconv.Itoa(i)
			all = append(all, Member{Name: name, Addr: "a" + name, Hall: hall, Cores: 0.2})
		}
	}
	all = append(all, Member{Name: "few", Addr: "f", Hall: "few", Cores: 2})
	fallbacks := map[string]int{}
	for _, m := range all[:20] {
		if IsRelay(m, all) {
			continue
		}
		up := Fleet{Members: all, Region: oneRegion}.Upstreams(m)
		must.Len(t, relaysPerHall+2, up)
		for i, relay := range up {
			must.EqOp(t, i < relaysPerHall, relay.Hall == m.Hall)
			must.True(t, IsRelay(relay, all))
		}
		must.NotEq(t, up[relaysPerHall].Hall, up[relaysPerHall+1].Hall)
		fallbacks[up[relaysPerHall].Hall]++
	}
	must.MapLen(t, 2, fallbacks)
	must.SliceEmpty(t, Fleet{Members: all, Region: oneRegion}.Upstreams(all[60]))
}

// Guards against several daemons of a region reading from the store. In a region of 5 halls
// of 200 daemons one does, the lease holder if there is one, and the relays read from it.
// With two regions, each has its own.
func TestUpstreams_OneRootPerRegion(t *testing.T) {
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
				case IsRelay(m, all):
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
