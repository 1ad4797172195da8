package deps

import (
	"context"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/serving"
)

// reportPause is how long a daemon waits before it reports the same group again.
const reportPause = 700 * time.Millisecond

// mostReports bounds how many reports wait to be sent, and mostReported how many
// groups are remembered.
const (
	mostReports  = 64
	mostReported = 1024
)

// reporter tells the holder of the lease which groups fail requests here. The
// holder sees only its own part of the traffic.
type reporter struct {
	edge  *Edge
	peers *relay.Client
	queue chan relay.Report
	begun chan struct{}

	mu   sync.Mutex
	last map[reportKey]time.Time
}

// reportKey is a group and what was seen of it.
type reportKey struct {
	group string
	sign  relay.Sign
}

func newReporter(e *Edge, peers *relay.Client) *reporter {
	return &reporter{edge: e, peers: peers, queue: make(chan relay.Report, mostReports), begun: make(chan struct{}, 1), last: map[reportKey]time.Time{}}
}

// report has a failing group reported soon. It never waits.
func (r *reporter) report(group string, failure serving.Failure) {
	sign := signOf(failure)
	if !r.due(reportKey{group: group, sign: sign}, clock.Now()) {
		return
	}
	select {
	case r.queue <- relay.Report{Group: group, Reporter: r.edge.settings.Current().Name(), Sign: sign}:
	default:
	}
}

// signOf returns how other daemons are told of a failure.
func signOf(f serving.Failure) relay.Sign {
	if f == serving.FellSilent {
		return relay.Silent
	}
	return relay.Lost
}

// object has it told that a group which others found failing has sent something here
// just now. It never waits.
func (r *reporter) object(group string) {
	select {
	case r.queue <- relay.Report{Group: group, Reporter: r.edge.settings.Current().Name(), Sign: relay.Alive}:
	default:
	}
}

func (r *reporter) due(key reportKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last[key]) < reportPause {
		return false
	}
	if len(r.last) >= mostReported {
		clear(r.last)
	}
	r.last[key] = now
	return true
}

// Run sends reports until ctx ends.
func (r *reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-r.queue:
			r.send(ctx, report)
		case <-r.begun:
			r.sendBegun(ctx)
		}
	}
}

// reportBegun has the holder told soon that callers are being served. It never
// waits.
func (r *reporter) reportBegun() {
	select {
	case r.begun <- struct{}{}:
	default:
	}
}

func (r *reporter) sendBegun(ctx context.Context) {
	holder, known := r.edge.following.holder()
	if !known || holder.Name == r.edge.settings.Current().Name() {
		return
	}
	if err := r.peers.Begun(ctx, holder.Addr); err != nil {
		r.edge.Log.Warn().Str("event", "report_failed").Str("holder", holder.Name).Err(err).Msg("")
	}
}

func (r *reporter) send(ctx context.Context, report relay.Report) {
	if r.edge.following.isHolder() {
		reports{r.edge}.Suspect(report)
		return
	}
	holder, known := r.edge.following.holder()
	if !known {
		return
	}
	if err := r.peers.Suspect(ctx, holder.Addr, report); err != nil {
		r.edge.Log.Warn().Str("event", "report_failed").Str("group", report.Group).Str("holder", holder.Name).Err(err).Msg("")
	}
}
