package deps

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// keepConfig returns the rows of a restored store with the configuration that is known here in
// place of an older one. Daemons that start and read them here know of withdrawn keys then,
// before the operator has written again.
func keepConfig(known []store.Row, u store.Update) []store.Row {
	i := slices.IndexFunc(known, platform.IsConfig)
	if i < 0 {
		return u.Rows
	}
	j := slices.IndexFunc(u.Rows, platform.IsConfig)
	if j < 0 {
		return append(slices.Clone(u.Rows), store.Row{Key: known[i].Key, Value: known[i].Value, At: u.At})
	}
	newest, err := platform.Catalog(known[i : i+1])
	if err != nil {
		return u.Rows
	}
	copied, err := platform.Catalog(u.Rows[j : j+1])
	if err == nil && !newest.Newer(copied) {
		return u.Rows
	}
	rows := slices.Clone(u.Rows)
	rows[j].Value = known[i].Value
	return rows
}

// applyConfig takes in the operator's rows: data halls that are closed, and then the
// configuration. A daemon is ready once it has one, and must know of closed halls by then.
func (e *Edge) applyConfig(u store.Update) {
	e.followHalls(u)
	c, err := platform.Catalog(u.Rows)
	if err != nil {
		e.Log.Error().Str("event", "config_unreadable").Err(err).Msg("the last configuration stays in force")
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
	changed, gone, unread := platform.Workers(u.Rows)
	e.unread.note(unread, changed, gone)
	if _, holds := e.Lease.Held(); holds || e.following.reader.Direct() {
		e.entries.each(changed, gone, u.At)
	} else {
		e.entries.note(changed, gone, u)
	}
	e.cold.learnEntries(changed, gone, u.Full)
	if u.Restored {
		e.restoreWorkers(changed)
	} else {
		e.Workers.Apply(changed, gone, u.Full)
	}
	e.workersRead.Store(true)
}

// lapseTime is within what time of its return a store that came back from an older copy has
// dropped the entries of workers that are gone: three heartbeats of silence, and two seconds
// that those have who live.
const lapseTime = 6 * time.Second

// restoreWorkers takes in the entries of an older copy of the store.
func (e *Edge) restoreWorkers(all []workers.Worker) {
	withheld, trust := e.Workers.Restore(all)
	if withheld == 0 {
		return
	}
	e.Log.Warn().Str("event", "workers_withheld").Int("workers", withheld).Dur("for", lapseTime).Msg("their entries had gone before the store came back from an older copy")
	time.AfterFunc(lapseTime, trust)
}

func (e *Edge) workersChanged(view *workers.View) {
	known := map[string]bool{}
	for _, g := range view.Groups() {
		known[g.ID.Name] = true
	}
	e.Balancer.Keep(func(key string) bool {
		_, listed := view.Worker(key)
		return listed || known[key]
	})
	e.Throttle.Keep(func(id string) bool {
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
		e.storeBack.Store(&now)
	}
	e.Log.Info().Str("event", "store_regained").Str("table", table).Msg("")
}
