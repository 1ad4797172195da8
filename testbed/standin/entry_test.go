package standin

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var entryDaemons = flag.Int("entry.daemons", 9, "how many daemons TestEntry_MostConnectionsAtOneDaemon starts")

// entryCallers are callers that reach daemons by an entry, at a steady rate of requests.
type entryCallers struct {
	s     *testCluster
	entry *Entry
	// perConnection is how many requests a caller sends before it opens a new connection.
	perConnection atomic.Int64
	sent, served  atomic.Int64
}

// Callers of TestEntry, and the interval between two requests of each.
const (
	entryCallerCount = 40
	entryInterval    = 250 * time.Millisecond
	steadyRequests   = 40
	restlessRequests = 2
)

// run sends requests until ctx ends.
func (c *entryCallers) run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range entryCallerCount {
		running.Go(func() { c.call(ctx, i) })
		time.Sleep(entryInterval / entryCallerCount)
	}
	running.Wait()
}

func (c *entryCallers) call(ctx context.Context, caller int) {
	transport, closeIdle := c.entry.NewTransport()
	defer closeIdle()
	next := time.NewTicker(entryInterval)
	defer next.Stop()
	for n := int64(0); ctx.Err() == nil; n++ {
		if n%c.perConnection.Load() == 0 {
			closeIdle()
		}
		a := Request{ID: fmt.Sprintf("e%03x%012x", caller, n), Method: "POST", Host: host, Path: "/ask/q", Key: key, Body: fmt.Sprint(caller, n), Timeout: 5 * time.Second, Header: streamHeader()}
		r := SendBy(ctx, transport, "entry", a)
		if ctx.Err() == nil {
			c.sent.Add(1)
			if completeStream(a.ID, r) {
				c.served.Add(1)
			}
		}
		select {
		case <-next.C:
		case <-ctx.Done():
		}
	}
}

// fraction returns the part of the requests of a time that are served at the first attempt.
func (c *entryCallers) fraction(d time.Duration) float64 {
	sent, served := c.sent.Load(), c.served.Load()
	time.Sleep(d)
	return float64(c.served.Load()-served) / float64(c.sent.Load()-sent)
}

// TestEntry_MostConnectionsAtOneDaemon guards against a daemon that refuses most of its requests
// while all groups have room: the platform hands most new connections to one daemon, callers open new
// ones more often, and two groups are silent meanwhile. From the contact time on, requests are
// served at the first attempt at least three quarters as often as before.
func TestEntry_MostConnectionsAtOneDaemon(t *testing.T) {
	const models, groups, silent, span, share = 24, 12, 2, 5 * time.Second, 0.9
	s := newTestCluster(t, models)
	runtime := s.config.Services[1].Runtime
	runtime.StepMs, runtime.PerSeqMs, runtime.ReadPerS = 2, 0.2, 50000
	s.config.Version++
	s.store.Apply(s.config)
	for i := range *entryDaemons {
		s.startAs(Setup{FirstStart: i == 0, Hall: "z" + strconv.Itoa(1+i%2)})
	}
	s.awaitGroups(groups)
	c := &entryCallers{s: s, entry: NewEntry(1, s.daemons...)}
	c.perConnection.Store(steadyRequests)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { c.run(ctx) })
	eventually(t, "requests are served", func() bool { return c.fraction(contactTime) == 1 })
	before := c.fraction(span)
	c.perConnection.Store(restlessRequests)
	c.entry.Favor(len(s.daemons)-1, share)
	for _, w := range s.openGroupHeads()[:silent] {
		w.SetFault(Stalls)
	}
	early := c.fraction(contactTime)
	during := c.fraction(span)
	cancel()
	running.Wait()
	t.Logf("%d daemons, served at the first attempt: %.3f before, %.3f in the first seconds, %.3f after", *entryDaemons, before, early, during)
	must.GreaterEq(t, 0.75*before, during)
}

// TestEntry_HandsOutConnections checks the share that a favored daemon gets.
func TestEntry_HandsOutConnections(t *testing.T) {
	const connections, share = 4000, 0.8
	daemons := []*Daemon{{addr: "a"}, {addr: "b"}, {addr: "c"}}
	e := NewEntry(1, daemons...)
	count := func() float64 {
		n := 0.0
		for range connections {
			if e.pick() == daemons[1] {
				n++
			}
		}
		return n / connections
	}
	must.InDelta(t, 1.0/3, count(), 0.03)
	e.Favor(1, share)
	must.InDelta(t, share+(1-share)/3, count(), 0.03)
	e.Favor(1, 0)
	must.InDelta(t, 1.0/3, count(), 0.03)
	_, closeIdle := e.NewTransport()
	closeIdle()
}
