package deps

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/workers"
)

// maxUnreadable limits how many unreadable entries are tracked so that each is logged once.
const maxUnreadable = 4096

// unreadableEntries tracks worker entries that can't be parsed, which another writer wrote. Only
// the goroutine that follows the workers' table uses it.
type unreadableEntries struct {
	log     *log.Logger
	counter *metrics.Counter
	logged  map[string]bool
}

func newUnreadableEntries(set *metrics.Set, logger *log.Logger) *unreadableEntries {
	u := &unreadableEntries{log: logger, counter: set.NewCounter("pointpass_entries_unreadable_total"), logged: map[string]bool{}}
	return u
}

// record applies an update of the table. An entry is logged when it becomes unreadable, and again
// only if it was readable or removed in between.
func (u *unreadableEntries) record(unreadable []*platform.RowError, changed []workers.Worker, gone []string) {
	for _, w := range changed {
		delete(u.logged, w.ID)
	}
	still := map[string]bool{}
	for _, e := range unreadable {
		still[e.Key] = true
		u.add(e)
	}
	for _, id := range gone {
		if !still[id] {
			delete(u.logged, id)
		}
	}
}

func (u *unreadableEntries) add(e *platform.RowError) {
	if u.logged[e.Key] {
		return
	}
	u.counter.Inc()
	if len(u.logged) < maxUnreadable {
		u.logged[e.Key] = true
	}
	u.log.Error().Str("event", "worker_unreadable").Str("worker", e.Key).Err(e).Msg("ignoring this entry; other entries are unaffected")
}
