package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// usualWork is the work of a request in these tests: five a second at testRate.
const (
	usualWork = 40 * time.Millisecond
	testRate  = 0.2
)

// sharing is a request at a daemon that knows its share.
func sharing(now time.Time) Entry {
	return Entry{At: now, Goal: testGoal, Work: usualWork, Rate: testRate, Load: 2}
}

// late returns a share that binds, with queues as they are aimed for.
func late(now time.Time) *share {
	s := &share{usual: usualWork.Seconds()}
	s.noteLate(now)
	s.waiting = time.Duration(aimedDelay * testRate * float64(testGoal))
	return s
}

// taken has requests ask for a share, 20 a second for 10 s, and returns how many of those
// with each rank were let in, of 20 of each.
func taken(s *share, now time.Time, change func(e *Entry, i int)) [10]int {
	var in [10]int
	for i := range 200 {
		e := sharing(now.Add(time.Duration(i) * 50 * time.Millisecond))
		e.Rank = float64(i*7%10) / 10
		change(&e, i)
		if s.take(e) {
			in[i*7%10]++
		}
	}
	return in
}

func sum(in [10]int) int {
	n := 0
	for _, count := range in {
		n += count
	}
	return n
}

func TestShare_BindsNobodyWhileFirstEventsAreInTime(t *testing.T) {
	must.EqOp(t, 200, sum(taken(&share{}, time.Unix(1000, 0), func(*Entry, int) {})))
}

func TestShare_LetsInWhatTheGroupsCanDo(t *testing.T) {
	now := time.Unix(1000, 0)
	in := taken(late(now), now, func(*Entry, int) {})
	must.Between(t, 45, sum(in), 55, must.Sprint("five a second, and what was saved up"))
	// Whoever was refused is refused again wherever it comes back to.
	must.EqOp(t, 20, in[0])
	must.EqOp(t, 0, in[5]+in[6]+in[7]+in[8]+in[9])
}

// TestShare_LargeRequestsAreNotStarved has each tenth request be ten times as large as the
// others. All tenths have the same ranks.
func TestShare_LargeRequestsAreNotStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	var in [2]int
	s := late(now)
	for i := range 4000 {
		e := sharing(now.Add(time.Duration(i) * 50 * time.Millisecond))
		e.Rank = float64(i*3%7) / 7
		large := 0
		if e.Work = usualWork / 2; i%10 == 0 {
			e.Work = 5 * usualWork
			large = 1
		}
		if s.take(e) {
			in[large]++
		}
	}
	must.Between(t, 0.7, 9*float64(in[1])/float64(in[0]), 1.4, must.Sprint("as many of the large ones as of the others"))
}

func TestShare_LetsInLittleWhileQueuesAreLong(t *testing.T) {
	now := time.Unix(1000, 0)
	s := late(now)
	s.waiting = time.Duration(testRate * float64(2*time.Second))
	must.Between(t, 4, sum(taken(s, now, func(*Entry, int) {})), 12)
	s = late(now)
	s.waiting = 0
	must.Between(t, 70, sum(taken(s, now, func(*Entry, int) {})), 95, must.Sprint("the runtime tells usual times"))
}

func TestShare_BindsNoLongerOnceWhatComesFits(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		load  float64
		after time.Duration
		want  bool
	}{
		{fittingLoad - 0.01, looseAfter + 1, false},
		{fittingLoad - 0.01, looseAfter, true},
		{fittingLoad, looseAfter + 1, true},
		{Unknown, looseAfter + 1, true},
	} {
		s := late(now)
		s.tokens = 0
		s.filled = now.Add(c.after)
		e := sharing(now.Add(c.after))
		e.Load = c.load
		must.EqOp(t, !c.want, s.take(e))
		must.EqOp(t, c.want, s.binds)
	}
	s := late(now)
	for i := range 40 { // far fewer than the share has room for
		s.take(sharing(now.Add(time.Duration(i) * time.Second)))
	}
	must.False(t, s.binds, must.Sprint("a share that is saved up binds nobody"))
}

func TestShare_BindsOnceManyWait(t *testing.T) {
	for _, c := range []struct {
		waiting, overdue int
		rate             float64
		want             bool
	}{{4, 2, testRate, false}, {5, 2, testRate, true}, {5, 1, testRate, false}, {5, 2, 2 * testRate, false}} {
		s := &share{usual: usualWork.Seconds(), waiting: time.Duration(c.waiting) * usualWork, overdue: c.overdue}
		e := sharing(time.Unix(1000, 0))
		e.Rate = c.rate
		s.take(e)
		must.EqOp(t, c.want, s.binds, must.Sprintf("%d waiting", c.waiting))
	}
}

// TestWindow_CountsWhatIsOverdue has a request be overdue, be sent again, be overdue again
// and leave.
func TestWindow_CountsWhatIsOverdue(t *testing.T) {
	w := NewWindow(dead{})
	now := time.Unix(1000, 0)
	p := w.Enter(sharing(now))
	for _, group := range []string{"g", "h"} {
		p.Sent(now, group)
		must.EqOp(t, 0, w.share.overdue)
		now = now.Add(testGoal)
		w.Enter(sharing(now)).Leave(now)
		must.EqOp(t, 1, w.share.overdue)
	}
	p.FirstEvent(now)
	must.EqOp(t, 0, w.share.overdue)
	p.Leave(now)
	must.EqOp(t, 0, w.share.overdue)
	must.EqOp(t, 0, w.share.waiting)
}

// sendShared has a request enter and get its first event after took.
func sendShared(w *Window, now time.Time, took time.Duration) {
	p := w.Enter(sharing(now))
	if p == nil {
		return
	}
	p.Sent(now, "g")
	p.FirstEvent(now.Add(took))
	p.Leave(now.Add(took))
}

func TestWindow_ItsShareBindsOnceTwoOfThreeAreLate(t *testing.T) {
	w := NewWindow(alive{})
	now := time.Unix(1000, 0)
	for range 20 {
		sendShared(w, now, 210*time.Millisecond)
		sendShared(w, now, 210*time.Millisecond)
		sendShared(w, now, 900*time.Millisecond)
	}
	must.False(t, w.State().Binds, must.Sprint("one of three may be held up by a fault"))
	for range 3 {
		sendShared(w, now, 900*time.Millisecond)
	}
	must.True(t, w.State().Binds)
	limit, _ := w.Limit()
	must.Greater(t, 1e9, limit, must.Sprint("the share takes the place of the limit"))
}

// TestWindow_ALateFirstEventCountsAfterSilence: a daemon that has one request at a group
// hears nothing from it while it queues, and can't tell a queue from a dead group. The
// first event tells.
func TestWindow_ALateFirstEventCountsAfterSilence(t *testing.T) {
	for _, c := range []struct {
		answered, want bool
	}{{true, true}, {false, false}} {
		w := NewWindow(dead{})
		now := time.Unix(1000, 0)
		for range 6 {
			p := w.Enter(sharing(now))
			p.Sent(now, "g")
			now = now.Add(2 * time.Second)
			w.Enter(sharing(now)).Leave(now) // notices what is overdue
			if c.answered {
				p.FirstEvent(now)
			}
			p.Leave(now)
			if w.State().Binds {
				break
			}
		}
		must.EqOp(t, c.want, w.State().Binds)
	}
}
