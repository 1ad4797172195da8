package deps

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/workers"
)

// deciders are daemons that are told of crashes, some of them out of reach.
type deciders struct {
	mu      sync.Mutex
	control replica.Control
	away    map[string]bool
	told    map[string][]relay.CrashReport
	// failures counts reports to daemons out of reach.
	failures int
	// ended are the workers that refuse connections.
	ended map[string]bool
}

var errAway = errors.New("out of reach")

func (d *deciders) Refuses(_ context.Context, w workers.Worker) bool { return d.ended[w.ID] }

func (d *deciders) send(_ context.Context, to replica.Node, r relay.CrashReport) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away[to.Name] {
		d.failures++
		return errAway
	}
	d.told[to.Name] = append(d.told[to.Name], r)
	return nil
}

// workersTold returns the workers that a daemon was told to have crashed.
func (d *deciders) workersTold(name string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, r := range d.told[name] {
		for _, c := range r.Crashes {
			all = append(all, c.Worker)
		}
	}
	return all
}

func (d *deciders) passLease(holder string, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.control.Holder = holder
	d.control.Term = term
}

func (d *deciders) known() replica.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.control
}

func newDeciders(t *testing.T) (*deciders, *sightings) {
	d := &deciders{away: map[string]bool{}, told: map[string][]relay.CrashReport{}, ended: map[string]bool{"w1": true, "w2": true}}
	for _, name := range []string{"e1", "e2", "e3"} {
		d.control.Nodes = append(d.control.Nodes, replica.Node{Name: name, Addr: name})
	}
	d.passLease("e1", 7)
	s := newSightings(sightingOptions{
		Self:    func() string { return "e9" },
		Guard:   quarantine.NewGuard(time.Now),
		Asks:    d,
		Control: d.known,
		Send:    d.send,
		Metrics: metrics.NewSet(),
		Log:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return d, s
}

func lostRun(n byte) quarantine.Run {
	return quarantine.Run{Fingerprint: quarantine.Fingerprint{n}, Stage: quarantine.Begun}
}

func soon(t *testing.T, what string, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// TestSightings_OneCrashIsToldOnceWithAllThatWasLost: the holder of the lease and the next
// daemon in line are told, nobody else, and nothing of a worker that lives.
func TestSightings_OneCrashIsToldOnceWithAllThatWasLost(t *testing.T) {
	d, s := newDeciders(t)
	s.Lost(workers.Worker{ID: "alive"}, lostRun(1))
	s.Lost(workers.Worker{ID: "w1"}, lostRun(2))
	s.Lost(workers.Worker{ID: "w1"}, lostRun(3))
	for _, name := range []string{"e1", "e2"} {
		soon(t, "it is told", func() bool { return len(d.workersTold(name)) > 0 })
		must.Eq(t, []string{"w1"}, d.workersTold(name))
		must.Eq(t, []quarantine.Run{lostRun(2), lostRun(3)}, d.told[name][0].Crashes[0].Runs)
		must.EqOp(t, "e9", d.told[name][0].Reporter)
	}
	must.SliceEmpty(t, d.workersTold("e3"))
	soon(t, "the living worker is counted", func() bool { return s.alive.Get() == 1 })
	must.EqOp(t, 2, s.confirmed.Get())
}

// TestSightings_WhoeverDecidesNextIsToldAll: the holder of the lease is out of reach as a
// worker crashes. The next in line knows at once, and the next holder all that was seen.
func TestSightings_WhoeverDecidesNextIsToldAll(t *testing.T) {
	d, s := newDeciders(t)
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	soon(t, "both know of the first", func() bool { return len(d.workersTold("e1")) == 1 && len(d.workersTold("e2")) == 1 })
	d.setAway("e1", true)
	s.Lost(workers.Worker{ID: "w2"}, lostRun(1))
	soon(t, "the next in line knows", func() bool { return len(d.workersTold("e2")) == 2 })
	d.passLease("e3", 8)
	s.kick()
	soon(t, "the next holder knows", func() bool { return len(d.workersTold("e3")) == 2 })
	must.Eq(t, []string{"w1", "w2"}, d.workersTold("e3"))
	must.Eq(t, []string{"w1"}, d.workersTold("e1"))
}

// TestSightings_WhoIsGoneIsGivenUpUntilTheLeasePassesOn: rows of daemons that are gone for
// good stay, and nobody calls them for ever.
func TestSightings_WhoIsGoneIsGivenUpUntilTheLeasePassesOn(t *testing.T) {
	d, s := newDeciders(t)
	d.setAway("e1", true)
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	soon(t, "it is tried", func() bool { return d.failed() > 0 })
	s.mu.Lock()
	s.own[0].due = time.Now().Add(-tellFor)
	s.mu.Unlock()
	soon(t, "it is given up", func() bool {
		return len(s.untold("e1", 7, time.Now()).Crashes) == 0
	})
	before := d.failed()
	d.passLease("e1", 8)
	s.kick()
	soon(t, "it is tried again", func() bool { return d.failed() > before+1 })
	d.setAway("e1", false)
	soon(t, "it knows", func() bool { return len(d.workersTold("e1")) == 1 })
}

func (d *deciders) setAway(name string, away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away[name] = away
}

func (d *deciders) failed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures
}

func TestSightings_WhatEndedWellIsNotReported(t *testing.T) {
	d, s := newDeciders(t)
	s.opts.Guard.Finish(quarantine.Fingerprint{1})
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	s.Lost(workers.Worker{ID: "w2"}, lostRun(2))
	soon(t, "the other is", func() bool { return len(d.workersTold("e1")) > 0 })
	must.Eq(t, []string{"w2"}, d.workersTold("e1"))
}

func TestSightings_AreBounded(t *testing.T) {
	_, s := newDeciders(t)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 * mostSightings {
		s.add(sighting{at: now, crash: &quarantine.Crash{}})
	}
	s.forget(now)
	must.LessEq(t, mostSightings, len(s.own))
	s.forget(now.Add(2 * sightingLife))
	must.SliceEmpty(t, s.own)
}
