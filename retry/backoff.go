package retry

import "time"

// maxDoublings bounds how often a backoff is doubled.
const maxDoublings = 4

// Backoff avoids a target for some time after it refused a request, twice as long after each
// consecutive refusal. Since a refused request isn't in flight any more, a target would
// otherwise look the less loaded the faster it refuses. The zero value avoids nothing. It isn't
// safe for concurrent use.
type Backoff struct {
	until       time.Time
	consecutive int
}

// Refused records a refusal. Initial is the backoff after the first refusal, maximum the longest
// backoff. Refusals during a backoff are ignored: they are those of requests that were in
// flight at the same time.
func (b *Backoff) Refused(now time.Time, initial, maximum time.Duration) {
	if b.Active(now) {
		return
	}
	b.until = now.Add(min(initial<<min(b.consecutive, maxDoublings), maximum))
	b.consecutive++
}

// Accepted records that the target accepted a request.
func (b *Backoff) Accepted() { b.consecutive = 0 }

// Active reports whether the target is to be avoided.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }
