package deps

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/relay"
)

// seedTimeout is how long a daemon at a first start looks for a seed that accepts connections: all
// daemons start within about 0.3 s.
const (
	seedTimeout       = 700 * time.Millisecond
	seedRetryInterval = 50 * time.Millisecond
)

// seedFinder finds a seed: one of the daemons named in the settings, which can list the others.
// Without seeds, each of a thousand starting daemons reads the list from the store and writes its
// own row there. A daemon that restarts reads the store instead: callers are waiting, and after a
// power loss a seed may be the last to come up. It is safe for concurrent use.
type seedFinder struct {
	found atomic.Pointer[relay.Member]
	// done is closed once the search has ended, with or without a seed.
	done chan struct{}
}

func newSeedFinder() *seedFinder { return &seedFinder{done: make(chan struct{})} }

// Find looks for a seed among the given addresses in parallel, since one without power doesn't
// respond. A daemon that is a seed itself doesn't look for one.
func (s *seedFinder) Find(ctx context.Context, self string, seeds []string, timeout time.Duration) {
	defer close(s.done)
	if len(seeds) == 0 || slices.Contains(seeds, self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	up := make(chan string, len(seeds))
	for _, addr := range seeds {
		go dialUntilUp(ctx, addr, up)
	}
	select {
	case addr := <-up:
		s.found.Store(&relay.Member{Name: addr, Addr: addr})
	case <-ctx.Done():
	}
}

// dialUntilUp sends an address to up once it accepts connections.
func dialUntilUp(ctx context.Context, addr string, up chan<- string) {
	for ctx.Err() == nil {
		conn, err := tcp.Dialer(seedTimeout).DialContext(ctx, "tcp", addr)
		if err == nil {
			conn.Close()
			up <- addr
			return
		}
		sleep(ctx, seedRetryInterval)
	}
}

// Found returns the seed, or none if none was found.
func (s *seedFinder) Found() []relay.Member {
	m := s.found.Load()
	if m == nil {
		return nil
	}
	return []relay.Member{*m}
}

// findSeed looks for a seed according to the settings.
func (f *tableFollowers) findSeed(ctx context.Context) {
	settings := f.edge.settings.Current()
	seeds := settings.Seeds()
	if !settings.FirstStart() {
		seeds = nil
	}
	f.seeds.Find(ctx, settings.PeersAddr(), seeds, seedTimeout)
}

// upstreams returns the daemons to read from in place of the store, and a seed until the other
// daemons are loaded. A starting relay reads from the store first: its hall waits for it, and its
// upstream may have lost power too.
func (f *tableFollowers) upstreams() []relay.Member {
	view := f.control.Load()
	switch {
	case !f.hasPeers():
		return f.seeds.Found()
	case view.isRelay && !f.edge.workersRead.Load():
		return nil
	}
	return view.upstreams
}

func (f *tableFollowers) hasPeers() bool {
	select {
	case <-f.peersLoaded:
		return true
	default:
		return false
	}
}

// enlist has this daemon's row written by a relay of its hall, or by a seed while none is loaded.
// Without either it writes the row itself. It fails with *relay.CallError if no daemon can write
// it.
func (f *tableFollowers) enlist(ctx context.Context, name string, row []byte) error {
	select {
	case <-f.seeds.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	writers := f.seeds.Found()
	if f.hasPeers() {
		writers = f.hallRelays(f.control.Load())
	}
	if len(writers) == 0 {
		return f.enlister.Enlist(ctx, name, row)
	}
	var err error
	for _, m := range writers {
		if err = f.peers.Enlist(ctx, m.Addr, name, row); err == nil {
			return nil
		}
		f.edge.Log.Warn().Str("event", "enlist_failed").Str("at", m.Name).Err(err).Msg("")
	}
	return err
}
