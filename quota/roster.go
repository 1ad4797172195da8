package quota

import (
	"hash/fnv"
	"sync"
	"time"
)

// EvidenceAge is how old the newest view may be. It is above what views are while the store
// answers, also behind daemons that relay. Each second more has a daemon that starts send
// nothing for two.
const EvidenceAge = 3300 * time.Millisecond

// View is what an answer tells of the daemons that announced themselves.
type View struct {
	// Rows are the versions of all their rows, by name.
	Rows map[string]uint64
	// Evidence is when the store was asked.
	Evidence time.Time
}

// Roster knows which daemons may send their parts. It is safe for use by many goroutines.
type Roster struct {
	self string
	// margin is within what time of each other daemons have to count each other.
	margin time.Duration

	mu       sync.RWMutex
	evidence time.Time
	// informed is since when views came without a gap, and listed since when they show
	// this daemon's row in one version, the zero time if the newest doesn't.
	informed, listed time.Time
	rows             map[string]uint64
	// hashes are those of the names in rows, but for this daemon's.
	hashes []uint64
	// gone are those that vanished, and when this daemon learned of it.
	gone map[string]time.Time
}

// NewRoster returns the roster of a daemon that knows of no other yet. Margin has to be above
// Bound.Within, with room for clocks that run unlike.
func NewRoster(self string, margin time.Duration) *Roster {
	return &Roster{self: self, margin: margin, gone: map[string]time.Time{}}
}

// keepGone is how long a daemon counts after its row is gone, and least how long views have
// to come without a gap.
func (r *Roster) keepGone() time.Duration { return EvidenceAge + r.margin }

// leastListed is how long a daemon's own row has to be seen.
func (r *Roster) leastListed() time.Duration { return 2*EvidenceAge + r.margin }

// Learn takes in a view. One that is older than what is known only has those count as
// gone, and for a while, that it doesn't show.
func (r *Roster) Learn(v View, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.evidence) > EvidenceAge {
		r.informed = now
	}
	if v.Evidence.After(r.evidence) {
		r.evidence = v.Evidence
	}
	own, listed := v.Rows[r.self]
	switch {
	case !listed:
		r.listed = time.Time{}
	case r.listed.IsZero() || own != r.rows[r.self]:
		r.listed = now
	}
	r.replace(v.Rows, now)
}

// replace notes who vanished, and the hashes of those that are there.
func (r *Roster) replace(rows map[string]uint64, now time.Time) {
	for name := range r.rows {
		if _, there := rows[name]; !there {
			r.gone[name] = now
		}
	}
	for name, at := range r.gone {
		if _, back := rows[name]; back || now.Sub(at) > r.keepGone() {
			delete(r.gone, name)
		}
	}
	r.rows = rows
	r.hashes = r.hashes[:0]
	for name := range rows {
		if name != r.self {
			r.hashes = append(r.hashes, hash(name))
		}
	}
}

// Standing is why a daemon may send its part, or why it may not yet.
type Standing string

// The standings.
const (
	Active Standing = "active"
	// Uninformed tells that the newest view is too old.
	Uninformed Standing = "uninformed"
	// Resuming tells that views haven't come without a gap for long enough.
	Resuming Standing = "resuming"
	// Unannounced tells that the daemon's own row hasn't been seen for long enough.
	Unannounced Standing = "unannounced"
)

// Standing returns whether this daemon may send its part.
func (r *Roster) Standing(now time.Time) Standing {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.standing(now)
}

func (r *Roster) standing(now time.Time) Standing {
	switch {
	case now.Sub(r.evidence) > EvidenceAge:
		return Uninformed
	case now.Sub(r.informed) < r.keepGone():
		return Resuming
	case r.listed.IsZero() || now.Sub(r.listed) < r.leastListed():
		return Unannounced
	}
	return Active
}

// Place returns how many of the daemons that count come before this one at a worker, and
// how many count in all. It returns false while this daemon may not send there.
func (r *Roster) Place(worker string, now time.Time) (rank, count int, active bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.standing(now) != Active {
		return 0, 0, false
	}
	at := hash(worker)
	own := mix(at ^ hash(r.self))
	count = 1
	for _, h := range r.hashes {
		count++
		if mix(at^h) > own {
			rank++
		}
	}
	for name, learned := range r.gone {
		if now.Sub(learned) > r.keepGone() {
			continue
		}
		count++
		if mix(at^hash(name)) > own {
			rank++
		}
	}
	return rank, count, true
}

func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// mix spreads a number over all of its bits (the end of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
