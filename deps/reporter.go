package deps

import (
	"context"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/serving"
)

// reportInterval is the minimum interval between reports of the same group.
const reportInterval = 700 * time.Millisecond

// maxQueuedReports limits the reports that wait to be sent, maxTrackedReports the keys for which the
// time of the last report is tracked.
const (
	maxQueuedReports  = 64
	maxTrackedReports = 1024
)

// reporter reports groups that fail requests here to the lease holder, which sees only its own part
// of the traffic.
type reporter struct {
	edge    *Edge
	peers   *relay.Client
	queue   chan relay.Report
	started chan struct{}

	mu   sync.Mutex
	last map[reportKey]time.Time
}

// reportKey is a group and the sign observed of it.
type reportKey struct {
	group string
	sign  relay.Sign
}

func newReporter(e *Edge, peers *relay.Client) *reporter {
	return &reporter{edge: e, peers: peers, queue: make(chan relay.Report, maxQueuedReports), started: make(chan struct{}, 1), last: map[reportKey]time.Time{}}
}

// report queues a report of a failing group. It never blocks.
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

// signOf returns the sign that is reported for a failure.
func signOf(f serving.Failure) relay.Sign {
	if f == serving.Unresponsive {
		return relay.Silent
	}
	return relay.Lost
}

// reportAlive queues an objection: a group that others found failing has just sent something here.
// It never blocks.
func (r *reporter) reportAlive(group string) {
	select {
	case r.queue <- relay.Report{Group: group, Reporter: r.edge.settings.Current().Name(), Sign: relay.Alive}:
	default:
	}
}

func (r *reporter) due(key reportKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last[key]) < reportInterval {
		return false
	}
	if len(r.last) >= maxTrackedReports {
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
		case <-r.started:
			r.sendStarted(ctx)
		}
	}
}

// reportStarted schedules a report to the lease holder that callers are being served. It never
// blocks.
func (r *reporter) reportStarted() {
	select {
	case r.started <- struct{}{}:
	default:
	}
}

func (r *reporter) sendStarted(ctx context.Context) {
	holder, ok := r.edge.followers.holder()
	if !ok || holder.Name == r.edge.settings.Current().Name() {
		return
	}
	if err := r.peers.Begun(ctx, holder.Addr); err != nil {
		r.edge.Log.Warn().Str("event", "report_failed").Str("holder", holder.Name).Err(err).Msg("")
	}
}

func (r *reporter) send(ctx context.Context, report relay.Report) {
	if r.edge.followers.isHolder() {
		reportHandler{r.edge}.Suspect(report)
		return
	}
	holder, ok := r.edge.followers.holder()
	if !ok {
		return
	}
	if err := r.peers.Suspect(ctx, holder.Addr, report); err != nil {
		r.edge.Log.Warn().Str("event", "report_failed").Str("group", report.Group).Str("holder", holder.Name).Err(err).Msg("")
	}
}
