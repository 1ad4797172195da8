package deps

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/workers"
)

// mostUnread bounds how many entries that can't be read are remembered, so that each is
// logged once.
const mostUnread = 4096

// unreadEntries are the workers' entries that can't be read: another writer's. Only the one
// goroutine that follows the workers' table uses them.
type unreadEntries struct {
	log     *log.Logger
	counter *metrics.Counter
	known   map[string]bool
}

func newUnreadEntries(set *metrics.Set, logger *log.Logger) *unreadEntries {
	u := &unreadEntries{log: logger, counter: set.NewCounter("pointpass_entries_unreadable_total"), known: map[string]bool{}}
	return u
}

// note takes in an update of the table. An entry is logged when it becomes unreadable, and
// again only once it could be read or was gone in between.
func (u *unreadEntries) note(unread []*platform.RowError, changed []workers.Worker, gone []string) {
	for _, w := range changed {
		delete(u.known, w.ID)
	}
	still := map[string]bool{}
	for _, e := range unread {
		still[e.Key] = true
		u.add(e)
	}
	for _, id := range gone {
		if !still[id] {
			delete(u.known, id)
		}
	}
}

func (u *unreadEntries) add(e *platform.RowError) {
	if u.known[e.Key] {
		return
	}
	u.counter.Inc()
	if len(u.known) < mostUnread {
		u.known[e.Key] = true
	}
	u.log.Error().Str("event", "worker_unreadable").Str("worker", e.Key).Err(e).Msg("the entry names no worker to use; the others hold")
}
