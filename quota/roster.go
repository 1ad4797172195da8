package quota

import (
	"hash/fnv"
	"sync"
	"time"
)

// MaxEvidenceAge is the usual maximum age of the newest view. It exceeds the age of views
// while the store responds, also behind daemons that relay. Each second more makes a daemon
// that starts send nothing for two seconds longer.
const MaxEvidenceAge = 3300 * time.Millisecond

// View is a view of the daemons that have announced themselves.
type View struct {
	// Rows are the versions of all their rows, by name.
	Rows map[string]uint64
	// Evidence is when the store was queried.
	Evidence time.Time
}

// Roster tracks which daemons may send their parts. It is safe for concurrent use.
type Roster struct {
	self string
	// linger is for how much longer a daemon that has vanished counts in Count.
	linger time.Duration
	// margin is the time within which active daemons have to count each other, maxAge the
	// maximum age of the newest view.
	margin, maxAge time.Duration

	mu       sync.RWMutex
	evidence time.Time
	// gaplessSince is since when views have come without a gap, and listedSince since when
	// they have shown this daemon's row in one version, zero if the newest doesn't show it.
	gaplessSince, listedSince time.Time
	rows                      map[string]uint64
	// hashes are those of the names in rows, except this daemon's.
	hashes []uint64
	// gone maps the daemons that vanished to when this daemon noticed it.
	gone map[string]time.Time
}

// NewRoster returns the roster of the daemon named self, which knows no other daemon yet.
// margin has to exceed the window of the bound, with some room for clock drift. The parts of
// a bound add up only if the rosters of all daemons have the same margin and maxAge.
func NewRoster(self string, margin, maxAge time.Duration) *Roster {
	return &Roster{self: self, margin: margin, maxAge: maxAge, gone: map[string]time.Time{}}
}

// Linger makes daemons that have vanished count for longer in Count: what they sent may be read so much later.
func (r *Roster) Linger(d time.Duration) *Roster {
	r.linger = d
	return r
}

// goneRetention is how long a daemon counts after its row is gone, and the minimum time
// for which views have to come without a gap.
func (r *Roster) goneRetention() time.Duration { return r.maxAge + r.margin }

// listedSlack is how much longer than two views a daemon's row has to be listed at least, with
// some room for clock drift.
const listedSlack = 2 * time.Second

// minListed is the minimum time for which a daemon has to see its own row.
func (r *Roster) minListed() time.Duration { return r.maxAge + max(r.margin, r.maxAge+listedSlack) }

// SettlingTime is how long after its row was written a daemon becomes active, if views come
// without a gap.
func (r *Roster) SettlingTime() time.Duration { return max(r.minListed(), r.goneRetention()) }

// Learn applies a view. One that is older than the newest only adds the daemons that it
// doesn't show to those that are gone, and only for a while.
func (r *Roster) Learn(v View, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.evidence) > r.maxAge {
		r.gaplessSince = now
	}
	if v.Evidence.After(r.evidence) {
		r.evidence = v.Evidence
	}
	own, listed := v.Rows[r.self]
	switch {
	case !listed:
		r.listedSince = time.Time{}
	case r.listedSince.IsZero() || own != r.rows[r.self]:
		r.listedSince = now
	}
	r.setRows(v.Rows, now)
}

// setRows replaces the rows and their hashes, and records which daemons vanished.
func (r *Roster) setRows(rows map[string]uint64, now time.Time) {
	for name := range r.rows {
		if _, found := rows[name]; !found {
			r.gone[name] = now
		}
	}
	for name, at := range r.gone {
		if _, back := rows[name]; back || now.Sub(at) > r.goneRetention()+r.linger {
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

// Standing is whether a daemon may send its part, and if not, why.
type Standing string

// The standings.
const (
	Active Standing = "active"
	// Uninformed means that the newest view is too old.
	Uninformed Standing = "uninformed"
	// Resuming means that views haven't come without a gap for long enough.
	Resuming Standing = "resuming"
	// Unannounced means that the daemon hasn't seen its own row for long enough.
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
	case now.Sub(r.evidence) > r.maxAge:
		return Uninformed
	case now.Sub(r.gaplessSince) < r.goneRetention():
		return Resuming
	case r.listedSince.IsZero() || now.Sub(r.listedSince) < r.minListed():
		return Unannounced
	}
	return Active
}

// Count returns how many daemons count, this one included, and false while it may not send.
func (r *Roster) Count(now time.Time) (count int, active bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.standing(now) != Active {
		return 0, false
	}
	count = len(r.rows)
	for _, at := range r.gone {
		if now.Sub(at) <= r.goneRetention()+r.linger {
			count++
		}
	}
	return count, true
}

// Place returns this daemon's rank among the daemons that count for a worker, and how many
// count. It returns false while this daemon may not send.
func (r *Roster) Place(worker string, now time.Time) (rank, count int, active bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.standing(now) != Active {
		return 0, 0, false
	}
	workerHash := hash(worker)
	own := mix(workerHash ^ hash(r.self))
	count = 1
	for _, h := range r.hashes {
		count++
		if mix(workerHash^h) > own {
			rank++
		}
	}
	for name, at := range r.gone {
		if now.Sub(at) > r.goneRetention() {
			continue
		}
		count++
		if mix(workerHash^hash(name)) > own {
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

// mix distributes the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
