package deps

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// entryLine is how often at most a daemon logs that entries of workers changed, where it
// doesn't log each: a thousand daemons that each tell of every change write 113,000 of 258,000
// lines of a calm day.
const entryLine = time.Second

// entryLog logs what a daemon learns of workers: each change where the store is read or
// orders are given, sums elsewhere. It is safe for use by many goroutines.
type entryLog struct {
	log *log.Logger

	mu     sync.Mutex
	sum    entrySum
	due    bool
	logged time.Time
}

// entrySum counts changes since the last line.
type entrySum struct {
	updates, changed, gone int
	// all tells that all entries were read anew.
	all bool
	at  store.Position
	// oldest is how old the evidence of an update was at the most.
	oldest time.Duration
}

// note takes in an update, and logs it now or with others soon.
func (l *entryLog) note(changed []workers.Worker, gone []string, u store.Update) {
	if len(changed)+len(gone) == 0 && !u.Full {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.updates++
	l.sum.changed += len(changed)
	l.sum.gone += len(gone)
	l.sum.all = l.sum.all || u.Full
	l.sum.at = store.Later(l.sum.at, u.At)
	l.sum.oldest = max(l.sum.oldest, clock.Since(u.Evidence))
	if l.due {
		return
	}
	l.due = true
	time.AfterFunc(max(entryLine-clock.Since(l.logged), 0), l.flush)
}

// flush logs what has gathered.
func (l *entryLog) flush() {
	l.mu.Lock()
	sum := l.sum
	l.sum = entrySum{}
	l.due = false
	l.logged = clock.Now()
	l.mu.Unlock()
	l.log.Info().Str("event", "workers").Int("updates", sum.updates).Int("changed", sum.changed).Int("gone", sum.gone).Bool("all", sum.all).
		Uint64("store_version", sum.at.Version()).Uint64("store_era", sum.at.Era()).Dur("evidence_age", sum.oldest).Msg("")
}

// each writes a line for each change of a worker. Those who read the store themselves or give
// orders do so, a few in each fleet.
func (l *entryLog) each(changed []workers.Worker, gone []string, at store.Position) {
	for _, w := range changed {
		l.log.Info().Str("event", "worker").Str("worker", w.ID).Str("service", w.Service).Bool("draining", w.Draining).
			Str("group", w.Membership.Group.Name).Int("rank", w.Membership.Rank).Str("state", string(w.Membership.State)).Strs("models", w.Models).Strs("staged", w.Staged).Str("domain", w.Domain).Dur("cold_left", w.ColdLeft).Uint64("store_version", at.Version()).Uint64("store_era", at.Era()).Msg("")
	}
	for _, id := range gone {
		l.log.Info().Str("event", "worker_gone").Str("worker", id).Uint64("store_version", at.Version()).Uint64("store_era", at.Era()).Msg("")
	}
}
