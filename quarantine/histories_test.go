package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A history is some seconds of a small fleet: callers whose requests crash nothing, one
// request that crashes each worker that begins it, and workers that end by themselves. It
// is stepped by a clock of its own.
const (
	step = 10 * time.Millisecond
	// wait is how long a request is queued, quiet how long a worker that has begun it
	// produces nothing, and answer how long it then produces.
	wait   = 200 * time.Millisecond
	quiet  = 80 * time.Millisecond
	answer = 1600 * time.Millisecond
	// fall is how long after a worker has begun the one request it ends: before it would
	// have produced anything. regrow is how long another takes to be there in its place.
	fall   = 60 * time.Millisecond
	regrow = 3 * time.Second
	// sendsPerTry and triesPerCaller bound how often a request is sent to workers.
	sendsPerTry    = 2
	triesPerCaller = 2
	daemons        = 9
	culprit        = 1
)

// underWay is a request at a worker.
type underWay struct {
	request, daemon, sends int
	began                  time.Duration // when the worker begins it
}

func (u underWay) stage(now time.Duration) Stage {
	switch {
	case now < u.began:
		return Queued
	case now < u.began+quiet:
		return Begun
	}
	return Producing
}

// place is where a worker runs, and one life of it.
type place struct {
	life    int
	back    time.Duration // when another worker is there after an end
	running []underWay
}

type history struct {
	rand    *rand.Rand
	board   *Board
	now     time.Duration
	places  []*place
	ids     int
	crashes int
	// guilty is when the request that crashes workers was held back, and blamed are others
	// that were.
	guilty time.Duration
	blamed int
	felled int // workers that it crashed, until it was held back
}

func newHistory(seed uint64, places int) *history {
	h := &history{rand: rand.New(rand.NewPCG(seed, 1)), board: NewBoard(), ids: culprit}
	for range places {
		h.places = append(h.places, &place{})
	}
	return h
}

func (h *history) clock() time.Time { return noon.Add(h.now) }

// send sends a request to a worker, rather to one with little to do.
func (h *history) send(request, daemon, sends int) {
	var best *place
	for range 3 {
		p := h.places[h.rand.IntN(len(h.places))]
		if h.now >= p.back && (best == nil || len(p.running) < len(best.running)) {
			best = p
		}
	}
	if best == nil || h.board.held[print(request)] {
		return
	}
	began := h.now + time.Duration(h.rand.Int64N(int64(wait)))
	best.running = append(best.running, underWay{request: request, daemon: daemon, sends: sends, began: began})
}

// end has a worker end: daemons report what they lost, and send it elsewhere.
func (h *history) end(i int) {
	p := h.places[i]
	lost := p.running
	p.running = nil
	p.life++
	p.back = h.now + regrow
	h.crashes++
	runs := map[int][]Run{}
	for _, u := range lost {
		runs[u.daemon] = append(runs[u.daemon], Run{Fingerprint: print(u.request), Stage: u.stage(h.now), Again: u.sends%sendsPerTry == 0})
	}
	for daemon, own := range runs {
		h.board.Report(Crash{Worker: fmt.Sprint(i, "/", p.life), Reporter: fmt.Sprint(daemon), At: h.clock(), Runs: own}, h.clock())
	}
	for _, u := range lost {
		switch {
		case u.sends%sendsPerTry != 0:
			h.send(u.request, u.daemon, u.sends+1)
		case u.sends < sendsPerTry*triesPerCaller && u.request != culprit:
			h.send(u.request, h.rand.IntN(daemons), u.sends+1)
		}
	}
}

// tick is one step. Each chance is that of one event in it.
func (h *history) tick(arrivals int, culpritChance, endChance float64) {
	h.now += step
	for range arrivals {
		h.ids++
		h.send(h.ids, h.rand.IntN(daemons), 1)
	}
	if h.rand.Float64() < culpritChance {
		h.send(culprit, h.rand.IntN(daemons), 1)
	}
	for i, p := range h.places {
		fell := false
		kept := p.running[:0]
		for _, u := range p.running {
			fell = fell || u.request == culprit && h.now >= u.began+fall
			if h.now < u.began+quiet+answer {
				kept = append(kept, u)
			}
		}
		p.running = kept
		if fell && h.guilty == 0 {
			h.felled++
		}
		if fell || h.now >= p.back && h.rand.Float64() < endChance {
			h.end(i)
		}
	}
	for _, v := range h.board.Judge(h.clock()) {
		for _, s := range v.Hold {
			if s.Fingerprint == print(culprit) {
				h.guilty = h.now
			} else {
				h.blamed++
			}
		}
	}
}

// TestHistories_NobodyElseIsHeldBack plays random histories: the one request comes from
// once in three seconds to four times a second, and workers end by themselves from hardly
// ever to 24 a second, as when racks and releases go together with it. Of the other
// requests none may be held back.
func TestHistories_NobodyElseIsHeldBack(t *testing.T) {
	const histories, seconds, places, arrivals = 90, 20, 48, 2
	innocents, crashes, mostFelled := 0, 0, 0
	for seed := range uint64(histories) {
		h := newHistory(seed, places)
		culpritChance := []float64{0.003, 0.01, 0.04}[seed%3]
		endChance := []float64{0, 0.0005, 0.005}[seed/3%3]
		for range int(seconds * time.Second / step) {
			h.tick(arrivals, culpritChance, endChance)
		}
		must.EqOp(t, 0, h.blamed, must.Sprintf("seed %d: requests that crash nothing were held back", seed))
		if culpritChance > 0.003 {
			must.Positive(t, h.guilty, must.Sprintf("seed %d: the request that crashes workers was not held back", seed))
		}
		innocents += h.ids
		crashes += h.crashes
		mostFelled = max(mostFelled, h.felled)
	}
	must.LessEq(t, mostTold, mostFelled)
	t.Logf("%d requests, %d ends of workers, at most %d under the one request before it was held back", innocents, crashes, mostFelled)
}

// mostTold is how many workers the one request may crash before it is held back: four
// until it is told, and those that tries on their way then still get to.
const mostTold = 8
