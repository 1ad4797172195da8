package deps

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/relay"
)

// loads tells the holder of the lease what callers ask for here. Each daemon tells one
// that relays in its hall, which tells the holder its own and the others' sum, so that
// the holder gets a few reports a second however many daemons there are.
type loads struct {
	edge     *Edge
	peers    *relay.Client
	meter    *load.Meter
	gatherer *load.Gatherer
}

func newLoads(e *Edge, peers *relay.Client) *loads {
	return &loads{edge: e, peers: peers, meter: load.NewMeter(), gatherer: load.NewGatherer()}
}

// ask notes that a caller asks for work of a model.
func (l *loads) ask(m load.Model, work time.Duration) { l.meter.Ask(time.Now(), m, work) }

// take takes in what another daemon reports.
func (l *loads) take(reporter string, s load.Sum) {
	l.gatherer.Take(reporter, s, l.edge.Lease.Nodes())
}

// Total returns what callers ask for here and at the daemons that report here: at all of
// them, if this one holds the lease.
func (l *loads) Total() load.Sum {
	now := time.Now()
	return l.gatherer.Total(now, l.meter.Offered(now))
}

// Known returns the sum over all daemons at the holder of the lease, the zero value while
// too few have told.
func (l *loads) Known() load.Sum {
	s := l.Total()
	if !s.Covers(l.edge.Lease.Nodes()) {
		return load.Sum{}
	}
	return s
}

// reportSpread is by how much chance shortens the pause between reports at the most, as
// a part of it, so that daemons that started together don't stay in step.
const reportSpread = 0.2

// Run reports until ctx ends.
func (l *loads) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.report(ctx)
		part := 1 - reportSpread*rand.Float64()
		pause(ctx, time.Duration(part*float64(load.ReportPause)))
	}
}

// report tells the next daemon on the way to the holder what is asked for here.
func (l *loads) report(ctx context.Context) {
	if l.edge.following.isHolder() || !l.edge.begun.Load() {
		return
	}
	told := l.Total()
	if !l.edge.following.control.Load().relays {
		told = load.Sum{Offered: l.meter.Offered(told.At), Daemons: 1, At: told.At}
	}
	for _, m := range l.edge.following.gatherers() {
		err := l.peers.Load(ctx, m.Addr, l.edge.settings.Current().Name(), told)
		if err == nil {
			return
		}
		l.edge.Log.Warn().Str("event", "load_report_failed").Str("to", m.Name).Err(err).Msg("")
	}
}

// gatherers returns the daemons to tell what is asked for here, best first: those that
// relay in this hall, or the holder of the lease.
func (f *following) gatherers() []relay.Member {
	view := f.control.Load()
	var list []relay.Member
	if !view.relays {
		list = f.hallRelays(view)
	}
	if holder, known := f.holder(); known {
		list = append(list, relay.Member(holder))
	}
	return list
}

// hallRelays returns the daemons that relay in this daemon's hall.
func (f *following) hallRelays(view *controlView) []relay.Member {
	var list []relay.Member
	for _, m := range view.upstreams {
		if m.Hall == f.edge.settings.Current().Hall() {
			list = append(list, m)
		}
	}
	return list
}
