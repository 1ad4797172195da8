package main

import "time"

func init() { cases["forged"] = runForged }

// runForged has another writer replace the entry of a head by one that lacks fields, until the worker
// writes its own again.
func runForged(s *setup) error {
	f := newFleet(s.store, s.record, pair)
	s.writeConfig(pair)
	zones := []string{"z1", "z2"}
	for i, id := range []string{"a0", "a1", "a2", "c0", "c1"} {
		if err := f.add(id, "llm", "domain-"+id[:1], zones[i/3]); err != nil {
			return err
		}
	}
	daemons, err := startDaemons(s.dir, s.program, s.store.Addr(), zones)
	defer func() {
		for _, d := range daemons {
			d.kill()
			s.record.addLog(d.name, d.logFile, `"event":"order"`, `"event":"lease_`, `"event":"group_dissolved"`, `"event":"entry`, `unreadable`)
		}
	}()
	if err != nil {
		return err
	}
	if !await(20*time.Second, func() bool { return f.openHeads("") == 2 }) {
		return errNoGroups
	}
	c := s.startCallers(daemons, pair, 16)
	defer c.end(s.record)
	time.Sleep(4 * time.Second)
	c.counting.Store(true)
	if s.trouble {
		f.overwrite(f.openHead("a"))
	}
	time.Sleep(8 * time.Second)
	return nil
}

// openHead returns an open head among workers whose id starts with a prefix.
func (f *fleet) openHead(prefix string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.all {
		if id[:len(prefix)] == prefix && w.group != nil && w.group.rank == 0 && w.group.state == "open" {
			return w
		}
	}
	return nil
}

// overwrite replaces a worker's entry by one of another writer, which has six fields only.
func (f *fleet) overwrite(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := wire.Entry
	f.record.add("another writer replaces the entry of %s by one that lacks fields", w.id)
	f.store.Put(workersTable, w.id, map[string]any{
		n["service"]: w.service, n["address"]: w.addr, n["zone"]: w.zone, n["domain"]: w.domain, n["slots"]: 26, n["state"]: "ready",
	})
}
