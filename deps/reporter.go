package deps

import (
	"context"
	"sync"
	"time"

	"github.com/pointpass/pointpass/relay"
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
	queue chan string
	begun chan struct{}

	mu   sync.Mutex
	last map[string]time.Time
}

func newReporter(e *Edge, peers *relay.Client) *reporter {
	return &reporter{edge: e, peers: peers, queue: make(chan string, mostReports), begun: make(chan struct{}, 1), last: map[string]time.Time{}}
}

// report has a failing group reported soon. It never waits.
func (r *reporter) report(group string) {
	if !r.due(group, time.Now()) {
		return
	}
	select {
	case r.queue <- group:
	default:
	}
}

func (r *reporter) due(group string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last[group]) < reportPause {
		return false
	}
	if len(r.last) >= mostReported {
		clear(r.last)
	}
	r.last[group] = now
	return true
}

// Run sends reports until ctx ends.
func (r *reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case group := <-r.queue:
			r.send(ctx, group)
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
	if !known || holder.Name == r.edge.settings.Name() {
		return
	}
	if err := r.peers.Begun(ctx, holder.Addr); err != nil {
		r.edge.Log.Warn().Str("event", "report_failed").Str("holder", holder.Name).Err(err).Msg("")
	}
}

func (r *reporter) send(ctx context.Context, group string) {
	if _, held := r.edge.Lease.Held(); held {
		r.edge.Controller.Suspect(group, r.edge.settings.Name())
		return
	}
	holder, known := r.edge.following.holder()
	if !known || holder.Name == r.edge.settings.Name() {
		return
	}
	if err := r.peers.Suspect(ctx, holder.Addr, group, r.edge.settings.Name()); err != nil {
		r.edge.Log.Warn().Str("event", "report_failed").Str("group", group).Str("holder", holder.Name).Err(err).Msg("")
	}
}
