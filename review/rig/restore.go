package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/testbed/standin"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayTime how long the
	// store is away.
	copyAge  = 5 * time.Second
	awayTime = 200 * time.Millisecond
	// settleTime is how long after the new groups have opened the drill begins.
	settleTime = 2500 * time.Millisecond
)

// pair is the smaller model of the pages: groups of two workers.
var pair = model{
	name: "m1", size: 2, load: 12 * time.Second, warmup: 1100 * time.Millisecond, forms: 300 * time.Millisecond,
	firstEvent: 120 * time.Millisecond, eventInterval: 50 * time.Millisecond,
}

func init() { cases["restore"] = runRestore }

// runRestore adds workers to a running deployment. Once their groups are open, the store comes back
// from a copy that is some seconds old.
func runRestore(s *setup) error {
	f := newFleet(s.store, s.record, pair)
	s.writeConfig(pair)
	zones := []string{"z1", "z2", "z3"}
	for i := range 6 {
		if err := f.add(fmt.Sprint("a", i), "llm", "d0", zones[0]); err != nil {
			return err
		}
	}
	daemons, err := startDaemons(s.dir, s.program, s.store.Addr(), zones)
	defer func() {
		for _, d := range daemons {
			d.kill()
			s.record.addLog(d.name, d.logFile, `"event":"order"`, `"event":"store_restored"`, `"event":"table_restored"`, `"event":"lease_`, `"event":"group_dissolved"`)
		}
	}()
	if err != nil {
		return err
	}
	if !await(20*time.Second, func() bool { return f.openHeads("a") == 3 }) {
		return errNoGroups
	}
	c := s.startCallers(daemons, pair, 12)
	defer c.end(s.record)
	time.Sleep(3 * time.Second)
	s.record.add("six empty workers are added")
	for i := range 6 {
		if err := f.add(fmt.Sprint("b", i), "llm", "d1", zones[1]); err != nil {
			return err
		}
	}
	var copies copies
	go copies.watch(s.store, &c.stop)
	if !await(45*time.Second, func() bool { return f.openHeads("b") == 3 }) {
		return errNoGroups
	}
	s.record.add("the groups of the added workers are open")
	time.Sleep(settleTime)
	c.counting.Store(true)
	if s.trouble {
		s.drill(f, copies.before(time.Now().Add(-copyAge)))
	}
	time.Sleep(6 * time.Second)
	return nil
}

// drill has the store go away for a moment and come back from an older copy. The workers write their
// entries again with their next heartbeats.
func (s *setup) drill(f *fleet, version uint64) {
	s.record.add("the store goes away")
	f.away.Store(true)
	s.store.SetFault(standin.Reset)
	time.Sleep(awayTime)
	s.record.add("the store comes back from its copy as of version %d, having been at %d", version, s.store.Version())
	s.store.Restore(version)
	s.store.SetFault(standin.NoFault)
	f.away.Store(false)
}

// copies are the versions of the store over time.
type copies struct {
	mu   sync.Mutex
	list []versionAt
}

type versionAt struct {
	at      time.Time
	version uint64
}

// watch notes the store's version ten times a second until stop is set.
func (c *copies) watch(store *standin.Store, stop *atomic.Bool) {
	for !stop.Load() {
		c.mu.Lock()
		c.list = append(c.list, versionAt{at: time.Now(), version: store.Version()})
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// before returns the version as of a time.
func (c *copies) before(at time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.list[0].version
	for _, v := range c.list {
		if v.at.After(at) {
			break
		}
		version = v.version
	}
	return version
}
