package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// unconfirmedLife is for how long a hold counts that was announced and has no row yet. Rows
// of the lease's table are known everywhere within its bound of 2.2 s, and later by what
// the store needs to answer.
const unconfirmedLife = 10 * time.Second

// mostFinished is how many requests one generation of the memory of those that ended well
// has room for. At 50 requests a second, what a daemon has at the busiest sites known, that
// is more than a minute; 4,096 take 0.2 MB.
const mostFinished = 4096

// Hold is a request that is held back.
type Hold struct {
	Fingerprint Fingerprint `json:"-"`
	// Charge is what was put down to it, and Workers are some that ended under it.
	Charge  float64  `json:"charge"`
	Workers []string `json:"workers"`
	// SinceMs is when it was decided, by the store's clock.
	SinceMs int64 `json:"since_ms"`
	// Version is the store's version of its row, 0 while there is none.
	Version uint64 `json:"-"`
	// Known is when this daemon learned of it.
	Known time.Time `json:"-"`
}

// Guard is what one daemon knows of requests that crash workers. It is safe for use by
// many goroutines.
type Guard struct {
	key  atomic.Pointer[Key]
	now  func() time.Time
	some atomic.Bool // whether anything is held back

	mu   sync.Mutex
	held map[Fingerprint]Hold
	// finished are requests that ended well, the latest ones and those before.
	finished, finishedBefore map[Fingerprint]struct{}
}

// NewGuard returns a guard that knows nothing yet.
func NewGuard(now func() time.Time) *Guard {
	return &Guard{now: now, held: map[Fingerprint]Hold{}, finished: map[Fingerprint]struct{}{}}
}

// SetKey sets the key that all daemons share.
func (g *Guard) SetKey(k Key) { g.key.Store(&k) }

// Key returns the key that all daemons share, false while it isn't known.
func (g *Guard) Key() (Key, bool) {
	k := g.key.Load()
	if k == nil {
		return Key{}, false
	}
	return *k, true
}

// Fingerprint returns what names a request, false while the key isn't known.
func (g *Guard) Fingerprint(c Content) (Fingerprint, bool) {
	k := g.key.Load()
	if k == nil {
		return Fingerprint{}, false
	}
	return k.Of(c), true
}

// Active tells whether any request is held back, so that fingerprints are worth making.
func (g *Guard) Active() bool { return g.some.Load() }

// Held returns how a request is held back, false if it isn't, or has ended well here.
func (g *Guard) Held(f Fingerprint) (Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, held := g.held[f]
	if held && g.hasFinished(f) {
		return Hold{}, false
	}
	if held && h.Version == 0 && g.now().Sub(h.Known) > unconfirmedLife {
		delete(g.held, f)
		return Hold{}, false
	}
	return h, held
}

// Announce takes in a decision whose row isn't there yet. It returns false if it is known.
func (g *Guard) Announce(h Hold) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, known := g.held[h.Fingerprint]
	if known && before.Version != 0 {
		return false
	}
	h.Known = g.now()
	g.held[h.Fingerprint] = h
	g.some.Store(true)
	return !known
}

// Learn takes in all rows of requests that are held back, and returns which rows are new here
// and which requests are held back no longer.
func (g *Guard) Learn(rows []Hold) (began, ended []Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	next := make(map[Fingerprint]Hold, len(rows))
	for _, h := range rows {
		before, known := g.held[h.Fingerprint]
		h.Known = now
		if known {
			h.Known = before.Known
		}
		if before.Version != h.Version {
			began = append(began, h)
		}
		next[h.Fingerprint] = h
	}
	for f, h := range g.held {
		_, still := next[f]
		switch {
		case still:
		case h.Version == 0 && now.Sub(h.Known) <= unconfirmedLife:
			next[f] = h
		default:
			ended = append(ended, h)
		}
	}
	g.held = next
	g.some.Store(len(next) > 0)
	return began, ended
}

// Restore takes in that the store came back from an older copy, which has these rows. It
// returns the requests whose rows are lost; they are held back as if just announced.
func (g *Guard) Restore(rows []Hold) (lost []Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	there := map[Fingerprint]bool{}
	for _, h := range rows {
		there[h.Fingerprint] = true
	}
	for f, h := range g.held {
		if there[f] || h.Version == 0 {
			continue
		}
		h.Version = 0
		h.Known = g.now()
		g.held[f] = h
		lost = append(lost, h)
	}
	return lost
}

// Holds returns what is held back.
func (g *Guard) Holds() []Hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Hold
	for _, h := range g.held {
		list = append(list, h)
	}
	return list
}

// Finish notes that a worker ended a request and lives.
func (g *Guard) Finish(f Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.finished) >= mostFinished {
		g.finishedBefore = g.finished
		g.finished = make(map[Fingerprint]struct{}, mostFinished)
	}
	g.finished[f] = struct{}{}
}

// Finished tells whether a request has ended well here lately. One that crashes each worker
// that begins it never does.
func (g *Guard) Finished(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasFinished(f)
}

// hasFinished is Finished with the lock held.
func (g *Guard) hasFinished(f Fingerprint) bool {
	_, now := g.finished[f]
	_, before := g.finishedBefore[f]
	return now || before
}
