package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// TestPlanner_WarmMemberIsHead checks that the head of each group is warm, unless all its
// members are cold, while five of eight workers are.
func TestPlanner_WarmMemberIsHead(t *testing.T) {
	w := newWorld(3, 8)
	left := func(worker string) time.Duration {
		n := 0
		for _, c := range worker[1:] {
			n = 10*n + int(c-'0')
		}
		if n%8 < 5 {
			return time.Duration(1+n%3) * time.Second
		}
		return 0
	}
	p := NewPlanner(1, testCeiling)
	w.step()
	p.Plan(Situation{Now: w.now, View: w.view, Services: []*catalog.Service{w.service}, Idle: true, Failing: w.failing, ColdLeft: left})
	w.now = w.now.Add(settleDebounce)
	p.Plan(Situation{Now: w.now, View: w.view, Services: []*catalog.Service{w.service}, Idle: true, Failing: w.failing, ColdLeft: left})
	must.MapNotEmpty(t, p.forming)
	for _, f := range p.forming {
		for _, m := range f.members {
			must.LessEq(t, left(m), left(f.members[0]), must.Sprint(f.members))
		}
	}
}

func TestWarmHeadFirst_KeepsOrderOfOthers(t *testing.T) {
	r := &round{coldLeft: func(worker string) time.Duration {
		return map[string]time.Duration{"a": 2, "b": 2, "c": 1, "d": 1}[worker]
	}}
	members := []workers.Worker{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	var ids []string
	for _, m := range r.warmHeadFirst(members) {
		ids = append(ids, m.ID)
	}
	must.Eq(t, []string{"c", "a", "b", "d"}, ids)
	must.EqOp(t, "a", members[0].ID, must.Sprint("the caller's list is not changed"))
}
