package retry

// shareFraction is the fraction of the allowed retries that daemons use.
const shareFraction = 0.7

// Share is a daemon's share of the retries that all daemons together may make. The daemons don't
// coordinate: each uses the ratio for its own requests, and they divide the extra.
type Share struct{}

// NewShare returns the share of a daemon.
func NewShare() *Share { return &Share{} }

// Of returns this daemon's share of a total, given the number of daemons.
func (s *Share) Of(total Allowance, daemons int) Allowance {
	return Allowance{
		Ratio:  shareFraction * total.Ratio,
		Extra:  shareFraction * total.Extra / float64(daemons),
		Window: total.Window,
	}
}
