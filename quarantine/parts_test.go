package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestParts_HeldAfterCrashesOfDifferentRequests(t *testing.T) {
	s := newTestBoard()
	must.SliceEmpty(t, s.crashWith(lostWith(1, deadly, 11), producing(9)))
	must.SliceEmpty(t, s.crashWith(lostWith(2, deadly, 12), lostWith(8, 13)))
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostWith(3, deadly, 14), queued(9)))
}

// TestParts_DaemonsAreAskedBeforeAHold guards against holding back a part of sound requests that
// other daemons see output on.
func TestParts_DaemonsAreAskedBeforeAHold(t *testing.T) {
	s := newTestBoard()
	for n := range 3 {
		s.crash(lostWith(n, deadly, shared))
	}
	v := s.board.EvaluateParts(s.now)
	must.Eq(t, partSet(deadly, shared), v.Ask)
	must.SliceEmpty(t, v.Hold)
	must.True(t, s.board.Unjudged())
	s.output(shared)
	v = s.board.EvaluateParts(s.now.Add(askDelay))
	must.SliceEmpty(t, v.Ask)
	must.SliceLen(t, 1, v.Hold)
	must.Eq(t, partSet(deadly), v.Hold[0].Parts)
	must.False(t, s.board.Unjudged())
}

// TestParts_OutputTakesBackOnlyEarlierCrashes guards against taking a part for harmless because of
// output from before it began to crash workers.
func TestParts_OutputTakesBackOnlyEarlierCrashes(t *testing.T) {
	s := newTestBoard()
	s.output(deadly)
	must.SliceEmpty(t, s.crashWith(lostWith(1, deadly)))
	must.SliceEmpty(t, s.crashWith(lostWith(2, deadly)))
	s.output(deadly)
	must.SliceEmpty(t, s.crashWith(lostWith(3, deadly)))
	must.SliceEmpty(t, s.crashWith(lostWith(4, deadly)))
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostWith(5, deadly)))
}

// TestParts_HeldAtAnyStage guards against a part that crashes workers at another moment than right after the
// head of an answer: while requests wait, or after some output, which then proves nothing.
func TestParts_HeldAtAnyStage(t *testing.T) {
	for _, stage := range []Stage{Queued, Producing, Settled} {
		s := newTestBoard()
		for n := range 2 {
			if stage == Settled {
				s.settle(deadly)
			}
			must.SliceEmpty(t, s.crashWith(lostAt(stage, n, deadly, 10+n), lostAt(Settled, 20+n, shared)))
			s.output(shared)
		}
		must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostAt(stage, 3, deadly, 13)), must.Sprint(stage))
		must.SliceEmpty(t, s.settle(deadly), must.Sprint("a request may crash its worker later"))
	}
}

// TestParts_WaitsForRequestsUnderWay guards against holding back the parts of a fleet that has just started:
// no request has had the time to be completed, as many as are lost.
func TestParts_WaitsForRequestsUnderWay(t *testing.T) {
	s := newTestBoard()
	for n := range 4 {
		r := Crash{Worker: "w" + string(rune('a'+n)), Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostAt(Settled, n, shared)}}
		s.board.Report(r, s.now)
		s.now = s.now.Add(2 * simultaneousCrashes)
	}
	s.board.Evaluate(s.now.Add(judgeDelay))
	s.board.EvaluateParts(s.now)
	s.now = s.now.Add(askDelay)
	must.SliceEmpty(t, s.board.EvaluateParts(s.now).Hold)
	must.True(t, s.board.Unjudged())
	must.SliceLen(t, 1, s.board.EvaluateParts(s.now.Add(usualAnswerTime)).Hold)
	s.output(shared)
	must.SliceEmpty(t, s.board.EvaluateParts(s.now.Add(usualAnswerTime)).Hold)
}

// TestParts_CrashesCountLessWhereMany guards against holding back a sound part because so many workers end that
// its requests are lost by chance.
func TestParts_CrashesCountLessWhereMany(t *testing.T) {
	s := newTestBoard()
	s.board.SetWorkers(48)
	for n := range 4 {
		for other := range 24 {
			s.board.Report(Crash{Worker: fmt.Sprint("other", n, other), Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostAt(Settled, 100*n+other)}}, s.now)
		}
		must.SliceEmpty(t, s.crashWith(lostAt(Settled, n, shared)))
	}
	s = newTestBoard()
	s.board.SetWorkers(48)
	for n := range 2 {
		must.SliceEmpty(t, s.crashWith(lostAt(Settled, n, shared)))
	}
	must.SliceLen(t, 1, s.crashWith(lostAt(Settled, 3, shared)))
}

// TestParts_UnjudgedCrashesUnderAPartAreNoStorm guards against holding a part back late because further workers have
// just crashed under it: their crashes, not judged yet, were taken for ends of workers without the part.
func TestParts_UnjudgedCrashesUnderAPartAreNoStorm(t *testing.T) {
	s := newTestBoard()
	s.board.SetWorkers(6)
	for n := range 2 {
		must.SliceEmpty(t, s.crashWith(lostAt(Queued, n, deadly)))
	}
	s.crash(lostAt(Queued, 2, deadly))
	for n := range 3 {
		s.board.Report(Crash{Worker: fmt.Sprint("next", n), Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostAt(Queued, 10+n, deadly)}}, s.now)
	}
	v := s.board.EvaluateParts(s.now)
	must.SliceLen(t, 1, v.Hold)
	must.Eq(t, partSet(deadly), v.Hold[0].Parts)
}

// TestParts_CrashThatIsHalfReportedCountsLater guards against holding back a part that most prompts share, since a
// daemon that had no request with the deadly part there is the first to report a crash.
func TestParts_CrashThatIsHalfReportedCountsLater(t *testing.T) {
	s := newTestBoard()
	for n := range 2 {
		must.SliceEmpty(t, s.crashWith(lostWith(n, shared, deadly), lostWith(10+n, shared)))
	}
	s.now = s.now.Add(time.Second)
	s.board.Report(Crash{Worker: "w9", Reporter: "e2", At: s.now, LostRequests: []LostRequest{lostWith(12, shared)}}, s.now)
	must.SliceEmpty(t, s.board.EvaluateParts(s.now).Hold)
	s.board.Report(Crash{Worker: "w9", Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostWith(2, shared, deadly)}}, s.now)
	s.now = s.now.Add(judgeDelay)
	s.board.Evaluate(s.now)
	v := s.board.EvaluateParts(s.now)
	must.SliceLen(t, 1, v.Hold)
	must.Eq(t, partSet(shared, deadly), v.Hold[0].Parts)
}

// TestParts_RequestsSentToACrashedWorkerProveNothing guards against sound parts that are charged, and deadly ones that
// count less, since a crashed worker goes on to accept requests for some time.
func TestParts_RequestsSentToACrashedWorkerProveNothing(t *testing.T) {
	s := newTestBoard()
	s.board.SetWorkers(6)
	for n := range 3 {
		worker := fmt.Sprint("w", n)
		s.board.Report(Crash{Worker: worker, Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostAt(Queued, n, deadly)}}, s.now)
		s.now = s.now.Add(sameCrashWindow)
		s.board.Report(Crash{Worker: worker, Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostAt(Queued, 10+n, shared)}}, s.now)
		s.judge()
	}
	s.board.EvaluateParts(s.now)
	v := s.board.EvaluateParts(s.now.Add(askDelay))
	must.SliceLen(t, 1, v.Hold)
	must.Eq(t, partSet(deadly), v.Hold[0].Parts)
}

// TestParts_TiedPartsAreHeldTogether guards against holding back a sound part that came with the
// deadly one each time: only requests with both are held back until one crash tells them apart.
func TestParts_TiedPartsAreHeldTogether(t *testing.T) {
	s := newTestBoard()
	s.crashWith(lostWith(1, deadly, shared))
	s.crashWith(lostWith(2, deadly, shared))
	must.Eq(t, []PartSet{partSet(deadly, shared)}, s.crashWith(lostWith(3, deadly, shared)))
	must.SliceEmpty(t, s.output(shared), must.Sprint("output on one part doesn't clear both"))
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostWith(4, deadly, other)))
}

// TestParts_OneDeadlyRequestHoldsNoPart: a request that crashes workers by itself shares parts with
// sound requests, some of which run beside it.
func TestParts_OneDeadlyRequestHoldsNoPart(t *testing.T) {
	s := newTestBoard()
	for range 2 {
		must.SliceEmpty(t, s.crashWith(lostWith(1, shared, other), lostWith(2, shared)))
	}
	must.SliceEmpty(t, s.crashWith(lostWith(1, shared, other)))
	must.True(t, s.board.held[print(1)])
	must.SliceEmpty(t, s.crashWith(lostWith(1, shared, other), lostWith(3, shared)))
}

// TestParts_SoundRequestBesideADeadlyPartIsNotHeld guards against holding back a sound request that was lost
// beside the deadly part at each crash, as where few workers are left: its crashes then counted against the parts
// that it shares with all others, and no longer against the deadly one.
func TestParts_SoundRequestBesideADeadlyPartIsNotHeld(t *testing.T) {
	s := newTestBoard()
	sound := lostWith(1, shared, other)
	must.SliceEmpty(t, s.crashWith(sound, lostWith(2, shared, deadly)))
	must.SliceEmpty(t, s.crashWith(sound, lostWith(3, shared, deadly)))
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(sound, lostWith(4, shared, deadly)))
	must.MapEmpty(t, s.board.held)
}

// TestParts_NarrowerPartExplainsCrashes guards against holding back a part that all requests share, since no request
// is completed while few workers are left: at each crash sound requests had begun, and the deadly one still waited.
func TestParts_NarrowerPartExplainsCrashes(t *testing.T) {
	s := newTestBoard()
	var held []PartSet
	for n := range 3 {
		lost := []LostRequest{lostAt(Queued, n, shared, deadly), lostAt(Begun, 10+n, shared)}
		s.board.Report(Crash{Worker: fmt.Sprint("w", n), Reporter: "e1", At: s.now, LostRequests: lost}, s.now)
		s.board.EvaluateParts(s.now)
		s.now = s.now.Add(simultaneousCrashes)
	}
	for range 10 {
		s.board.Evaluate(s.now)
		for _, h := range s.board.EvaluateParts(s.now).Hold {
			held = append(held, h.Parts)
		}
		s.now = s.now.Add(judgeDelay / 3)
	}
	must.SliceNotEmpty(t, held)
	for _, parts := range held {
		must.SliceContains(t, parts, print(deadly))
	}
}

// TestParts_PartWithRareOnesBesideItIsHeld checks that a part which crashes workers is held back though all requests
// with it have further parts, each in fewer of them and in fewer of the crashes.
func TestParts_PartWithRareOnesBesideItIsHeld(t *testing.T) {
	s := newTestBoard()
	for n := range 2 {
		s.crashWith(lostWith(n, deadly, 510+n), lostWith(10+n, deadly, 530+n))
	}
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostWith(3, deadly, 520), lostWith(13, deadly, 521)))
}

// TestParts_SettledPartExplainsNoCrash checks that a request that crashes workers is held back after three, though
// others with a part of their own were lost at each: requests with that part are settled meanwhile.
func TestParts_SettledPartExplainsNoCrash(t *testing.T) {
	s := newTestBoard()
	for n := range 2 {
		must.SliceEmpty(t, s.crash(lostWith(1, other), lostWith(10+n, shared)))
		s.settle(shared)
	}
	must.Eq(t, []Fingerprint{print(1)}, s.crash(lostWith(1, other), lostWith(12, shared)))
}

// TestParts_SettledDeadlyPartExplainsCrashes guards against holding back a sound request that was lost beside requests
// which crash workers late in their answers: these are settled before each crash, and none is ever completed.
func TestParts_SettledDeadlyPartExplainsCrashes(t *testing.T) {
	s := newTestBoard()
	s.output(other)
	for n := range 4 {
		must.SliceEmpty(t, s.crash(lostWith(1, other), lostWith(10+n, deadly)))
		s.settle(deadly)
	}
	must.MapEmpty(t, s.board.held)
}

// TestParts_CompletedPartExplainsNoCrash checks that a request that crashes workers is held back after three, though
// others with a part of their own were lost at each: one with that part was completed once, and others were settled since.
func TestParts_CompletedPartExplainsNoCrash(t *testing.T) {
	s := newTestBoard()
	s.output(other)
	s.output(shared)
	for n := range 2 {
		must.SliceEmpty(t, s.crash(lostWith(1, other), lostWith(10+n, shared)))
		s.settle(shared)
	}
	must.Eq(t, []Fingerprint{print(1)}, s.crash(lostWith(1, other), lostWith(12, shared)))
}

// TestParts_RequestIsHeldWhateverExplainsItsCrashes checks that a request which crashes workers is held back after
// five at the latest.
func TestParts_RequestIsHeldWhateverExplainsItsCrashes(t *testing.T) {
	s := newTestBoard()
	for n := range 4 {
		must.SliceEmpty(t, s.crash(begun(1), lostWith(10+n, shared)))
	}
	must.Eq(t, []Fingerprint{print(1)}, s.crash(begun(1), lostWith(14, shared)))
}

// TestParts_SimultaneousCrashesCountOnce: a rack fails with requests that share a part on three of
// its workers.
func TestParts_SimultaneousCrashesCountOnce(t *testing.T) {
	s := newTestBoard()
	for n, worker := range []string{"a", "b", "c"} {
		s.board.Report(Crash{Worker: worker, Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostWith(n, shared)}}, s.now)
	}
	must.SliceEmpty(t, s.crashWith(lostWith(9)))
	must.SliceEmpty(t, s.crashWith(lostWith(4, shared)))
}

// TestParts_CrashesThatFollowFromAnotherCount guards against a part that crashes all workers of a small fleet at
// once, again and again: each request is sent to the next worker within milliseconds, and simultaneous crashes
// counted once.
func TestParts_CrashesThatFollowFromAnotherCount(t *testing.T) {
	s := newTestBoard()
	s.output(shared)
	held := s.crashInTurn(func(n int) []int { return []int{shared, deadly, 510 + n} })
	must.SliceNotEmpty(t, held)
	for _, parts := range held {
		must.SliceContains(t, parts, print(deadly))
	}
}

// crashAtOnce ends workers at the same moment, each with one of the given requests. It returns which sets of parts are
// held back within three seconds.
func (s *testBoard) crashAtOnce(lost ...LostRequest) []PartSet {
	for _, r := range lost {
		s.ids++
		s.board.Report(Crash{Worker: fmt.Sprint("w", s.ids), Reporter: "e1", At: s.now, LostRequests: []LostRequest{r}}, s.now)
	}
	var held []PartSet
	for range 30 {
		s.board.Evaluate(s.now)
		for _, h := range s.board.EvaluateParts(s.now).Hold {
			held = append(held, h.Parts)
		}
		s.now = s.now.Add(simultaneousCrashes)
	}
	return held
}

// TestParts_SimultaneousCrashesUnderANewPartCount guards against a part that crashes all workers of a small fleet
// within a moment, again and again: crashes under different requests counted once, though none with the part was ever
// completed and others were.
func TestParts_SimultaneousCrashesUnderANewPartCount(t *testing.T) {
	for _, stage := range []Stage{Queued, Begun, Producing, Settled} {
		s := newTestBoard()
		s.output(shared)
		held := s.crashAtOnce(lostAt(stage, 1, shared, deadly), lostAt(stage, 2, shared, deadly), lostAt(stage, 3, shared, deadly))
		must.Eq(t, []PartSet{partSet(deadly)}, held, must.Sprint(stage))
	}
}

// TestParts_RacksHoldNoNewPart guards against holding back a new part because a rack failed with requests that have it:
// a part with which others were completed meanwhile, one that was lost at few of many workers, and one that was lost
// again and again with the same request.
func TestParts_RacksHoldNoNewPart(t *testing.T) {
	s := newTestBoard()
	s.output(shared)
	s.output(other)
	must.SliceEmpty(t, s.crashAtOnce(lostWith(1, shared, other), lostWith(2, shared, other), lostWith(3, shared, other)))

	s = newTestBoard()
	s.board.SetWorkers(48)
	s.output(shared)
	lost := []LostRequest{lostAt(Queued, 1, shared, other), lostAt(Queued, 2, shared, other), lostAt(Queued, 3, shared, other)}
	for n := range stormCrashes {
		lost = append(lost, lostAt(Queued, 10+n, shared))
	}
	must.SliceEmpty(t, s.crashAtOnce(lost...))

	s = newTestBoard()
	s.output(shared)
	must.SliceEmpty(t, s.crashAtOnce(lostAt(Queued, 1, shared, other), lostAt(Queued, 1, shared, other), lostAt(Queued, 1, shared, other)))
}

// TestParts_RacksThatFailOneAfterAnotherHoldNothing guards against holding back a part because requests that were lost
// with one rack were sent to the next, which failed at nearly the same time: a part with which requests were completed
// before, or any part of a fleet that hasn't completed a request yet.
func TestParts_RacksThatFailOneAfterAnotherHoldNothing(t *testing.T) {
	s := newTestBoard()
	s.output(shared)
	must.SliceEmpty(t, s.crashInTurn(func(n int) []int { return []int{shared, 510 + n} }))
	s = newTestBoard()
	must.SliceEmpty(t, s.crashInTurn(func(n int) []int { return []int{shared, other, 510 + n} }))
}

func TestParts_OutputAfterTheHoldClears(t *testing.T) {
	s := newTestBoard()
	for n := range 3 {
		s.crashWith(lostWith(n, deadly))
	}
	s.now = s.now.Add(time.Millisecond)
	must.Eq(t, []PartSet{partSet(deadly)}, s.output(deadly))
	must.SliceEmpty(t, s.crashWith(lostWith(4, deadly)))
}

// TestParts_CrashesOfAHeldPartCountAgainstNobodyElse guards against blaming requests and parts that
// ran beside a request with a held part.
func TestParts_CrashesOfAHeldPartCountAgainstNobodyElse(t *testing.T) {
	s := newTestBoard()
	for n := range 3 {
		s.crashWith(lostWith(n, deadly), lostWith(10+n, other))
		s.output(other)
	}
	for n := range 3 {
		must.SliceEmpty(t, s.crashWith(lostWith(20+n, deadly), lostWith(7, shared), lostWith(30+n, shared)))
	}
	must.False(t, s.board.held[print(7)])
}

func TestParts_BoardIsBounded(t *testing.T) {
	s := newTestBoard()
	for n := range 2 * maxOutputs {
		s.board.Output(Output{Part: print(n), At: noon.Add(time.Duration(n) * time.Millisecond)})
	}
	must.LessEq(t, maxOutputs, len(s.board.parts.outputs))
	for n := range 3 * maxAsked {
		s.board.Report(Crash{Worker: "w", Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostWith(n, n)}}, s.now)
		s.board.Report(Crash{Worker: "x", Reporter: "e1", At: s.now.Add(time.Second), LostRequests: []LostRequest{lostWith(n, n)}}, s.now)
	}
	must.SliceLen(t, maxAsked, s.board.EvaluateParts(s.now).Ask)
}

// TestParts_ReleasedPartStartsWithoutCharge guards against holding back a part that an operator has
// released at the next crash of any worker that had begun a request with it.
func TestParts_ReleasedPartStartsWithoutCharge(t *testing.T) {
	s := newTestBoard()
	for n := range 3 {
		s.crashWith(lostWith(n, deadly))
	}
	s.board.Release(partSet(deadly).Fingerprint(), s.now)
	s.now = s.now.Add(time.Millisecond)
	must.SliceEmpty(t, s.crashWith(lostWith(11, deadly)))
	must.SliceEmpty(t, s.crashWith(lostWith(12, deadly)))
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostWith(13, deadly)))
}

// TestParts_ManySuspectsDoNotHideTheDeadlyOne guards against requests with so many parts that no
// further one is asked about, and so none is held back.
func TestParts_ManySuspectsDoNotHideTheDeadlyOne(t *testing.T) {
	s := newTestBoard()
	for n := range 3 * maxAsked {
		s.board.Report(Crash{Worker: "w", Reporter: "e1", At: s.now, LostRequests: []LostRequest{lostWith(n+1000, n+1000)}}, s.now)
		s.board.Report(Crash{Worker: "x", Reporter: "e1", At: s.now.Add(time.Second), LostRequests: []LostRequest{lostWith(n+1000, n+1000)}}, s.now)
	}
	s.board.EvaluateParts(s.now)
	s.crashWith(lostWith(1, deadly))
	s.crashWith(lostWith(2, deadly))
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashWith(lostWith(3, deadly)))
	nearlyTiedOne := map[Fingerprint]*partTally{print(other): {charge: partHoldCharge - nearlyTied}}
	must.SliceContains(t, s.board.toAsk(nearlyTiedOne, s.now), print(other), must.Sprint("it may be held back with another one"))
}

// BenchmarkBoard_EvaluateParts judges as many crashes as a board keeps, each with forty requests.
func BenchmarkBoard_EvaluateParts(b *testing.B) {
	s := newTestBoard()
	for c := range maxCrashes {
		var lost []LostRequest
		for r := range 40 {
			lost = append(lost, lostAt(Settled, 40*c+r, 60_000+r%6, 20_000+(c*7+r)%2000))
		}
		s.board.Report(Crash{Worker: fmt.Sprint(c), Reporter: "e1", At: s.now, LostRequests: lost}, s.now)
		s.now = s.now.Add(time.Second)
	}
	s.board.Evaluate(s.now)
	for b.Loop() {
		s.board.EvaluateParts(s.now)
	}
}

// TestParts_CompletedPartThatCrashesAllIsHeld guards against a part with which requests were completed before, and that
// then crashes all workers of a small fleet at once: more than five crashes, after which it has to be held back.
func TestParts_CompletedPartThatCrashesAllIsHeld(t *testing.T) {
	s := newTestBoard()
	s.output(shared)
	s.output(deadly)
	s.now = s.now.Add(3 * time.Second)
	var lost []LostRequest
	for n := range 6 {
		lost = append(lost, lostAt(Begun, n, shared, deadly))
	}
	must.Eq(t, []PartSet{partSet(deadly)}, s.crashAtOnce(lost...))
}
