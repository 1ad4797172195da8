package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// table is the history of the table of the daemons' rows, for two daemons "x" and "d".
// Times are in seconds.
type table struct {
	// xChanges are the times at which x's row was written and removed, in turns.
	xChanges []float64
}

func second(s float64) time.Time { return noon.Add(time.Duration(s * float64(time.Second))) }

// asOf returns the rows at the given time.
func (tb table) asOf(at float64) map[string]uint64 {
	rows := map[string]uint64{"d": 1}
	for i, change := range tb.xChanges {
		if change > at {
			break
		}
		delete(rows, "x")
		if i%2 == 0 {
			rows["x"] = uint64(i + 2)
		}
	}
	return rows
}

// update updates a roster with the table at each of the given times.
func (tb table) update(r *Roster, times ...float64) {
	for _, at := range times {
		r.Learn(View{Rows: tb.asOf(at), Evidence: second(at)}, second(at))
	}
}

// steps returns the times from one to another at a fixed step.
func steps(from, to, step float64) []float64 {
	var times []float64
	for at := from; at <= to; at += step {
		times = append(times, at)
	}
	return times
}

// TestRoster_TwoActiveDaemonsCountEachOther guards against two daemons that both send without
// counting each other. Each case needs one of the conditions for being active. "d" views
// the table as seldom as is allowed, "x" often.
func TestRoster_TwoActiveDaemonsCountEachOther(t *testing.T) {
	cases := []struct {
		name           string
		table          table
		xViews, dViews []float64
		at             float64
	}{
		{"a row that others haven't seen", table{[]float64{20}}, steps(0, 20.2, 0.1), append(steps(0, 19.9, 0.5), 19.9), 20.3},
		{"a row written and removed between views", table{[]float64{20, 22.7}}, steps(0, 22.6, 0.2), append(steps(0, 19.9, 0.5), 19.95, 22.8, 25.1), 25.5},
		{"a row written and removed during a gap", table{[]float64{11, 29.5}}, steps(0, 29.4, 0.2), append(steps(0, 10, 0.5), 30), 30.1},
		{"a row written anew during a gap", table{[]float64{0, 5, 19.9, 22.6}}, append(steps(0, 4, 0.5), steps(20, 22.5, 0.25)...), append(steps(0, 19.85, 0.5), 19.85, 22.7, 25.2), 25.5},
		{"a row removed just now", table{[]float64{0, 20}}, steps(0, 19.9, 0.1), steps(0, 20.5, 0.5), 20.6},
		{"a row removed a while ago", table{[]float64{0, 20}}, steps(0, 19.9, 0.1), steps(0, 22.5, 0.5), 22.7},
		{"a row never written", table{}, steps(0, 20, 0.5), steps(0, 20, 0.5), 20.1},
		{"old evidence", table{[]float64{0, 10}}, steps(0, 9.9, 0.1), steps(0, 20, 0.5), 20.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x, d := NewRoster("x", wide.margin, MaxEvidenceAge), NewRoster("d", wide.margin, MaxEvidenceAge)
			c.table.update(x, c.xViews...)
			c.table.update(d, c.dViews...)
			at := second(c.at)
			_, count, active := d.Place("w", at)
			if active && x.Standing(at) == Active {
				must.EqOp(t, 2, count, must.Sprint("both send, and one doesn't count the other"))
			}
		})
	}
}

func TestRoster_ReportsWhyItIsNotActive(t *testing.T) {
	r := NewRoster("x", wide.margin, MaxEvidenceAge)
	must.EqOp(t, Uninformed, r.Standing(noon))
	tb := table{[]float64{0}}
	tb.update(r, steps(0, 4, 0.5)...)
	must.EqOp(t, Resuming, r.Standing(second(4)))
	tb.update(r, steps(4, 6, 0.5)...)
	must.EqOp(t, Unannounced, r.Standing(second(6)))
	tb.update(r, steps(6, 9, 0.5)...)
	must.EqOp(t, Active, r.Standing(second(9)))
	must.EqOp(t, Uninformed, r.Standing(second(13)))
	tb.update(r, 13)
	must.EqOp(t, Resuming, r.Standing(second(13)))
	tb.update(r, steps(13, 18.5, 0.5)...)
	must.EqOp(t, Active, r.Standing(second(18.5)), must.Sprint("its row was listed throughout"))
}

// TestRoster_DistributesWorkersOverDaemons guards against daemons that get the low ranks of
// too many or too few workers.
func TestRoster_DistributesWorkersOverDaemons(t *testing.T) {
	r := NewRoster("x", wide.margin, MaxEvidenceAge)
	rows := map[string]uint64{"x": 1}
	for i := range 89 {
		rows["edge-"+string(rune('a'+i%26))+string(rune('a'+i/26))] = 1
	}
	for _, at := range steps(0, 10, 0.5) {
		r.Learn(View{Rows: rows, Evidence: second(at)}, second(at))
	}
	lowRanks := 0
	for i := range 6000 {
		rank, count, active := r.Place("i-"+time.Duration(i).String(), second(10))
		must.True(t, active)
		must.EqOp(t, 90, count)
		if rank < 15 {
			lowRanks++
		}
	}
	must.Between(t, 850, lowRanks, 1150) // a sixth of 6000, plus or minus about five standard deviations
}
