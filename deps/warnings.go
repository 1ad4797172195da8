package deps

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/health"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/store"
)

// warningHold is how long a question for warnings is held: they come by the answer to
// it, so that a longer hold costs nothing but a connection.
const warningHold = 1500 * time.Millisecond

// mostUninformed is how long after the last answer a daemon counts on warnings: a held
// question and a call that fails.
const mostUninformed = warningHold + time.Second

// followWarnings follows the warnings about failing groups until ctx ends. They go from
// the holder of the lease to the daemons that relay, and from these to the others of
// their hall.
func (f *following) followWarnings(ctx context.Context) {
	follower := &store.Follower{
		Reader: f.warnings,
		Table:  health.Table,
		Wait:   func() time.Duration { return warningHold },
		Apply:  f.applyWarnings,
		Health: func(string, error) {}, // there is none until the first group fails
		Now:    clock.Now,
	}
	follower.Run(ctx)
}

// warners returns the daemons to ask for warnings, best first.
func (f *following) warners() []relay.Member {
	view := f.control.Load()
	holder, known := f.holder()
	if f.isHolder() {
		return nil
	}
	var sources []relay.Member
	if !view.relays {
		sources = f.hallRelays(view)
	}
	if known && len(sources) == 0 {
		sources = append(sources, relay.Member(holder))
	}
	return sources
}

// isHolder tells whether this daemon was the last to hold the lease, as far as it
// knows. It gathers reports also while the store is away and the lease has lapsed.
func (f *following) isHolder() bool {
	return f.control.Load().Holder == f.edge.settings.Current().Name()
}

// applyWarnings takes in what another daemon passes on.
func (f *following) applyWarnings(u store.Update) {
	now := clock.Now()
	f.warningsRead.Store(&now)
	f.caches[health.Table].Apply(u)
	for _, r := range u.Rows {
		fingerprint, isHold := health.ParseHold(r)
		switch {
		case isHold:
			f.edge.quarantine.heard(fingerprint)
		case u.Full: // warnings of before, which were heeded then or are over
		case r.Deleted:
			f.edge.Server.TakeBackWarning(r.Key)
		default:
			f.edge.warned(health.ParseWarning(r))
		}
	}
}

// informed tells whether warnings come in: there are enough daemons to give them, and a
// question for them was answered lately, or this daemon passes them on itself.
func (f *following) informed() bool {
	if !health.Enough(f.edge.Lease.Nodes()) {
		return false
	}
	at := f.warningsRead.Load()
	return f.isHolder() || at != nil && clock.Since(*at) < mostUninformed
}

// noteDead has all daemons told that a member of a group was found dead here.
func (e *Edge) noteDead(group string) {
	if !e.following.isHolder() {
		return
	}
	if w, warn := e.Warnings.Dead(group, e.settings.Current().Name()); warn {
		e.warned(w)
	}
}

// warned has a group left alone that other daemons found silent, or objects.
func (e *Edge) warned(w health.Warning) {
	if !e.Server.Warn(w.Group, w.Names(), w.Dead, health.Avoided) {
		e.reporter.object(w.Group)
	}
}

// nowhere is a store.Reader of a table that is in no store.
type nowhere struct{}

// Rows returns *relay.EmptyError.
func (nowhere) Rows(_ context.Context, table string) (store.Snapshot, error) {
	return store.Snapshot{}, &relay.EmptyError{Table: table}
}

// Changes returns *relay.EmptyError.
func (nowhere) Changes(_ context.Context, table string, _ store.Position, _ time.Duration) (store.Snapshot, error) {
	return store.Snapshot{}, &relay.EmptyError{Table: table}
}

// noteReport takes in what a daemon found of a group, where this one gathers that.
func (e *Edge) noteReport(r relay.Report) {
	switch {
	case !e.following.isHolder():
	case r.Sign == relay.Alive:
		if e.Warnings.Object(r.Group) {
			e.Log.Info().Str("event", "warning_withdrawn").Str("group", r.Group).Str("heard_by", r.Reporter).Msg("")
			e.Server.TakeBackWarning(r.Group)
		}
	case r.Sign == relay.Silent:
		if w, warn := e.Warnings.Report(r.Group, r.Reporter, len(e.Workers.View().Groups()), e.Lease.Nodes()); warn {
			e.warned(w)
		}
	}
}
