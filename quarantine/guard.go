package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// unconfirmedTimeout is how long a hold counts that was announced but has no row in the store
// yet. Rows of the lease table reach all daemons within its bound of 2.2 s plus the response
// time of the store.
const unconfirmedTimeout = 10 * time.Second

// maxFinished is the number of requests in one generation of the set of completed requests. At
// 50 requests per second, the rate of a daemon at the busiest sites, that covers more than a
// minute; 4,096 take 0.2 MB.
const maxFinished = 4096

// Hold is a request that is held back, or a set of parts: all requests with them are.
type Hold struct {
	Fingerprint Fingerprint `json:"-"`
	// Parts are the parts that are held back together, none for a single request.
	Parts PartSet `json:"parts,omitempty"`
	// Charge is the request's charge at the decision, and Workers are some of the workers that
	// it crashed.
	Charge  float64  `json:"charge"`
	Workers []string `json:"workers"`
	// SinceMs is the time of the decision by the store's clock, in milliseconds.
	SinceMs int64 `json:"since_ms"`
	// Version is the store version of its row, 0 if it has no row.
	Version uint64 `json:"-"`
	// ReceivedAt is when this daemon first received the hold.
	ReceivedAt time.Time `json:"-"`
}

// Guard holds one daemon's view of the requests that crash workers. It is safe for concurrent
// use.
type Guard struct {
	key    atomic.Pointer[Key]
	now    func() time.Time
	active atomic.Bool // whether any request is held back

	mu   sync.Mutex
	held map[Fingerprint]Hold
	// finished is when requests completed, finishedBefore that of the previous generation.
	finished, finishedBefore map[Fingerprint]time.Time
	// sets are the holds of two parts or more.
	sets []Hold
	// outputs is how far requests with parts got at this daemon, outputsBefore that of the previous
	// generation.
	outputs, outputsBefore map[Fingerprint]progress
	// watched are the parts whose output is reported, and until when.
	watched map[Fingerprint]time.Time
	// reported is when output on them was last reported.
	reported map[outputKind]time.Time
}

// NewGuard returns a guard without a key and without holds.
func NewGuard(now func() time.Time) *Guard {
	return &Guard{now: now, held: map[Fingerprint]Hold{}, finished: map[Fingerprint]time.Time{}, outputs: map[Fingerprint]progress{}, watched: map[Fingerprint]time.Time{}, reported: map[outputKind]time.Time{}}
}

// SetKey sets the key that all daemons share.
func (g *Guard) SetKey(k Key) { g.key.Store(&k) }

// Key returns the key that all daemons share, false if it isn't set yet.
func (g *Guard) Key() (Key, bool) {
	k := g.key.Load()
	if k == nil {
		return Key{}, false
	}
	return *k, true
}

// Fingerprint returns the fingerprint of a request, false if the key isn't set yet.
func (g *Guard) Fingerprint(c Content) (Fingerprint, bool) {
	k := g.key.Load()
	if k == nil {
		return Fingerprint{}, false
	}
	return k.Fingerprint(c), true
}

// FingerprintParts returns the fingerprints of parts of a prompt, none if the key isn't set yet.
func (g *Guard) FingerprintParts(service, model string, ids []string) []Fingerprint {
	k := g.key.Load()
	if k == nil {
		return nil
	}
	var parts []Fingerprint
	for _, id := range ids {
		parts = append(parts, k.FingerprintPart(Part{Service: service, Model: model, ID: id}))
	}
	return parts
}

// Active reports whether any request is held back, which makes computing fingerprints
// necessary.
func (g *Guard) Active() bool { return g.active.Load() }

// Held returns the hold of a request, false if it isn't held back or has completed at this
// daemon.
func (g *Guard) Held(f Fingerprint) (Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, held := g.heldLocked(f)
	if held && g.finishedLocked(f) {
		return Hold{}, false
	}
	return h, held
}

// heldLocked returns a hold that counts. The caller holds the lock.
func (g *Guard) heldLocked(f Fingerprint) (Hold, bool) {
	h, held := g.held[f]
	if held && h.Version == 0 && g.now().Sub(h.ReceivedAt) > unconfirmedTimeout {
		delete(g.held, f)
		return Hold{}, false
	}
	return h, held
}

// Announce adds a hold whose row isn't in the store yet. It returns false if the hold is
// already present.
func (g *Guard) Announce(h Hold) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous, found := g.held[h.Fingerprint]
	if found && previous.Version != 0 {
		return false
	}
	h.ReceivedAt = g.now()
	g.held[h.Fingerprint] = h
	g.updateLocked()
	return !found
}

// ApplyRows replaces the holds by all stored rows. It returns the rows that are new to this
// daemon and the holds that have ended.
func (g *Guard) ApplyRows(rows []Hold) (added, ended []Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	next := make(map[Fingerprint]Hold, len(rows))
	for _, h := range rows {
		previous, found := g.held[h.Fingerprint]
		h.ReceivedAt = now
		if found {
			h.ReceivedAt = previous.ReceivedAt
		}
		if previous.Version != h.Version {
			added = append(added, h)
		}
		next[h.Fingerprint] = h
	}
	for f, h := range g.held {
		_, stillStored := next[f]
		switch {
		case stillStored:
		case h.Version == 0 && now.Sub(h.ReceivedAt) <= unconfirmedTimeout:
			next[f] = h
		default:
			ended = append(ended, h)
		}
	}
	g.held = next
	g.updateLocked()
	return added, ended
}

// MarkLostRows handles a restore of the store from an older copy, which has the given rows. It
// returns the holds whose rows are lost; they continue as if they had just been announced.
func (g *Guard) MarkLostRows(rows []Hold) (lost []Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stored := map[Fingerprint]bool{}
	for _, h := range rows {
		stored[h.Fingerprint] = true
	}
	for f, h := range g.held {
		if stored[f] || h.Version == 0 {
			continue
		}
		h.Version = 0
		h.ReceivedAt = g.now()
		g.held[f] = h
		lost = append(lost, h)
	}
	return lost
}

// Holds returns all holds.
func (g *Guard) Holds() []Hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Hold
	for _, h := range g.held {
		list = append(list, h)
	}
	return list
}

// MarkFinished records that a worker completed a request and is still alive.
func (g *Guard) MarkFinished(f Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.finished) >= maxFinished {
		g.finishedBefore = g.finished
		g.finished = make(map[Fingerprint]time.Time, maxFinished)
	}
	g.finished[f] = g.now()
}

// Finished reports whether a request has completed at this daemon within completionLifetime. A
// request that crashes every worker that starts it never does.
func (g *Guard) Finished(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finishedLocked(f)
}

// finishedLocked implements Finished. The caller holds the lock.
func (g *Guard) finishedLocked(f Fingerprint) bool {
	at, found := g.finished[f]
	if !found {
		at, found = g.finishedBefore[f]
	}
	return found && g.now().Sub(at) < completionLifetime
}
