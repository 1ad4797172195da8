package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// Entry hands each new connection of callers to a daemon, as the platform's address does. It is safe
// for concurrent use.
type Entry struct {
	mu      sync.Mutex
	random  *rand.Rand
	daemons []*Daemon
	// favored gets a connection with probability share, besides its part of the others.
	favored int
	share   float64
}

// NewEntry returns an entry that spreads connections evenly over daemons.
func NewEntry(seed uint64, daemons ...*Daemon) *Entry {
	return &Entry{random: rand.New(rand.NewPCG(seed, seed)), daemons: daemons}
}

// Favor hands a share of the new connections to one daemon from now on. A share of 0 ends that.
func (e *Entry) Favor(daemon int, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.favored, e.share = daemon, share
}

// pick returns the daemon for a new connection.
func (e *Entry) pick() *Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() < e.share {
		return e.daemons[e.favored]
	}
	return e.daemons[e.random.IntN(len(e.daemons))]
}

// NewTransport returns a transport of one caller, whose connections the entry hands out, and a
// function that closes its idle ones.
func (e *Entry) NewTransport() (*http.Transport, func()) {
	t := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, e.pick().addr)
	}}
	return t, t.CloseIdleConnections
}
