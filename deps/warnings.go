package deps

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/health"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/store"
)

// warningWait is how long a poll for warnings waits. Warnings arrive in its response, so a longer
// wait costs only a connection.
const warningWait = 1500 * time.Millisecond

// maxWarningsAge is how long after the last response a daemon relies on warnings: one long poll and
// one failed call.
const maxWarningsAge = warningWait + time.Second

// followWarnings follows the warnings about failing groups until ctx ends. They go from the lease
// holder to the relays, and from these to the other daemons of their hall.
func (f *tableFollowers) followWarnings(ctx context.Context) {
	follower := &store.Follower{
		Reader:       f.warnings,
		Table:        health.Table,
		Wait:         func() time.Duration { return warningWait },
		Apply:        f.applyWarnings,
		ReportHealth: func(string, error) {}, // the table is empty until the first group fails
		Now:          clock.Now,
	}
	follower.Run(ctx)
}

// warningSources returns the daemons to read warnings from, best first.
func (f *tableFollowers) warningSources() []relay.Member {
	view := f.control.Load()
	holder, ok := f.holder()
	if f.isHolder() {
		return nil
	}
	var sources []relay.Member
	if !view.isRelay {
		sources = f.hallRelays(view)
	}
	if ok && len(sources) == 0 {
		sources = append(sources, relay.Member(holder))
	}
	return sources
}

// isHolder reports whether this daemon was the last observed lease holder. The holder also collects
// reports while the store is unreachable and the lease has expired.
func (f *tableFollowers) isHolder() bool {
	return f.control.Load().Holder == f.edge.settings.Current().Name()
}

// applyWarnings applies the warnings that another daemon passes on.
func (f *tableFollowers) applyWarnings(u store.Update) {
	now := clock.Now()
	f.lastWarningsRead.Store(&now)
	f.caches[health.Table].Apply(u)
	for _, r := range u.Rows {
		fingerprint, held, isHold := health.ParseHold(r)
		asked, isAsk := health.ParseAsk(r)
		switch {
		case isHold:
			f.edge.quarantine.applyAnnouncement(fingerprint, held)
		case isAsk:
			f.edge.quarantine.answer(asked)
		case u.Full: // older warnings, which were applied already or are over
		case r.Deleted:
			f.edge.Server.WithdrawWarning(r.Key)
		default:
			f.edge.applyWarning(health.ParseWarning(r))
		}
	}
}

// receivesWarnings reports whether warnings arrive: there are enough daemons to give them, and a
// poll for them succeeded recently or this daemon itself issues them.
func (f *tableFollowers) receivesWarnings() bool {
	if !health.HasQuorum(f.edge.Lease.Nodes()) {
		return false
	}
	at := f.lastWarningsRead.Load()
	return f.isHolder() || at != nil && clock.Since(*at) < maxWarningsAge
}

// reportDead warns all daemons that a member of a group was found dead here.
func (e *Edge) reportDead(group string) {
	if !e.followers.isHolder() {
		return
	}
	if w, warn := e.Warnings.ReportDead(group, e.settings.Current().Name()); warn {
		e.applyWarning(w)
	}
}

// applyWarning applies a warning about a group that other daemons reported. If the group has just
// sent something here, it reports that instead.
func (e *Edge) applyWarning(w health.Warning) {
	if !e.Server.Warn(w.Group, w.Names(), w.Dead, health.AvoidDuration) {
		e.reporter.reportAlive(w.Group)
	}
}

// noStore is a store.Reader for a table that isn't in the store.
type noStore struct{}

// Rows returns *relay.EmptyError.
func (noStore) Rows(_ context.Context, table string) (store.Snapshot, error) {
	return store.Snapshot{}, &relay.EmptyError{Table: table}
}

// Changes returns *relay.EmptyError.
func (noStore) Changes(_ context.Context, table string, _ store.Position, _ time.Duration) (store.Snapshot, error) {
	return store.Snapshot{}, &relay.EmptyError{Table: table}
}

// handleReport handles what a daemon observed of a group, at the lease holder.
func (e *Edge) handleReport(r relay.Report) {
	switch {
	case !e.followers.isHolder():
	case r.Sign == relay.Alive:
		if e.Warnings.ReportAlive(r.Group) {
			e.Log.Info().Str("event", "warning_withdrawn").Str("group", r.Group).Str("heard_by", r.Reporter).Msg("")
			e.Server.WithdrawWarning(r.Group)
		}
	case r.Sign == relay.Silent:
		if w, warn := e.Warnings.Report(r.Group, r.Reporter, len(e.Workers.View().Groups()), e.Lease.Nodes()); warn {
			e.applyWarning(w)
		}
	}
}
