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

// loads tells the holder of the lease what callers ask for here. Each daemon tells one
// that relays in its hall, which tells the holder its own and the others' sum, so that
// the holder gets a few reports a second however many daemons there are.
type loads struct {
	edge     *Edge
	peers    *relay.Client
	meter    *load.Meter
	gatherer *load.Gatherer
	// all is the sum over all daemons as it was last told, and parts which part of it is
	// this daemon's.
	all   atomic.Pointer[load.Sum]
	parts *load.Parts
	// hall is what is asked for in this daemon's data hall, as it was last told or summed up.
	hall atomic.Pointer[hallLoad]
	// told is what this daemon was asked for when it reported last, and before the time
	// before.
	told, before load.Offered
}

func newLoads(e *Edge, peers *relay.Client) *loads {
	l := &loads{edge: e, peers: peers, meter: load.NewMeter(), gatherer: load.NewGatherer(), parts: load.NewParts()}
	l.all.Store(&load.Sum{})
	l.hall.Store(&hallLoad{})
	return l
}

// hallLoad is what callers ask for in one data hall.
type hallLoad struct {
	offered load.Offered
	at      time.Time
}

// sumPause is how often at the most a daemon sums up what is reported to it: one that relays
// takes a report a second from each of some hundred daemons, and a sum for each of them would
// grow with their square.
const sumPause = 250 * time.Millisecond

// ask notes that a caller asks for work of a model.
func (l *loads) ask(m load.Model, work time.Duration) { l.meter.Ask(clock.Now(), m, work) }

// take takes in what another daemon reports, and returns the sum over all as it is known
// here.
func (l *loads) take(reporter string, s load.Sum) load.Sum {
	l.gatherer.Take(reporter, s, l.edge.Lease.Nodes())
	if l.edge.following.isHolder() && clock.Since(l.all.Load().At) >= sumPause {
		l.learn(l.Known())
	}
	all := *l.all.Load()
	if l.isHere(reporter) {
		all.Hall = l.hallSum()
	}
	return all
}

// isHere tells whether a daemon is in this one's data hall.
func (l *loads) isHere(daemon string) bool {
	n, known := l.edge.following.control.Load().Node(daemon)
	return known && n.Hall == l.edge.settings.Current().Hall()
}

// hallSum returns what callers ask for in this daemon's hall, as far as it is reported here.
func (l *loads) hallSum() load.Offered {
	now := clock.Now()
	if last := l.hall.Load(); now.Sub(last.at) < sumPause {
		return last.offered
	}
	offered := l.gatherer.Among(now, l.meter.Offered(now), l.isHere)
	l.hall.Store(&hallLoad{offered: offered, at: now})
	return offered
}

// Hall returns how much callers ask of the groups of a model in this daemon's data hall and
// elsewhere, in groups kept busy, false if it isn't known.
func (l *loads) Hall(service, model string) (here, elsewhere float64, known bool) {
	all, hall := l.all.Load(), l.hall.Load()
	if clock.Since(all.At) > partLife || clock.Since(hall.at) > partLife {
		return 0, 0, false
	}
	m := load.Model{Service: service, Name: model}
	here = hall.offered.Beside(m)
	return here, max(all.Offered.Beside(m)-here, 0), true
}

// learn takes in a sum over all daemons, if it is newer than the last.
func (l *loads) learn(s load.Sum) {
	if s.Hall != nil {
		l.hall.Store(&hallLoad{offered: s.Hall, at: clock.Now()})
	}
	if s.Daemons > 0 && s.At.After(l.all.Load().At) {
		l.all.Store(&s)
	}
}

// partLife is for how long a daemon's part counts after the sum that it is a part of. Which
// callers a daemon has changes slowly, and the sum takes up to three seconds to come here.
const partLife = 10 * time.Second

// Part returns this daemon's part of all that callers ask of the groups where requests for
// a model may run, and how much that is, false if it isn't known.
func (l *loads) Part(m load.Model) (part, asked float64, known bool) {
	all := l.all.Load()
	if clock.Since(all.At) > partLife {
		return 0, 0, false
	}
	part, known = l.parts.Part(m)
	asked = all.Offered.Beside(m)
	if asked > 0 {
		part *= all.Offered[m] / asked
	}
	return part, asked, known
}

// notePart notes which part of the sum is this daemon's: of what it reported before the
// last time, which is about as old as the sum. In a surge a newer figure would make the
// part too large.
func (l *loads) notePart(here load.Offered) {
	l.before, l.told = l.told, here
	if l.before != nil {
		all := l.all.Load()
		l.parts.Note(l.before, all.Offered, all.Daemons)
	}
}

// Total returns what callers ask for here and at the daemons that report here: at all of
// them, if this one holds the lease.
func (l *loads) Total() load.Sum {
	now := clock.Now()
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
	if !l.edge.begun.Load() {
		return
	}
	told := l.Total()
	here := l.meter.Offered(told.At)
	defer l.notePart(here)
	relays := l.edge.following.control.Load().relays
	if relays {
		l.hallSum()
	}
	if l.edge.following.isHolder() {
		l.learn(l.Known())
		return
	}
	if !relays {
		told = load.Sum{Offered: here, Daemons: 1, At: told.At}
	}
	for _, m := range l.edge.following.gatherers() {
		report := relay.LoadReport{Sum: told, Limits: l.edge.Throttle.Limits(clock.Now())}
		all, err := l.peers.Load(ctx, m.Addr, l.edge.settings.Current().Name(), report)
		if err == nil {
			l.learn(all.Sum)
			l.edge.Throttle.Learn(all.Limits)
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
