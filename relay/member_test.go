package relay

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

func TestUpstreams(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
	}
	all[7].Cores = 0.8
	all = append(all, Member{Name: "mute", Hall: "z", Cores: 2}, Member{Name: "far", Addr: "f", Hall: "other", Cores: 2})
	must.SliceEmpty(t, Upstreams(all[7], all), must.Sprint("it asks the store for all"))
	must.True(t, Relays(all[7], all))
	must.SliceEmpty(t, Upstreams(all[21], all), must.Sprint("its hall has few"))
	must.False(t, Relays(all[21], all))
	relays := 0
	for _, m := range all[:20] {
		up := Upstreams(m, all)
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
				must.SliceEmpty(t, Upstreams(m, all))
			} else if len(Upstreams(m, all)) == 1 {
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
		up := Upstreams(m, all)
		must.Len(t, relaysPerHall+2, up)
		for i, relay := range up {
			must.EqOp(t, i < relaysPerHall, relay.Hall == m.Hall)
			must.True(t, Relays(relay, all))
		}
		must.NotEq(t, up[relaysPerHall].Hall, up[relaysPerHall+1].Hall)
		next[up[relaysPerHall].Hall]++
	}
	must.MapLen(t, 2, next)
	must.SliceEmpty(t, Upstreams(all[60], all))
}
