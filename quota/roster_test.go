package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// table is the table of the daemons' rows as it was at any time, for two daemons "x" and
// "d". Times are in seconds.
type table struct {
	// x are the times at which x's row was written and went, in turns.
	x []float64
}

func second(s float64) time.Time { return noon.Add(time.Duration(s * float64(time.Second))) }

// asOf returns the rows at a time.
func (tb table) asOf(at float64) map[string]uint64 {
	rows := map[string]uint64{"d": 1}
	for i, change := range tb.x {
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

// see has a daemon learn the table as it is, at each of some times.
func (tb table) see(r *Roster, times ...float64) {
	for _, at := range times {
		r.Learn(View{Rows: tb.asOf(at), Evidence: second(at)}, second(at))
	}
}

// steps returns times from one to another.
func steps(from, to, by float64) []float64 {
	var times []float64
	for at := from; at <= to; at += by {
		times = append(times, at)
	}
	return times
}

// TestRoster_OfTwoActiveEachCountsTheOther: each case is what one guard is for. "d" views
// the table as seldom as it may, "x" often.
func TestRoster_OfTwoActiveEachCountsTheOther(t *testing.T) {
	cases := []struct {
		name   string
		table  table
		xs, ds []float64
		at     float64
	}{
		{"a row that others haven't seen", table{[]float64{20}}, steps(0, 20.2, 0.1), append(steps(0, 19.9, 0.5), 19.9), 20.3},
		{"a row that came and went between views", table{[]float64{20, 22.7}}, steps(0, 22.6, 0.2), append(steps(0, 19.9, 0.5), 19.95, 22.8, 25.1), 25.5},
		{"a row that came and went during a gap", table{[]float64{11, 29.5}}, steps(0, 29.4, 0.2), append(steps(0, 10, 0.5), 30), 30.1},
		{"a row that was written anew during a gap", table{[]float64{0, 5, 19.9, 22.6}}, append(steps(0, 4, 0.5), steps(20, 22.5, 0.25)...), append(steps(0, 19.85, 0.5), 19.85, 22.7, 25.2), 25.5},
		{"a row that has just gone", table{[]float64{0, 20}}, steps(0, 19.9, 0.1), steps(0, 20.5, 0.5), 20.6},
		{"a row that went a while ago", table{[]float64{0, 20}}, steps(0, 19.9, 0.1), steps(0, 22.5, 0.5), 22.7},
		{"a row that was never there", table{}, steps(0, 20, 0.5), steps(0, 20, 0.5), 20.1},
		{"old evidence", table{[]float64{0, 10}}, steps(0, 9.9, 0.1), steps(0, 20, 0.5), 20.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x, d := NewRoster("x", wide.margin), NewRoster("d", wide.margin)
			c.table.see(x, c.xs...)
			c.table.see(d, c.ds...)
			at := second(c.at)
			_, counted, active := d.Place("w", at)
			if active && x.Standing(at) == Active {
				must.EqOp(t, 2, counted, must.Sprint("both send, and one doesn't know of the other"))
			}
		})
	}
}

func TestRoster_TellsWhyItIsNotActive(t *testing.T) {
	r := NewRoster("x", wide.margin)
	must.EqOp(t, Uninformed, r.Standing(noon))
	tb := table{[]float64{0}}
	tb.see(r, steps(0, 4, 0.5)...)
	must.EqOp(t, Resuming, r.Standing(second(4)))
	tb.see(r, steps(4, 6, 0.5)...)
	must.EqOp(t, Unannounced, r.Standing(second(6)))
	tb.see(r, steps(6, 9, 0.5)...)
	must.EqOp(t, Active, r.Standing(second(9)))
	must.EqOp(t, Uninformed, r.Standing(second(13)))
	tb.see(r, 13)
	must.EqOp(t, Resuming, r.Standing(second(13)))
	tb.see(r, steps(13, 18.5, 0.5)...)
	must.EqOp(t, Active, r.Standing(second(18.5)), must.Sprint("its row was there all along"))
}

// TestRoster_WorkersHaveTheirOwnDaemons: the places of workers are spread evenly.
func TestRoster_WorkersHaveTheirOwnDaemons(t *testing.T) {
	r := NewRoster("x", wide.margin)
	rows := map[string]uint64{"x": 1}
	for i := range 89 {
		rows["edge-"+string(rune('a'+i%26))+string(rune('a'+i/26))] = 1
	}
	for _, at := range steps(0, 10, 0.5) {
		r.Learn(View{Rows: rows, Evidence: second(at)}, second(at))
	}
	first := 0
	for i := range 6000 {
		rank, count, active := r.Place("i-"+time.Duration(i).String(), second(10))
		must.True(t, active)
		must.EqOp(t, 90, count)
		if rank < 15 {
			first++
		}
	}
	must.Between(t, 850, first, 1150) // a sixth of 6000, four deviations wide
}
