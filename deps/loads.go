package deps

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/relay"
)

// loadReporter reports the offered load of this daemon to the lease holder. Each daemon reports to
// a relay of its hall, which reports the sum of its own load and theirs to the holder. The holder
// thus gets a few reports per second, however many daemons there are.
type loadReporter struct {
	edge      *Edge
	peers     *relay.Client
	meter     *load.Meter
	collector *load.Aggregator
	// total is the last received sum over all daemons, parts estimates this daemon's share of
	// it for each model.
	total atomic.Pointer[load.Sum]
	parts *load.ShareEstimator
	// hall is the offered load in this daemon's data hall, as last received or computed.
	hall atomic.Pointer[hallLoad]
	// lastReported is this daemon's own load in its last report, prevReported that in the
	// report before it.
	lastReported, prevReported load.Offered
}

func newLoadReporter(e *Edge, peers *relay.Client) *loadReporter {
	l := &loadReporter{edge: e, peers: peers, meter: load.NewMeter(), collector: load.NewAggregator(), parts: load.NewShareEstimator()}
	l.total.Store(&load.Sum{})
	l.hall.Store(&hallLoad{})
	return l
}

// hallLoad is the offered load in one data hall.
type hallLoad struct {
	offered load.Offered
	at      time.Time
}

// sumInterval is the minimum interval between two sums of the received reports. A relay gets one
// report per second from each of about a hundred daemons; a sum for each report would cost the
// square of their number.
const sumInterval = 250 * time.Millisecond

// record counts a request by the work it needs from a model.
func (l *loadReporter) record(m load.Model, work time.Duration) { l.meter.Record(clock.Now(), m, work) }

// collect handles a report of another daemon, and returns the last sum over all daemons.
func (l *loadReporter) collect(reporter string, s load.Sum) load.Sum {
	l.collector.Take(reporter, s, l.edge.Lease.Nodes())
	if l.edge.followers.isHolder() && clock.Since(l.total.Load().At) >= sumInterval {
		l.applySum(l.CompleteTotal())
	}
	total := *l.total.Load()
	if l.inOwnHall(reporter) {
		total.Hall = l.hallSum()
	}
	return total
}

// inOwnHall reports whether a daemon is in this one's data hall.
func (l *loadReporter) inOwnHall(daemon string) bool {
	n, ok := l.edge.followers.control.Load().Node(daemon)
	return ok && n.Hall == l.edge.settings.Current().Hall()
}

// hallSum returns the offered load in this daemon's hall, as far as it is reported here.
func (l *loadReporter) hallSum() load.Offered {
	now := clock.Now()
	if last := l.hall.Load(); now.Sub(last.at) < sumInterval {
		return last.offered
	}
	offered := l.collector.Subtotal(now, l.meter.Offered(now), l.inOwnHall)
	l.hall.Store(&hallLoad{offered: offered, at: now})
	return offered
}

// HallDemand returns the load on the groups of a model in this daemon's data hall and elsewhere, as
// a number of busy groups, and false if it is unknown.
func (l *loadReporter) HallDemand(service, model string) (here, elsewhere float64, ok bool) {
	total, hall := l.total.Load(), l.hall.Load()
	if clock.Since(total.At) > partTTL || clock.Since(hall.at) > partTTL {
		return 0, 0, false
	}
	m := load.Model{Service: service, Name: model}
	here = hall.offered.Overlapping(m)
	return here, max(total.Offered.Overlapping(m)-here, 0), true
}

// applySum applies a sum over all daemons if it is newer than the last one.
func (l *loadReporter) applySum(s load.Sum) {
	if s.Hall != nil {
		l.hall.Store(&hallLoad{offered: s.Hall, at: clock.Now()})
	}
	if s.Daemons > 0 && s.At.After(l.total.Load().At) {
		l.total.Store(&s)
	}
}

// partTTL is how long a daemon's part is valid after the sum that it relates to. The set of callers
// of a daemon changes slowly, and the sum takes up to three seconds to arrive.
const partTTL = 10 * time.Second

// Part returns this daemon's part of the load on the groups that may run requests for a model, and
// that load, and false if they are unknown.
func (l *loadReporter) Part(m load.Model) (part, demand float64, ok bool) {
	total := l.total.Load()
	if clock.Since(total.At) > partTTL {
		return 0, 0, false
	}
	part, ok = l.parts.Share(m, l.meter.OfferedTo(clock.Now(), m), total.Offered[m])
	demand = total.Offered.Overlapping(m)
	if demand > 0 {
		part *= total.Offered[m] / demand
	}
	return part, demand, ok
}

// updatePart updates this daemon's part of the sum. It uses the report before the last one, which
// is about as old as the sum: in a surge, newer figures would make the part too large.
func (l *loadReporter) updatePart(own load.Offered) {
	l.prevReported, l.lastReported = l.lastReported, own
	if l.prevReported != nil {
		total := l.total.Load()
		l.parts.Observe(l.prevReported, total.Offered, total.Daemons)
	}
}

// Total returns the load of this daemon and of those that report to it. At the lease holder, these
// are all daemons.
func (l *loadReporter) Total() load.Sum {
	now := clock.Now()
	return l.collector.Total(now, l.meter.Offered(now))
}

// CompleteTotal returns the sum over all daemons at the lease holder, the zero value while too few
// daemons have reported.
func (l *loadReporter) CompleteTotal() load.Sum {
	s := l.Total()
	if !s.Covers(l.edge.Lease.Nodes()) {
		return load.Sum{}
	}
	return s
}

// reportJitter is the maximum random reduction of the interval between reports, as a fraction of
// it, so that daemons that started together don't report in lockstep.
const reportJitter = 0.2

// Run sends reports until ctx ends.
func (l *loadReporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.report(ctx)
		part := 1 - reportJitter*rand.Float64()
		sleep(ctx, time.Duration(part*float64(load.ReportInterval)))
	}
}

// report sends the offered load to the next daemon on the way to the lease holder.
func (l *loadReporter) report(ctx context.Context) {
	if !l.edge.started.Load() {
		return
	}
	sum := l.Total()
	own := l.meter.Offered(sum.At)
	defer l.updatePart(own)
	isRelay := l.edge.followers.control.Load().isRelay
	if isRelay {
		l.hallSum()
	}
	if l.edge.followers.isHolder() {
		l.applySum(l.CompleteTotal())
		return
	}
	if !isRelay {
		sum = load.Sum{Offered: own, Daemons: 1, At: sum.At}
	}
	for _, m := range l.edge.followers.loadReportTargets() {
		report := relay.LoadReport{Sum: sum, Limits: l.edge.Throttle.Limits(clock.Now())}
		total, err := l.peers.Load(ctx, m.Addr, l.edge.settings.Current().Name(), report)
		if err == nil {
			l.applySum(total.Sum)
			l.edge.Throttle.Learn(total.Limits)
			return
		}
		l.edge.Log.Warn().Str("event", "load_report_failed").Str("to", m.Name).Err(err).Msg("")
	}
}

// loadReportTargets returns the daemons to report load to, best first: the relays of this hall,
// then the lease holder.
func (f *tableFollowers) loadReportTargets() []relay.Member {
	view := f.control.Load()
	var list []relay.Member
	if !view.isRelay {
		list = f.hallRelays(view)
	}
	if holder, ok := f.holder(); ok {
		list = append(list, relay.Member(holder))
	}
	return list
}

// hallRelays returns the relays in this daemon's hall.
func (f *tableFollowers) hallRelays(view *controlView) []relay.Member {
	var list []relay.Member
	for _, m := range view.upstreams {
		if m.Hall == f.edge.settings.Current().Hall() {
			list = append(list, m)
		}
	}
	return list
}
