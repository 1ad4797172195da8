package ramp

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

func entry(id string, left time.Duration) workers.Worker {
	return workers.Worker{ID: id, Hall: "h1", ColdLeft: left}
}

// learned returns a book that knows a warm worker "a".
func learned() *Book {
	b := NewBook(usage)
	b.Entries([]workers.Worker{entry("a", 0)}, nil, true, open, noon)
	return b
}

func TestBook_AnEntryTellsUntilWhen(t *testing.T) {
	b := learned()
	began := b.Entries([]workers.Worker{entry("b", 2*time.Second)}, nil, false, open, noon)
	must.Len(t, 1, began)
	must.EqOp(t, ByEntry, began[0].By)
	must.True(t, began[0].HeldUntil.IsZero(), must.Sprint("nothing was sent to it before"))
	_, cold := b.At("a", noon)
	must.False(t, cold)
	_, cold = b.At("b", second(1.9))
	must.True(t, cold)
	must.SliceEmpty(t, b.Entries([]workers.Worker{entry("b", time.Second)}, nil, false, open, second(1.5)))
	_, cold = b.At("b", second(2.4))
	must.True(t, cold, must.Sprint("the newer entry counts"))
	b.Entries([]workers.Worker{entry("b", 0)}, nil, false, open, second(2))
	_, cold = b.At("b", second(2))
	must.False(t, cold, must.Sprint("it says so itself"))
}

// TestBook_WhoTurnsColdIsLeftAlone: others may not know yet and still send to it.
func TestBook_WhoTurnsColdIsLeftAlone(t *testing.T) {
	b := learned()
	began := b.Entries([]workers.Worker{entry("a", 5*time.Second)}, nil, false, open, noon)
	must.EqOp(t, ByTurn, began[0].By)
	must.Eq(t, noon.Add(heldAfterTurn), began[0].HeldUntil)
}

// TestBook_WhoStaysColdALittleLongerDidNotTurn: the last entry told an earlier end.
func TestBook_WhoStaysColdALittleLongerDidNotTurn(t *testing.T) {
	b := learned()
	b.Entries([]workers.Worker{entry("b", time.Second)}, nil, false, open, noon)
	began := b.Entries([]workers.Worker{entry("b", time.Second/10)}, nil, false, open, second(1.1))
	must.EqOp(t, ByEntry, began[0].By)
	must.True(t, began[0].HeldUntil.IsZero())
}

// TestBook_InAClosedHallNobodyIsLeftAlone: nothing goes there in any case.
func TestBook_InAClosedHallNobodyIsLeftAlone(t *testing.T) {
	b := learned()
	began := b.Entries([]workers.Worker{entry("a", 5*time.Second)}, nil, false, func(string) bool { return false }, noon)
	must.True(t, began[0].HeldUntil.IsZero())
}

func TestBook_AnOpenedHallIsCold(t *testing.T) {
	b := learned()
	b.Entries([]workers.Worker{{ID: "elsewhere", Hall: "h2"}, entry("told", time.Second)}, nil, false, open, noon)
	began := b.Opened("h1", true, noon)
	must.Len(t, 1, began, must.Sprint("one is elsewhere, one has told its own end"))
	must.EqOp(t, "a", began[0].Worker)
	must.Eq(t, second(3), began[0].Until)
	must.True(t, began[0].HeldUntil.IsZero())
	b.Entries([]workers.Worker{entry("a", 0)}, nil, false, open, second(0.1))
	_, cold := b.At("a", second(0.2))
	must.True(t, cold, must.Sprint("the entry may have been written before the worker turned cold"))
	b.Entries([]workers.Worker{entry("a", 5*time.Second)}, nil, false, open, second(0.5))
	_, cold = b.At("a", second(5.4))
	must.True(t, cold, must.Sprint("its own word for longer counts"))
}

// TestBook_AHallWhoseClosingWasNotSeenIsLeftAlone: requests went there until now.
func TestBook_AHallWhoseClosingWasNotSeenIsLeftAlone(t *testing.T) {
	began := learned().Opened("h1", false, noon)
	must.Eq(t, noon.Add(heldAfterTurn), began[0].HeldUntil)
}

func TestBook_ServicesThatNeedNoCare(t *testing.T) {
	b := NewBook(func(string) catalog.Cold { return catalog.Cold{} })
	b.Entries([]workers.Worker{entry("a", 0)}, nil, true, open, noon)
	must.SliceEmpty(t, b.Opened("h1", true, noon))
}

func TestBook_ForgetsThoseThatAreWarm(t *testing.T) {
	b := learned()
	b.Entries([]workers.Worker{entry("b", time.Second), entry("c", 2*time.Second)}, nil, false, open, noon)
	must.Len(t, 2, b.All(noon))
	must.Len(t, 1, b.Ended(second(1)))
	must.Len(t, 1, b.All(second(1)))
	must.EqOp(t, "c", b.All(second(1))[0].Worker)
}
