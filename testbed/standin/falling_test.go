package standin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// falling is a set of workers, each of which ends when it begins one request. Another
// starts in its place.
type falling struct {
	s       *stage
	culprit string

	mu      sync.Mutex
	workers []*Worker
	ids     int
}

// restart is how long it takes until a worker starts in the place of one that ended.
const restart = 500 * time.Millisecond

func newFalling(s *stage, body string) *falling { return &falling{s: s, culprit: body} }

func (f *falling) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	w, kill := NewWorker(f.s.store, fmt.Sprint("c", f.ids), "llm", "d1")
	f.s.t.Cleanup(kill)
	f.armOne(w)
	f.workers = append(f.workers, w)
}

// arm has the workers end under the request from now on, or not.
func (f *falling) arm(armed bool) {
	for _, w := range f.all() {
		if armed {
			f.armOne(w)
		} else {
			w.SetCrash("", nil)
		}
	}
}

func (f *falling) armOne(w *Worker) {
	w.SetCrash(f.culprit, func() {
		time.AfterFunc(restart, func() {
			f.s.store.Put("servers", w.ID(), nil)
			f.add()
		})
	})
}

func (f *falling) all() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Worker(nil), f.workers...)
}

// open returns how many groups are open.
func (f *falling) open() int {
	n := 0
	for _, w := range f.all() {
		if w.GroupState() == "open" && !w.Crashed() {
			n++
		}
	}
	return n
}

// send sends the request once, to the daemons in turn.
func (f *falling) send(try int) Reply {
	a := f.s.stream()
	a.Body = f.culprit
	return f.s.daemons[try%len(f.s.daemons)].Send(f.s.t.Context(), a)
}

// sendOn sends the request many times more, each time to an open group if it may get there.
func (f *falling) sendOn() {
	for i := range 4 * retriesAfter {
		eventually(f.s.t, "a group is open", func() bool { return f.open() > 0 })
		f.send(i)
	}
}

// crashThree sends the request until it has crashed as many workers as it may.
func (f *falling) crashThree() {
	try := 0
	eventually(f.s.t, "three workers have ended", func() bool {
		f.send(try)
		try++
		return len(f.arrivals()) >= crashesBefore
	})
}

// arrivals returns when the request came to a worker.
func (f *falling) arrivals() []time.Time {
	var times []time.Time
	for _, w := range f.all() {
		for _, r := range w.Runs() {
			if r.Body == f.culprit {
				times = append(times, r.At)
			}
		}
	}
	return times
}

func (f *falling) arrivalsSince(at time.Time) int {
	n := 0
	for _, a := range f.arrivals() {
		if a.After(at) {
			n++
		}
	}
	return n
}

// beside are callers of other requests.
type beside struct {
	cancel        context.CancelFunc
	running       sync.WaitGroup
	whole, failed atomic.Int64
}

// besideTries is how often a caller sends a request before it gives up.
const besideTries = 40

// askBeside has callers at each daemon send requests that crash nothing, each one until
// its answer is whole.
func askBeside(s *stage, callers int) *beside {
	ctx, cancel := context.WithCancel(s.t.Context())
	b := &beside{cancel: cancel}
	s.t.Cleanup(b.stop)
	for i, d := range s.daemons {
		for j := range callers {
			b.running.Go(func() { b.ask(ctx, s, d, fmt.Sprintf("%02x%02x", i, j)) })
		}
	}
	return b
}

func (b *beside) ask(ctx context.Context, s *stage, d *Daemon, caller string) {
	for n := 0; ctx.Err() == nil; n++ {
		a := Ask{Method: "POST", Host: host, Path: "/ask/q", Key: key, Body: fmt.Sprint("question ", caller, n), Wait: 5 * time.Second, Header: streamHeader()}
		if b.untilWhole(ctx, d, a, fmt.Sprintf("b%s%08x", caller, n)) {
			b.whole.Add(1)
		} else if ctx.Err() == nil {
			b.failed.Add(1)
		}
	}
}

func (b *beside) untilWhole(ctx context.Context, d *Daemon, a Ask, id string) bool {
	for try := range besideTries {
		a.ID = fmt.Sprintf("%s%03x", id, try)
		r := d.Send(ctx, a)
		if wholeStream(a.ID, r) {
			return true
		}
		if ctx.Err() != nil || strings.Contains(r.Body, "held back") {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (b *beside) stop() {
	b.cancel()
	b.running.Wait()
}
