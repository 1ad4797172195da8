package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestWindow_RatioAndExtra(t *testing.T) {
	now := time.Unix(1000, 0)
	a := Allowance{Ratio: 0.2, Extra: 3, Window: 10 * time.Second}
	w := NewWindow(a.Window)
	for range 3 {
		must.True(t, spend(w, now, a))
	}
	must.False(t, w.Room(now, a))
	must.False(t, spend(w, now, a))
	for range 5 {
		w.Request(now)
	}
	must.True(t, w.Room(now, a))
	must.True(t, spend(w, now, a))
	must.False(t, spend(w, now, a))
	must.True(t, spend(w, now.Add(11*time.Second), a), must.Sprint("earlier retries have left the window"))
}

// TestWindow_StaysWithinTheAllowance checks that within any span of the window's length the
// retries stay within the extra plus the ratio of the requests of twice that span, for any
// sequence of requests and retries.
func TestWindow_StaysWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Allowance{Ratio: 0.2, Extra: 5, Window: 10 * time.Second}
		w := NewWindow(a.Window)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if spend(w, now, a) {
					retries = append(retries, now)
				}
				continue
			}
			w.Request(now)
			requests = append(requests, now)
			from := now.Add(-a.Window + a.Window/windowSlots)
			spent := since(retries, from)
			must.LessEq(t, a.Extra+a.Ratio*float64(since(requests, from.Add(-a.Window))), float64(spent))
		}
	})
}

// TestWindow_CoversItsWholeLength guards against retries that leave the window before its length
// has passed, by any moment of the first and the last retry. They count for as long as one may
// arrive later than another.
func TestWindow_CoversItsWholeLength(t *testing.T) {
	a := Allowance{Extra: 1, Window: total.Window}
	for offset := time.Duration(0); offset < a.Window; offset += 10 * time.Millisecond {
		w := NewWindow(a.Window)
		must.True(t, spend(w, noon.Add(offset), a))
		must.False(t, spend(w, noon.Add(offset+a.Window+SendDelay-time.Millisecond), a), must.Sprint("offset: ", offset))
	}
}

// TestWindow_KeepsRetriesWhenItsLengthChanges guards against free retries after a change of the
// window's length, whether by dropped retries or by requests from before the change.
func TestWindow_KeepsRetriesWhenItsLengthChanges(t *testing.T) {
	a := Allowance{Ratio: 0.2, Extra: 2, Window: 10 * time.Second}
	w := NewWindow(a.Window)
	now := time.Unix(1000, 0)
	for range 50 {
		w.Request(now)
	}
	for range 2 {
		must.True(t, spend(w, now, a))
	}
	now = now.Add(time.Second)
	a.Window = 4 * time.Second
	must.False(t, spend(w, now, a))
	must.False(t, w.Room(now.Add(4*time.Second), a))
	must.True(t, w.Room(now.Add(4*time.Second+SendDelay), a))
	now = now.Add(5 * time.Second)
	for range 2 {
		must.True(t, spend(w, now, a))
	}
	a.Window = 20 * time.Second
	now = now.Add(time.Second)
	must.False(t, spend(w, now, a))
	must.True(t, w.Room(now.Add(20*time.Second+SendDelay), a), must.Sprint("no retry counts for longer than the window and its way to the worker"))
}

// spend counts a retry that arrives SendDelay later.
func spend(w *Window, now time.Time, a Allowance) bool {
	r, ok := w.Spend(now, a)
	if ok {
		r.Read(now.Add(SendDelay))
	}
	return ok
}

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// TestWindow_ShortWindow guards against settings whose window is shorter than its slots, which settings allow (more than 0).
func TestWindow_ShortWindow(t *testing.T) {
	w := NewWindow(10 * time.Nanosecond)
	w.Request(time.Now())
	spend(w, time.Now(), Allowance{Window: 10 * time.Nanosecond})
}

// TestWindow_TimeOutOfRange guards against a machine whose time of day is not set, or far away.
func TestWindow_TimeOutOfRange(t *testing.T) {
	for _, now := range []time.Time{time.Unix(-1000, 0), time.Date(2300, 1, 1, 0, 0, 0, 0, time.UTC)} {
		w := NewWindow(10 * time.Second)
		w.Request(now)
	}
}

// TestWindow_CountsAtAnyTime guards against a window that counts nothing, or forgets nothing, where the time of day is out of
// range.
func TestWindow_CountsAtAnyTime(t *testing.T) {
	a := Allowance{Ratio: 1, Window: 10 * time.Second}
	for _, now := range []time.Time{time.Unix(-1000, 0), time.Date(1600, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2300, 1, 1, 0, 0, 0, 0, time.UTC)} {
		w := NewWindow(a.Window)
		w.Request(now)
		must.True(t, w.Room(now, a), must.Sprint(now))
		must.False(t, w.Room(now.Add(a.Window), a), must.Sprint(now))
	}
}
