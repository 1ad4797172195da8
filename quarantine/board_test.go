package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var noon = time.Unix(1_000_000, 0)

// print returns the fingerprint of a number.
func print(n int) Fingerprint { return Fingerprint{byte(n), byte(n >> 8)} }

// scene is a board and a clock.
type scene struct {
	board *Board
	now   time.Time
	ids   int
}

func newScene() *scene { return &scene{board: NewBoard(), now: noon} }

// crash has the next worker end under runs and returns what was held back.
func (s *scene) crash(runs ...Run) []Fingerprint {
	s.ids++
	return s.crashOf(fmt.Sprint("w", s.ids), runs...)
}

func (s *scene) crashOf(worker string, runs ...Run) []Fingerprint {
	s.board.Report(Crash{Worker: worker, Reporter: "e1", At: s.now, Runs: runs}, s.now)
	return s.judge()
}

func (s *scene) judge() []Fingerprint {
	s.now = s.now.Add(2 * time.Second)
	var held []Fingerprint
	for _, v := range s.board.Judge(s.now) {
		for _, h := range v.Hold {
			held = append(held, h.Fingerprint)
		}
	}
	return held
}

func begun(n int) Run     { return Run{Fingerprint: print(n), Stage: Begun} }
func producing(n int) Run { return Run{Fingerprint: print(n), Stage: Producing} }
func queued(n int) Run    { return Run{Fingerprint: print(n), Stage: Queued} }

func TestBoard_HoldsTheRequestThatWorkersBeganAsTheyEnded(t *testing.T) {
	s := newScene()
	must.SliceEmpty(t, s.crash(begun(1), producing(2), queued(3)))
	must.SliceEmpty(t, s.crash(begun(1), producing(2), queued(3)))
	must.Eq(t, []Fingerprint{print(1)}, s.crash(begun(1), producing(2), queued(3)))
}

// TestBoard_WaitsWhereTwoCantBeToldApart: two requests went together to the same three
// workers. One more crash tells which of them did it.
func TestBoard_WaitsWhereTwoCantBeToldApart(t *testing.T) {
	s := newScene()
	for range 3 {
		must.SliceEmpty(t, s.crash(begun(1), begun(2)))
	}
	must.Eq(t, []Fingerprint{print(1)}, s.crash(begun(1)))

	s = newScene()
	for range 4 {
		must.SliceEmpty(t, s.crash(begun(1), begun(2)))
	}
	must.Eq(t, []Fingerprint{print(1), print(2)}, s.crash(begun(1), begun(2)))
}

// TestBoard_CrashesOfAHeldRequestCountAgainstNobody: the ends of workers that it was held
// back for, and those under tries on their way then, tell nothing of what ran beside it.
func TestBoard_CrashesOfAHeldRequestCountAgainstNobody(t *testing.T) {
	s := newScene()
	s.crash(begun(1), begun(2))
	s.crash(begun(1), begun(2))
	s.crash(begun(1))
	s.crash(begun(1), begun(2))
	must.SliceEmpty(t, s.crash(begun(2)))
	must.SliceEmpty(t, s.crash(begun(2)))
	must.Eq(t, []Fingerprint{print(2)}, s.crash(begun(2)))
}

func TestBoard_ManyEndsBesideItHoldNobodyThatWaitsOrProduces(t *testing.T) {
	s := newScene()
	for range 11 {
		must.SliceEmpty(t, s.crash(producing(1), queued(2)))
	}
}

func TestBoard_OneCrashToldByManyIsOne(t *testing.T) {
	s := newScene()
	for worker := range 2 {
		for reporter := range 9 {
			r := Crash{Worker: fmt.Sprint(worker), Reporter: fmt.Sprint(reporter), At: s.now.Add(time.Duration(reporter) * time.Millisecond), Runs: []Run{begun(1)}}
			s.board.Report(r, s.now)
			s.board.Report(r, s.now) // sent again
		}
		must.SliceEmpty(t, s.judge())
	}
}

// TestBoard_WhatADaemonLosesLaterCounts: a slow daemon tells of one crash in two reports.
func TestBoard_WhatADaemonLosesLaterCounts(t *testing.T) {
	s := newScene()
	s.crash(begun(1))
	s.crash(begun(1))
	at := s.now
	must.SliceEmpty(t, s.crashOf("last", producing(2)))
	s.board.Report(Crash{Worker: "last", Reporter: "e1", At: at.Add(300 * time.Millisecond), Runs: []Run{begun(1)}}, s.now)
	must.Eq(t, []Fingerprint{print(1)}, s.judge())
	s.board.Report(Crash{Worker: "last", Reporter: "e1", At: at, Runs: []Run{begun(1), producing(2)}}, s.now)
	must.False(t, s.board.Unjudged(), must.Sprint("it was told before"))
}

// TestBoard_AWorkerThatStartsAgainUnderItsIDCountsAgain also has a report of an early crash
// come last, as it does where a new holder of the lease is told.
func TestBoard_AWorkerThatStartsAgainUnderItsIDCountsAgain(t *testing.T) {
	s := newScene()
	first := s.now
	must.SliceEmpty(t, s.crashOf("w", begun(1), begun(2)))
	must.SliceEmpty(t, s.crashOf("w", begun(1), begun(2)))
	s.board.Report(Crash{Worker: "w", Reporter: "e2", At: first.Add(5 * time.Millisecond), Runs: []Run{begun(3)}}, s.now)
	must.SliceEmpty(t, s.judge())
	must.Eq(t, []Fingerprint{print(1)}, s.crashOf("w", begun(1)))
}

func TestBoard_ReportsToldToANewHolderDecide(t *testing.T) {
	s := newScene()
	var reports []Crash
	for i := range 3 {
		reports = append(reports, Crash{Worker: fmt.Sprint(i), Reporter: fmt.Sprint("e", i), At: s.now.Add(time.Duration(-i) * time.Minute), Runs: []Run{begun(1)}})
	}
	for _, r := range reports {
		s.board.Report(r, s.now)
	}
	must.Eq(t, []Fingerprint{print(1)}, s.judge())
}

func TestBoard_WhatEndedWellIsInnocent(t *testing.T) {
	s := newScene()
	s.crash(begun(1), begun(2))
	s.crash(begun(1), begun(2))
	s.crash(begun(1))
	s.board.Clear(print(1))
	must.SliceEmpty(t, s.crash(begun(1)))
	must.Eq(t, []Fingerprint{print(2)}, s.crash(begun(1), begun(2)), must.Sprint("what an innocent one was held back for counts against others"))
}

func TestBoard_AReleasedRequestBeginsAnew(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crash(begun(1))
	}
	s.board.Release(print(1))
	must.SliceEmpty(t, s.crash(begun(1)))
	must.SliceEmpty(t, s.crash(begun(1)))
	must.Eq(t, []Fingerprint{print(1)}, s.crash(begun(1)))
}

// TestBoard_WhatGoesOnTogetherCountsLessInAStorm: two requests are lost with one worker
// after another, one of them crashes them. While many other workers end as well, a crash
// counts half where a request came from another worker.
func TestBoard_WhatGoesOnTogetherCountsLessInAStorm(t *testing.T) {
	again := begun(1)
	again.Again = true
	s := newScene()
	s.crash(begun(1))
	s.crash(again)
	must.Eq(t, []Fingerprint{print(1)}, s.crash(begun(1)))

	s = newScene()
	for n := range stormEnds {
		s.board.Report(Crash{Worker: fmt.Sprint("other", n), Reporter: "e1", At: s.now, Runs: []Run{begun(n + 9)}}, s.now)
	}
	s.crash(begun(1))
	s.crash(again)
	must.SliceEmpty(t, s.crash(begun(1)))
	must.Eq(t, []Fingerprint{print(1)}, s.crash(begun(1)))
}

func TestBoard_CrashesAreForgotten(t *testing.T) {
	s := newScene()
	s.crash(begun(1))
	s.crash(begun(1))
	s.now = s.now.Add(life)
	must.SliceEmpty(t, s.crash(begun(1)))
	for range 2 * mostCrashes {
		s.crash(begun(2))
	}
	must.LessEq(t, mostCrashes, len(s.board.crashes))
}

func TestBoard_AVerdictNamesTheWorst(t *testing.T) {
	s := newScene()
	s.crash(begun(1), producing(2))
	s.board.Report(Crash{Worker: "last", Reporter: "e1", At: s.now, Runs: []Run{begun(1), producing(2), queued(3), queued(4)}}, s.now)
	must.True(t, s.board.Unjudged())
	must.SliceEmpty(t, s.board.Judge(s.now), must.Sprint("others may still tell of it"))
	verdicts := s.board.Judge(s.now.Add(settle))
	must.False(t, s.board.Unjudged())
	must.SliceLen(t, 1, verdicts)
	v := verdicts[0]
	must.EqOp(t, 4, v.Runs)
	must.SliceLen(t, mostSuspects, v.Suspects)
	must.Eq(t, Suspect{Fingerprint: print(1), Charge: 2, Workers: []string{"w1", "last"}}, v.Suspects[0])
	must.True(t, slices.IsSortedFunc(v.Suspects, func(a, b Suspect) int { return int(b.Charge*4 - a.Charge*4) }))
}

// BenchmarkBoard_Crash is one more crash at a full board, told by as many daemons as have
// requests there.
func BenchmarkBoard_Crash(b *testing.B) {
	const requests = 34
	board := NewBoard()
	now := noon
	crash := func(n int) {
		for i := range requests {
			run := Run{Fingerprint: print(n*requests + i), Stage: Producing}
			board.Report(Crash{Worker: fmt.Sprint(n), Reporter: fmt.Sprint(i), At: now, Runs: []Run{run}}, now)
		}
		now = now.Add(settle)
		board.Judge(now)
	}
	for n := range mostCrashes {
		crash(n)
	}
	b.ReportAllocs()
	n := mostCrashes
	for b.Loop() {
		crash(n)
		n++
	}
}
