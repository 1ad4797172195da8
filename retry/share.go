package retry

import "time"

const (
	// shareFraction is the fraction of the allowed retries that daemons use in normal operation.
	shareFraction = 0.7
	// restartedFraction is the fraction of the allowed ratio that a restarted daemon uses while
	// retries of its previous run may still count. Both together are the whole ratio.
	restartedFraction = 1 - shareFraction
)

// Share is a daemon's share of the retries that all daemons together may make. The daemons don't
// coordinate: each uses the ratio for its own requests, and they divide the extra.
//
// A daemon doesn't remember the retries of its previous run. Within a window, at most one of its
// runs has been up for a whole window: that one makes up to shareFraction of the daemon's part.
// All later runs together make up to restartedFraction of the ratio for their requests, and no
// extra retries.
type Share struct {
	started time.Time
	first   bool
}

// NewShare returns the share of a daemon that started at a time. First is set if it can't have run
// before.
func NewShare(started time.Time, first bool) *Share { return &Share{started: started, first: first} }

// Of returns this daemon's share of a total, given the number of daemons.
func (s *Share) Of(total Allowance, daemons int, now time.Time) Allowance {
	if !s.first && now.Sub(s.started) < total.Window {
		return Allowance{Ratio: restartedFraction * total.Ratio, Window: total.Window}
	}
	return Allowance{
		Ratio:  shareFraction * total.Ratio,
		Extra:  shareFraction * total.Extra / float64(daemons),
		Window: total.Window,
	}
}
