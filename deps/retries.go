package deps

import (
	"sync/atomic"

	"github.com/pointpass/pointpass/retry"
)

// retryShare computes this daemon's share of the retries for a service, and logs its changes.
type retryShare struct {
	edge  *Edge
	share *retry.Share
	last  atomic.Pointer[retry.Allowance]
}

func newRetryShare(e *Edge) *retryShare {
	r := &retryShare{edge: e, share: retry.NewShare()}
	e.Metrics.NewGauge("pointpass_retry_ratio", func() float64 { return r.allowance().Ratio })
	e.Metrics.NewGauge("pointpass_retry_extra", func() float64 { return r.allowance().Extra })
	return r
}

// allowance returns the share as of now.
func (r *retryShare) allowance() retry.Allowance {
	bounds := r.edge.settings.Bounds()
	total := retry.Allowance{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow}
	daemons := r.edge.Lease.Nodes()
	a := r.share.Of(total, daemons)
	if last := r.last.Swap(&a); last == nil || *last != a {
		r.edge.Log.Info().Str("event", "retry_share").Float64("ratio", a.Ratio).Float64("extra", a.Extra).Dur("window", a.Window).Int("daemons", daemons).Msg("")
	}
	return a
}
