package throttle

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/workers"
)

var (
	noon = time.Unix(43200, 0)
	busy = workers.Worker{ID: "w", Service: "s", Born: 1}
)

func newTestBook() *Book { return NewBook(metrics.NewSet(), &log.Logger{Level: log.PanicLevel}) }

// at returns an answer whose head arrived at a moment, 100 ms after its request was sent.
func at(after time.Duration, ask Ask) Answer {
	return Answer{Worker: busy, Ask: ask, Sent: noon.Add(after - 100*time.Millisecond), At: noon.Add(after)}
}

// TestBook_ALimitLastsWhileItIsNamed, and only a later answer without one ends it.
func TestBook_ALimitLastsWhileItIsNamed(t *testing.T) {
	named := at(0, Ask{Limited: true, Rate: 2})
	for _, c := range []struct {
		name string
		next Answer
		want int
	}{
		{"named again", at(time.Second, Ask{Limited: true, Rate: 3}), 1},
		{"a later success without it", at(time.Second, Ask{}), 0},
		{"a success that was under way", at(50*time.Millisecond, Ask{}), 1},
		{"a later failure without it", at(time.Second, Ask{Failed: true}), 1},
		{"one that can't be read", at(time.Second, Ask{Unreadable: "x"}), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBook()
			b.Heard(named)
			b.Heard(c.next)
			must.EqOp(t, c.want, b.Limited())
		})
	}
}

// TestBook_AStartKnowsNothingOfTheOneBefore.
func TestBook_AStartKnowsNothingOfTheOneBefore(t *testing.T) {
	b := newTestBook()
	b.Heard(at(0, Ask{Limited: true, Rate: 2}))
	again := at(time.Second, Ask{Failed: true})
	again.Worker.Born = 2
	b.Heard(again)
	must.EqOp(t, 0, b.Limited())
}

// TestBook_ForgetsWhoIsGone, but not while its entry may come back.
func TestBook_ForgetsWhoIsGone(t *testing.T) {
	b := newTestBook()
	nobody := func(string) bool { return false }
	b.Heard(at(0, Ask{Limited: true, Rate: 2}))
	b.Keep(nobody, noon.Add(keepGone))
	must.EqOp(t, 1, b.Limited())
	b.Keep(nobody, noon.Add(keepGone+time.Second))
	must.EqOp(t, 0, b.Limited())
}

// TestBook_TellsWhoAsksForWhat, in order, and not what is over.
func TestBook_TellsWhoAsksForWhat(t *testing.T) {
	b := newTestBook()
	for id, ask := range map[string]Ask{"c": {Leaving: true}, "a": {Limited: true, Rate: 2}, "b": {Pause: time.Second}, "d": {Unreadable: "x"}} {
		a := at(0, ask)
		a.Worker.ID = id
		b.Heard(a)
	}
	must.Eq(t, []Asking{
		{Worker: "a", Service: "s", Rate: 2, LimitedSince: noon},
		{Worker: "b", Service: "s", PausedUntil: noon.Add(time.Second)},
		{Worker: "c", Service: "s", LeavingSince: noon},
	}, b.Asking(noon))
	must.EqOp(t, 1, b.paused(noon))
	must.EqOp(t, 0, b.paused(noon.Add(time.Second)))
	must.Len(t, 2, b.Asking(noon.Add(time.Second)))
}
