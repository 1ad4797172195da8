package throttle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLearn_TheNewestEvidenceCounts, whoever saw it and in whatever order it comes.
func TestLearn_TheNewestEvidenceCounts(t *testing.T) {
	named := func(s int) Limit {
		return Limit{Worker: "w", Born: 1, Rate: 2, At: noon.Add(time.Duration(s) * time.Second)}
	}
	ended := func(s int) Limit {
		l := named(s)
		l.Ended = true
		return l
	}
	born := func(l Limit, at int64) Limit {
		l.Born = at
		return l
	}
	for _, c := range []struct {
		name string
		told []Limit
		want int
	}{
		{"named", []Limit{named(1)}, 1},
		{"named and ended", []Limit{named(1), ended(2)}, 0},
		{"the end comes first", []Limit{ended(2), named(1)}, 0},
		{"named again", []Limit{named(1), ended(2), named(3)}, 1},
		{"ended at the same moment", []Limit{named(1), ended(1)}, 1},
		{"a new start", []Limit{named(1), born(ended(2), 2)}, 0},
		{"news of a former start", []Limit{born(ended(2), 2), named(1)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBook()
			for _, l := range c.told {
				b.Learn([]Limit{l})
			}
			must.EqOp(t, c.want, b.Limited())
		})
	}
}

// TestLearn_AnswersAndNewsAgree: an answer here outweighs older news, and news of a later
// answer elsewhere outweighs it.
func TestLearn_AnswersAndNewsAgree(t *testing.T) {
	b := newTestBook()
	b.Heard(at(2*time.Second, Ask{Limited: true, Rate: 2}))
	b.Learn([]Limit{{Worker: "w", Born: 1, Ended: true, At: noon.Add(time.Second)}})
	must.EqOp(t, 1, b.Limited())
	b.Learn([]Limit{{Worker: "w", Born: 1, Ended: true, At: noon.Add(3 * time.Second)}})
	must.EqOp(t, 0, b.Limited())
	b.Heard(at(4*time.Second, Ask{Limited: true, Rate: 2}))
	must.EqOp(t, 1, b.Limited())
}

// TestLimits_AreToldWhileTheyAreNews: a daemon hears of the end by another one, and of nothing
// that is old.
func TestLimits_AreToldWhileTheyAreNews(t *testing.T) {
	here, there := newTestBook(), newTestBook()
	here.Heard(at(0, Ask{Limited: true, Rate: 2}))
	there.Learn(here.Limits(noon))
	must.EqOp(t, 1, there.Limited())
	here.Heard(at(time.Second, Ask{}))
	there.Learn(here.Limits(noon.Add(time.Second)))
	must.EqOp(t, 0, there.Limited())
	must.Len(t, 1, there.Limits(noon.Add(time.Second+shareFor)), must.Sprint("it is passed on"))
	must.SliceEmpty(t, there.Limits(noon.Add(time.Second+shareFor+1)))
}

// TestLimits_AreBounded: the newest are told.
func TestLimits_AreBounded(t *testing.T) {
	b := newTestBook()
	for i := range 2 * mostShared {
		b.Learn([]Limit{{Worker: fmt.Sprint("w", i), Rate: 1, At: noon.Add(time.Duration(i) * time.Millisecond)}})
	}
	list := b.Limits(noon)
	must.Len(t, mostShared, list)
	must.EqOp(t, fmt.Sprint("w", 2*mostShared-1), list[0].Worker)
}
