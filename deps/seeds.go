package deps

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/relay"
)

// seedPatience is how long a daemon that starts waits for one of its seeds to take
// connections before it asks the store: after a loss of power all start within 0.3 s.
const (
	seedPatience = 700 * time.Millisecond
	seedPause    = 50 * time.Millisecond
	seedTimeout  = 200 * time.Millisecond
)

// seeds are the daemons that the settings name, in an order that differs from daemon to
// daemon; none at a daemon that is one itself, which asks the store.
func (f *following) seeds() []relay.Member {
	settings := f.edge.settings.Current()
	if slices.Contains(settings.Seeds(), settings.PeersAddr()) {
		return nil
	}
	var list []relay.Member
	for _, addr := range settings.Seeds() {
		list = append(list, relay.Member{Name: addr, Addr: addr})
	}
	f.seedOrder.Do(func() { f.seedsFrom = rand.Int() })
	if len(list) == 0 {
		return nil
	}
	first := f.seedsFrom % len(list)
	return slices.Concat(list[first:], list[:first])
}

// upstreams returns the daemons to ask in place of the store: before any others are known,
// the seeds. Without them each of a thousand daemons that start reads who the others are from
// the store, and writes a row of its own there.
func (f *following) upstreams() []relay.Member {
	if f.knowsOthers() {
		return f.control.Load().upstreams
	}
	return f.seeds()
}

func (f *following) knowsOthers() bool {
	select {
	case <-f.learned:
		return true
	default:
		return false
	}
}

// awaitSeed waits for a while until a seed takes connections.
func (f *following) awaitSeed(ctx context.Context) {
	seeds := f.seeds()
	for until := time.Now().Add(seedPatience); len(seeds) > 0 && time.Now().Before(until); pause(ctx, seedPause) {
		for _, m := range seeds {
			if takesConnections(ctx, m.Addr) {
				return
			}
		}
	}
}

func takesConnections(ctx context.Context, addr string) bool {
	conn, err := tcp.Dialer(seedTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// enlist has this daemon's row written by one that relays in its hall, or by a seed while
// none is known. It fails with *relay.CallError if that can't be done.
func (f *following) enlist(ctx context.Context, name string, row []byte) error {
	writers := f.seeds()
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
