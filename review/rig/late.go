package main

import "time"

func init() { cases["late"] = runLate }

const (
	// lateJoin and lateOpen are how much later orders are carried out that got no answer.
	lateJoin = 11 * time.Second
	lateOpen = 9 * time.Second
	// silenceTime is how long a worker sends nothing.
	silenceTime = 1250 * time.Millisecond
	// maxSilences is how often it does so at most, until the daemons dissolve its group.
	maxSilences = 2
)

// runLate has the two workers of a group leave their first order to join unanswered and carry it out
// seconds later, after newer ones, and its head also the order to open. Meanwhile one of them falls
// silent for a moment, so that the group is dissolved.
func runLate(s *setup) error {
	f := newFleet(s.store, s.record, pair)
	s.writeConfig(pair)
	zones := []string{"z1", "z2"}
	for i, id := range []string{"a0", "a1", "c0", "c1", "d0", "d1"} {
		if err := f.add(id, "llm", "domain-"+id[:1], zones[i/2%2]); err != nil {
			return err
		}
	}
	if s.trouble {
		f.mu.Lock()
		f.all["a0"].late = map[string]time.Duration{"join": lateJoin, "open": lateOpen}
		f.all["a1"].late = map[string]time.Duration{"join": lateJoin}
		f.mu.Unlock()
	}
	daemons, err := startDaemons(s.dir, s.program, s.store.Addr(), zones)
	defer func() {
		for _, d := range daemons {
			d.kill()
			s.record.addLog(d.name, d.logFile, `"event":"order"`, `"event":"lease_`, `"event":"group_dissolved"`, `"event":"worker_unreachable"`)
		}
	}()
	if err != nil {
		return err
	}
	if !await(20*time.Second, func() bool { return f.openHeads("") == 3 }) {
		return errNoGroups
	}
	c := s.startCallers(daemons, pair, 32)
	defer c.end(s.record)
	time.Sleep(2500 * time.Millisecond)
	for range maxSilences {
		f.all["a1"].silence(silenceTime)
		if await(2*time.Second, func() bool { return f.ungrouped("a0") }) {
			break // the group is dissolved
		}
	}
	time.Sleep(2 * time.Second)
	c.counting.Store(true)
	time.Sleep(10 * time.Second)
	return nil
}

// ungrouped reports whether a worker is in no group.
func (f *fleet) ungrouped(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all[id].group == nil
}
