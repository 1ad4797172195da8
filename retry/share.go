package retry

import (
	"time"

	"github.com/pointpass/pointpass/quota"
)

const (
	// ratioFraction is the fraction of the allowed ratio that each daemon uses for its own
	// requests. Retries within any span as long as the window are made for the requests of that
	// span and of the one before it, each of which may hold as many as the ratio counts.
	ratioFraction = 0.5
	// MaxViewAge is the maximum age of a daemon's view of the others. It exceeds the age of views
	// while the store responds, also at a daemon that polls it seldom.
	MaxViewAge = 8 * time.Second
	// driftMargin is how much clocks may differ over the time that a roster covers.
	driftMargin = 500 * time.Millisecond
)

// Share is a daemon's share of the retries that all daemons together may make. The daemons don't
// coordinate: each uses a fraction of the ratio for its own requests, and those that are sure to
// count each other divide the extra. A process that has just started knows neither who shares the
// extra nor what its previous run has sent, and has no part until both are past.
type Share struct {
	roster *quota.Roster
	window time.Duration
}

// NewShare returns the share of the daemon named self for allowances with a window.
func NewShare(self string, window time.Duration) *Share {
	return &Share{roster: quota.NewRoster(self, window+SendDelay+driftMargin, MaxViewAge).Linger(MaxUnread), window: window}
}

// Window returns the window of the allowances that the share is for.
func (s *Share) Window() time.Duration { return s.window }

// Learn applies a view of the daemons.
func (s *Share) Learn(v quota.View, now time.Time) { s.roster.Learn(v, now) }

// Part is a daemon's part of an allowance, and how many daemons share the extra, 0 while this one
// doesn't.
type Part struct {
	Allowance
	Daemons  int
	Standing quota.Standing
}

// Of returns this daemon's part of a total.
func (s *Share) Of(total Allowance, now time.Time) Part {
	p := Part{Allowance: Allowance{Ratio: ratioFraction * total.Ratio, Window: total.Window}, Standing: s.roster.Standing(now)}
	if n, active := s.roster.Count(now); active && s.window == total.Window {
		p.Daemons = n
		p.Extra = total.Extra / float64(n)
	}
	return p
}
