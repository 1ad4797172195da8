// Package shed turns new connections away while a daemon lacks processor time for the requests that
// it reads and other daemons have some: their callers try again and reach others.
package shed

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// tick is the interval between two measurements of how late the process runs.
	tick = 25 * time.Millisecond
	// delayWeight is the weight of the newest measurement in the average delay, and maxDelay the
	// most that it counts, so that one stall isn't taken for load.
	delayWeight = 0.2
	maxDelay    = 100 * time.Millisecond
	// busyDelay is the average delay above which a larger share of the connections is turned away,
	// and idleDelay the one below which a smaller one is.
	busyDelay = 20 * time.Millisecond
	idleDelay = 5 * time.Millisecond
	// growth and decay are how much the share changes with a measurement.
	growth = 0.05
	decay  = 0.01
	// maxShare is the largest share that is turned away: a daemon that says that it is ready must
	// take some.
	maxShare = 0.9
)

// Gate decides which new connections to turn away. It is safe for concurrent use.
type Gate struct {
	// surplus reports whether the daemon gets far more load than others.
	surplus func() bool

	mu    sync.Mutex
	delay time.Duration // average
	share float64
}

// NewGate returns a gate that turns nothing away unless surplus reports true.
func NewGate(surplus func() bool) *Gate { return &Gate{surplus: surplus} }

// Observe records how late the process ran, and reports whether that starts or ends the turning away.
func (g *Gate) Observe(late time.Duration) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.share
	late = min(max(late, 0), maxDelay)
	g.delay += time.Duration(delayWeight * float64(late-g.delay))
	switch {
	case g.delay <= busyDelay && g.share == 0:
	case g.delay > busyDelay && g.surplus():
		g.share = min(g.share+growth, maxShare)
	case g.delay < idleDelay || !g.surplus():
		g.share = max(g.share-decay, 0)
	}
	return (before > 0) != (g.share > 0)
}

// Share returns the share of the new connections that is turned away.
func (g *Gate) Share() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share
}

// Run measures how late the process runs until ctx ends. It calls changed when the gate starts or
// stops to turn connections away.
func (g *Gate) Run(ctx context.Context, changed func(share float64)) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for due := time.Now().Add(tick); ; due = time.Now().Add(tick) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if g.Observe(time.Since(due)) {
			changed(g.Share())
		}
		timer.Reset(tick)
	}
}

// Listener returns a listener that closes a share of the accepted connections unread. It calls
// turnedAway for each.
func (g *Gate) Listener(l net.Listener, turnedAway func()) net.Listener {
	return &listener{Listener: l, gate: g, turnedAway: turnedAway}
}

type listener struct {
	net.Listener
	gate       *Gate
	turnedAway func()
}

// Accept returns the next connection that isn't turned away.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || rand.Float64() >= l.gate.Share() {
			return conn, err
		}
		l.turnedAway()
		conn.Close()
	}
}
