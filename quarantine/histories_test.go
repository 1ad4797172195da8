package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A history simulates some seconds of a small fleet: clients whose requests are harmless, one
// request (the culprit) that crashes each worker that starts it, and workers that end on their
// own. It advances a simulated clock.
const (
	step = 10 * time.Millisecond
	// maxQueueTime bounds how long a request is queued, startedTime is how long a worker that
	// has started it produces nothing, and answerTime how long it then produces output.
	maxQueueTime = 200 * time.Millisecond
	startedTime  = 80 * time.Millisecond
	answerTime   = 1600 * time.Millisecond
	// crashDelay is how long after starting the culprit a worker ends: before it would have
	// produced anything. restartTime is how long it takes until another worker replaces it.
	crashDelay  = 60 * time.Millisecond
	restartTime = 3 * time.Second
	// sendsPerTry and triesPerCaller bound how often a request is sent to workers.
	sendsPerTry    = 2
	triesPerCaller = 2
	daemons        = 9
	culprit        = 1
)

// runningRequest is a request at a worker.
type runningRequest struct {
	request, daemon, sends int
	startsAt               time.Duration // when the worker starts it
}

func (u runningRequest) stage(now time.Duration) Stage {
	switch {
	case now < u.startsAt:
		return Queued
	case now < u.startsAt+startedTime:
		return Begun
	}
	return Producing
}

// workerSlot is a slot for one worker, with the successive workers in it counted by
// generation.
type workerSlot struct {
	generation  int
	availableAt time.Duration // when a replacement is available after an end
	running     []runningRequest
}

type history struct {
	rand    *rand.Rand
	board   *Board
	now     time.Duration
	slots   []*workerSlot
	ids     int
	crashes int
	// culpritHeldAt is when the culprit was held back, and innocentHeld counts the other
	// requests that were.
	culpritHeldAt  time.Duration
	innocentHeld   int
	culpritCrashes int // workers that the culprit crashed before it was held back
}

func newHistory(seed uint64, slots int) *history {
	h := &history{rand: rand.New(rand.NewPCG(seed, 1)), board: NewBoard(), ids: culprit}
	for range slots {
		h.slots = append(h.slots, &workerSlot{})
	}
	return h
}

func (h *history) clock() time.Time { return noon.Add(h.now) }

// send sends a request to the least loaded of three random workers.
func (h *history) send(request, daemon, sends int) {
	var best *workerSlot
	for range 3 {
		p := h.slots[h.rand.IntN(len(h.slots))]
		if h.now >= p.availableAt && (best == nil || len(p.running) < len(best.running)) {
			best = p
		}
	}
	if best == nil || h.board.held[print(request)] {
		return
	}
	startsAt := h.now + time.Duration(h.rand.Int64N(int64(maxQueueTime)))
	best.running = append(best.running, runningRequest{request: request, daemon: daemon, sends: sends, startsAt: startsAt})
}

// end ends a worker: daemons report the requests they lost and resend them elsewhere.
func (h *history) end(i int) {
	p := h.slots[i]
	lost := p.running
	p.running = nil
	p.generation++
	p.availableAt = h.now + restartTime
	h.crashes++
	runs := map[int][]LostRequest{}
	for _, u := range lost {
		runs[u.daemon] = append(runs[u.daemon], LostRequest{Fingerprint: print(u.request), Stage: u.stage(h.now), Resent: u.sends%sendsPerTry == 0})
	}
	for daemon, own := range runs {
		h.board.Report(Crash{Worker: fmt.Sprint(i, "/", p.generation), Reporter: fmt.Sprint(daemon), At: h.clock(), LostRequests: own}, h.clock())
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

// tick advances the simulation by one step. Each chance is the probability of one event in it.
func (h *history) tick(arrivals int, culpritChance, endChance float64) {
	h.now += step
	for range arrivals {
		h.ids++
		h.send(h.ids, h.rand.IntN(daemons), 1)
	}
	if h.rand.Float64() < culpritChance {
		h.send(culprit, h.rand.IntN(daemons), 1)
	}
	for i, p := range h.slots {
		culpritEnded := false
		kept := p.running[:0]
		for _, u := range p.running {
			culpritEnded = culpritEnded || u.request == culprit && h.now >= u.startsAt+crashDelay
			if h.now < u.startsAt+startedTime+answerTime {
				kept = append(kept, u)
			}
		}
		p.running = kept
		if culpritEnded && h.culpritHeldAt == 0 {
			h.culpritCrashes++
		}
		if culpritEnded || h.now >= p.availableAt && h.rand.Float64() < endChance {
			h.end(i)
		}
	}
	for _, v := range h.board.Evaluate(h.clock()) {
		for _, s := range v.Hold {
			if s.Fingerprint == print(culprit) {
				h.culpritHeldAt = h.now
			} else {
				h.innocentHeld++
			}
		}
	}
}

// TestHistories_NobodyElseIsHeldBack guards against holding back harmless requests. It plays
// random histories: the culprit arrives from once in three seconds to four times per second,
// and workers end on their own from almost never to 24 per second, as when racks and releases
// fail together with it.
func TestHistories_NobodyElseIsHeldBack(t *testing.T) {
	const histories, seconds, slots, arrivals = 90, 20, 48, 2
	innocents, crashes, maxCrashesByCulprit := 0, 0, 0
	for seed := range uint64(histories) {
		h := newHistory(seed, slots)
		culpritChance := []float64{0.003, 0.01, 0.04}[seed%3]
		endChance := []float64{0, 0.0005, 0.005}[seed/3%3]
		for range int(seconds * time.Second / step) {
			h.tick(arrivals, culpritChance, endChance)
		}
		must.EqOp(t, 0, h.innocentHeld, must.Sprintf("seed %d: requests that crash nothing were held back", seed))
		if culpritChance > 0.003 {
			must.Positive(t, h.culpritHeldAt, must.Sprintf("seed %d: the request that crashes workers was not held back", seed))
		}
		innocents += h.ids
		crashes += h.crashes
		maxCrashesByCulprit = max(maxCrashesByCulprit, h.culpritCrashes)
	}
	must.LessEq(t, maxCulpritCrashes, maxCrashesByCulprit)
	t.Logf("%d requests, %d ends of workers, at most %d under the one request before it was held back", innocents, crashes, maxCrashesByCulprit)
}

// maxCulpritCrashes is how many workers the culprit may crash before it is held back: four
// until the decision, and those that its sends in flight then still reach.
const maxCulpritCrashes = 8
