package deps

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// keepConfig returns the rows of a restored store, with an older configuration replaced by the one
// cached here. Daemons that start and read these rows from this one then reject withdrawn keys
// before the operator has written the configuration again.
func keepConfig(cached []store.Row, u store.Update) []store.Row {
	i := slices.IndexFunc(cached, platform.IsConfig)
	if i < 0 {
		return u.Rows
	}
	j := slices.IndexFunc(u.Rows, platform.IsConfig)
	if j < 0 {
		return append(slices.Clone(u.Rows), store.Row{Key: cached[i].Key, Value: cached[i].Value, At: u.At})
	}
	current, err := platform.Catalog(cached[i : i+1])
	if err != nil {
		return u.Rows
	}
	restored, err := platform.Catalog(u.Rows[j : j+1])
	if err == nil && !current.Newer(restored) {
		return u.Rows
	}
	rows := slices.Clone(u.Rows)
	rows[j].Value = cached[i].Value
	return rows
}

// applyConfig applies the operator's rows: first the closed data halls, then the configuration. The
// order matters since a daemon is ready once it has a configuration and must know the closed halls
// by then.
func (e *Edge) applyConfig(u store.Update) {
	e.updateHalls(u)
	c, err := platform.Catalog(u.Rows)
	if err != nil {
		e.Log.Error().Str("event", "config_unreadable").Err(err).Msg("keeping the last valid configuration")
		return
	}
	if c == nil {
		e.Catalogs.Confirm(u.Evidence)
		return
	}
	if e.Catalogs.Accept(c, u.Evidence) {
		e.Log.Info().Str("event", "config_in_force").Uint64("version", c.Version()).Dur("evidence_age", clock.Since(u.Evidence)).Msg("")
		e.Controller.Wake()
	}
}

func (e *Edge) applyWorkers(u store.Update) {
	changed, gone, unreadable := e.readWorkers(u.Rows)
	e.unreadable.record(unreadable, changed, gone)
	if _, held := e.Lease.Held(); held || e.followers.reader.Direct() {
		e.entries.logEach(changed, gone, u.At)
	} else {
		e.entries.logAggregated(changed, gone, u)
	}
	e.cold.learnEntries(changed, gone, u.Full)
	if u.Restored {
		e.restoreWorkers(changed)
	} else {
		e.Workers.Apply(changed, gone, u.Full)
	}
	e.workersRead.Store(true)
}

// readWorkers returns the workers in changed rows, the ids of removed ones, and an error for each
// entry that another writer wrote. The worker of such an entry counts as removed.
func (e *Edge) readWorkers(rows []store.Row) (changed []workers.Worker, gone []string, unreadable []*platform.RowError) {
	all, gone, unreadable := platform.Workers(rows)
	for _, w := range all {
		if e.Workers.Foreign(w) {
			gone = append(gone, w.ID)
			unreadable = append(unreadable, platform.MissingStart(w.ID))
			continue
		}
		changed = append(changed, w)
	}
	return changed, gone, unreadable
}

// restoredWorkerDelay is how long workers that reappear in an older copy of the store stay
// withheld. By then the store has dropped the entries of workers that are gone: after three missed
// heartbeats, plus a margin of two seconds for live workers.
const restoredWorkerDelay = 6 * time.Second

// restoreWorkers applies the entries of an older copy of the store.
func (e *Edge) restoreWorkers(all []workers.Worker) {
	withheld, admit := e.Workers.Restore(all)
	time.AfterFunc(restoredWorkerDelay, admit)
	if withheld == 0 {
		return
	}
	e.Log.Warn().Str("event", "workers_withheld").Int("workers", withheld).Dur("for", restoredWorkerDelay).Msg("the restored store lists workers whose entries had been removed")
}

func (e *Edge) workersChanged(view *workers.View) {
	groups := map[string]bool{}
	for _, g := range view.Groups() {
		groups[g.ID.Name] = true
	}
	e.Balancer.Keep(func(key string) bool {
		_, listed := view.Worker(key)
		return listed || groups[key]
	})
	e.Throttle.Prune(func(id string) bool {
		_, listed := view.Worker(id)
		return listed
	}, clock.Now())
	e.Controller.Wake()
}

func (e *Edge) storeHealth(table string, err error) {
	if err != nil {
		e.Log.Warn().Str("event", "store_lost").Str("table", table).Err(err).Msg("")
		return
	}
	if table == platform.WorkersTable {
		now := clock.Now()
		e.storeRecovered.Store(&now)
	}
	e.Log.Info().Str("event", "store_regained").Str("table", table).Msg("")
}
