package retry

import "time"

// mostDoublings bounds by how often a backoff is doubled.
const mostDoublings = 4

// Backoff leaves a target alone for a while after it turned a request away, twice as long
// with each time in a row. A refusal leaves nothing under way: without it the target would
// look the less busy the faster it refuses. The zero value leaves nothing alone. It isn't
// safe for use by many goroutines.
type Backoff struct {
	until  time.Time
	inARow int
}

// Refused notes a refusal. First is for how long the first one counts, most for how long any
// does. Further refusals meanwhile are those of requests that were under way together.
func (b *Backoff) Refused(now time.Time, first, most time.Duration) {
	if b.Active(now) {
		return
	}
	b.until = now.Add(min(first<<min(b.inARow, mostDoublings), most))
	b.inARow++
}

// Accepted notes that the target took a request.
func (b *Backoff) Accepted() { b.inARow = 0 }

// Active tells whether the target is to be left alone.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }
