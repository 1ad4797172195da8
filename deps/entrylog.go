package deps

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// entryLogInterval is the minimum interval between aggregated log lines about changed entries. In a
// large fleet, lines about each change at each daemon would be a large part of the log.
const entryLogInterval = time.Second

// entryLog logs changes of worker entries: each change where the daemon reads the store directly or
// holds the lease, aggregated counts elsewhere. It is safe for concurrent use.
type entryLog struct {
	log *log.Logger

	mu        sync.Mutex
	sum       entrySum
	scheduled bool
	lastFlush time.Time
}

// entrySum counts the changes since the last line.
type entrySum struct {
	updates, changed, gone int
	// full reports whether all entries were re-read.
	full bool
	at   store.Position
	// oldest is the maximum age of the evidence of an update.
	oldest time.Duration
}

// logAggregated adds an update to the counts and schedules the next line.
func (l *entryLog) logAggregated(changed []workers.Worker, gone []string, u store.Update) {
	if len(changed)+len(gone) == 0 && !u.Full {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.updates++
	l.sum.changed += len(changed)
	l.sum.gone += len(gone)
	l.sum.full = l.sum.full || u.Full
	l.sum.at = store.Later(l.sum.at, u.At)
	l.sum.oldest = max(l.sum.oldest, clock.Since(u.Evidence))
	if l.scheduled {
		return
	}
	l.scheduled = true
	time.AfterFunc(max(entryLogInterval-clock.Since(l.lastFlush), 0), l.flush)
}

// flush logs the accumulated counts.
func (l *entryLog) flush() {
	l.mu.Lock()
	sum := l.sum
	l.sum = entrySum{}
	l.scheduled = false
	l.lastFlush = clock.Now()
	l.mu.Unlock()
	l.log.Info().Str("event", "workers").Int("updates", sum.updates).Int("changed", sum.changed).Int("gone", sum.gone).Bool("all", sum.full).
		Uint64("store_version", sum.at.Version()).Uint64("store_era", sum.at.Era()).Dur("evidence_age", sum.oldest).Msg("")
}

// logEach logs a line for each changed worker. Only daemons that read the store directly or hold
// the lease do so, a few in each fleet.
func (l *entryLog) logEach(changed []workers.Worker, gone []string, at store.Position) {
	for _, w := range changed {
		l.log.Info().Str("event", "worker").Str("worker", w.ID).Str("service", w.Service).Bool("draining", w.Draining).
			Str("group", w.Membership.Group.Name).Int("rank", w.Membership.Rank).Str("state", string(w.Membership.State)).Strs("models", w.Models).Strs("staged", w.Staged).Str("domain", w.Domain).Dur("cold_left", w.ColdLeft).Uint64("store_version", at.Version()).Uint64("store_era", at.Era()).Msg("")
	}
	for _, id := range gone {
		l.log.Info().Str("event", "worker_gone").Str("worker", id).Uint64("store_version", at.Version()).Uint64("store_era", at.Era()).Msg("")
	}
}
