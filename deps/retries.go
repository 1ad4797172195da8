package deps

import (
	"sync"
	"sync/atomic"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/retry"
)

// retryShare computes this daemon's share of the retries for a service, and logs its changes.
type retryShare struct {
	edge *Edge
	last atomic.Pointer[retry.Part]

	mu    sync.Mutex
	share *retry.Share
}

func newRetryShare(e *Edge) *retryShare {
	r := &retryShare{edge: e}
	e.Metrics.NewGauge("pointpass_retry_ratio", func() float64 { return r.allowance().Ratio })
	e.Metrics.NewGauge("pointpass_retry_extra", func() float64 { return r.allowance().Extra })
	e.Metrics.NewGauge("pointpass_retry_daemons", func() float64 { return float64(r.part().Daemons) })
	return r
}

// allowance returns the share as of now.
func (r *retryShare) allowance() retry.Allowance { return r.part().Allowance }

func (r *retryShare) part() retry.Part {
	bounds := r.edge.settings.Bounds()
	p := r.current().Of(retry.Allowance{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow}, clock.Now())
	if last := r.last.Swap(&p); last == nil || *last != p {
		r.log(p)
	}
	return p
}

// current returns the share. One for another window starts anew, since daemons count each other for as long as
// its window.
func (r *retryShare) current() *retry.Share {
	window := r.edge.settings.Bounds().RetryWindow
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.share == nil || r.share.Window() != window {
		r.share = retry.NewShare(r.edge.settings.Current().Name(), window)
	}
	return r.share
}

// learnDaemons records which daemons have announced themselves.
func (r *retryShare) learnDaemons(v quota.View) { r.current().Learn(v, clock.Now()) }

func (r *retryShare) log(p retry.Part) {
	r.edge.Log.Info().Str("event", "retry_share").Float64("ratio", p.Ratio).Float64("extra", p.Extra).
		Dur("window", p.Window).Int("daemons", p.Daemons).Str("standing", string(p.Standing)).Msg("")
}
