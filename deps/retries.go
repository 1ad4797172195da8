package deps

import (
	"sync/atomic"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/retry"
)

// retryShare computes this daemon's share of the retries for a service, and logs its changes.
type retryShare struct {
	edge    *Edge
	share   *retry.Share
	members retry.Members
	last    atomic.Pointer[retryShareState]
}

// retryShareState is a share and the number of daemons it was computed for.
type retryShareState struct {
	allowance retry.Allowance
	daemons   int
	// listed is set if this daemon's own row is among those that were counted.
	listed bool
}

func newRetryShare(e *Edge) *retryShare {
	r := &retryShare{edge: e, share: retry.NewShare(clock.Now(), e.settings.Current().FirstStart())}
	e.Metrics.NewGauge("pointpass_retry_ratio", func() float64 { return r.allowance().Ratio })
	e.Metrics.NewGauge("pointpass_retry_extra", func() float64 { return r.allowance().Extra })
	return r
}

// allowance returns the share as of now.
func (r *retryShare) allowance() retry.Allowance {
	bounds := r.edge.settings.Bounds()
	total := retry.Allowance{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow}
	now := clock.Now()
	// A stopping daemon deletes its row first and serves callers until its grace period ends.
	retention := bounds.RetryWindow + bounds.GracePeriod
	s := retryShareState{daemons: max(r.edge.Lease.Nodes(), r.members.Count(now, retention)), listed: r.edge.isListed()}
	s.allowance = r.share.Of(total, s.daemons, now)
	if last := r.last.Swap(&s); last == nil || *last != s {
		r.log(s)
	}
	return s.allowance
}

// observeDaemons records how many daemons have announced themselves.
func (r *retryShare) observeDaemons(n int) { r.members.Observe(n, clock.Now()) }

func (r *retryShare) log(s retryShareState) {
	r.edge.Log.Info().Str("event", "retry_share").Float64("ratio", s.allowance.Ratio).Float64("extra", s.allowance.Extra).
		Dur("window", s.allowance.Window).Int("daemons", s.daemons).Bool("listed", s.listed).Msg("")
}

// isListed reports whether this daemon's row is among those that it has read last.
func (e *Edge) isListed() bool {
	known, _ := e.followers.directory.Snapshot()
	_, listed := known.NodeVersions[e.settings.Current().Name()]
	return listed
}
