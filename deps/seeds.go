package deps

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/relay"
)

// startPatience is how long a daemon of a first start looks for a seed that takes connections:
// all start within some 0.3 s.
const (
	startPatience = 700 * time.Millisecond
	seedPause     = 50 * time.Millisecond
)

// seeker finds a seed: one of the daemons that the settings name, who knows the others.
// Without seeds each of a thousand daemons that start reads who the others are from the store,
// and writes a row of its own there. A daemon that starts again asks the store: callers wait,
// and after a loss of power a seed may be the last to come up (with seeds the median daemon
// of 123 had a configuration 0.4 s later, and a hundred callers more were refused). It is
// safe for use by many goroutines.
type seeker struct {
	found atomic.Pointer[relay.Member]
	// done is closed once a seed was found or looked for in vain.
	done chan struct{}
}

func newSeeker() *seeker { return &seeker{done: make(chan struct{})} }

// Seek looks for a seed among some daemons, side by side: one that is without power says
// nothing. A daemon that is one of them itself seeks none.
func (s *seeker) Seek(ctx context.Context, self string, seeds []string, patience time.Duration) {
	defer close(s.done)
	if len(seeds) == 0 || slices.Contains(seeds, self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	up := make(chan string, len(seeds))
	for _, addr := range seeds {
		go knock(ctx, addr, up)
	}
	select {
	case addr := <-up:
		s.found.Store(&relay.Member{Name: addr, Addr: addr})
	case <-ctx.Done():
	}
}

// knock tells an address once it takes connections.
func knock(ctx context.Context, addr string, up chan<- string) {
	for ctx.Err() == nil {
		conn, err := tcp.Dialer(startPatience).DialContext(ctx, "tcp", addr)
		if err == nil {
			conn.Close()
			up <- addr
			return
		}
		pause(ctx, seedPause)
	}
}

// Found returns the seed to ask, none if none was found.
func (s *seeker) Found() []relay.Member {
	m := s.found.Load()
	if m == nil {
		return nil
	}
	return []relay.Member{*m}
}

// seek looks for a seed as the settings say.
func (f *following) seek(ctx context.Context) {
	settings := f.edge.settings.Current()
	seeds := settings.Seeds()
	if !settings.FirstStart() {
		seeds = nil
	}
	f.seeker.Seek(ctx, settings.PeersAddr(), seeds, startPatience)
}

// upstreams returns the daemons to ask in place of the store: before any others are known,
// a seed. A daemon that relays reads from the store first: its hall waits for it, and whom it
// is to ask may have lost power too.
func (f *following) upstreams() []relay.Member {
	view := f.control.Load()
	switch {
	case !f.knowsOthers():
		return f.seeker.Found()
	case view.relays && !f.edge.workersRead.Load():
		return nil
	}
	return view.upstreams
}

func (f *following) knowsOthers() bool {
	select {
	case <-f.learned:
		return true
	default:
		return false
	}
}

// enlist has this daemon's row written by one that relays in its hall, or by a seed while
// none is known. It fails with *relay.CallError if that can't be done.
func (f *following) enlist(ctx context.Context, name string, row []byte) error {
	select {
	case <-f.seeker.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	writers := f.seeker.Found()
	if f.knowsOthers() {
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
