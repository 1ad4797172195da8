package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// long is a model whose longest answers take over four seconds, as at full groups of the pages.
var long = model{
	name: "m1", size: 2, load: 12 * time.Second, warmup: 1100 * time.Millisecond, forms: 300 * time.Millisecond,
	firstEvent: 250 * time.Millisecond, eventInterval: 68 * time.Millisecond,
}

const (
	// longestAnswer is the number of events of the longest answers of the pages.
	longestAnswer = 67
	// excusedUntil is how long after SIGTERM a request is sent at the latest that may be cut in the
	// last sixth of the grace time.
	excusedUntil = 3 * time.Second
	// lossSlack is a bound of the pages.
	lossSlack = 200 * time.Millisecond
	// stopClients send one request each, evenly spread from firstSend to lastSend after SIGTERM.
	stopClients = 24
	firstSend   = 2500 * time.Millisecond
	lastSend    = 3500 * time.Millisecond
)

func init() { cases["stop"] = runStop }

// runStop stops one of two daemons by SIGTERM. Clients with kept connections that rested since before
// send requests on them some seconds later.
func runStop(s *setup) error {
	f := newFleet(s.store, s.record, long)
	s.writeConfig(long)
	for i := range 4 {
		if err := f.add(fmt.Sprint("a", i), "llm", "d0", "z1"); err != nil {
			return err
		}
	}
	daemons, err := startDaemons(s.dir, s.program, s.store.Addr(), []string{"z1", "z2"})
	defer func() {
		for _, d := range daemons {
			d.kill()
			s.record.addLog(d.name, d.logFile, `"event":"request"`, `"event":"stopp`, `"event":"lease_`)
		}
	}()
	if err != nil {
		return err
	}
	if !await(20*time.Second, func() bool { return f.openHeads("a") == 2 }) {
		return errNoGroups
	}
	time.Sleep(time.Second)
	clients := make([]*client, stopClients)
	for i := range clients {
		clients[i] = newClient(daemons[1].callers, resumable, s.record)
		if res := clients[i].ask(long.name, 2); !res.complete || res.status != 200 {
			return fmt.Errorf("the first request of a client failed: status %d, %v", res.status, res.err)
		}
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	if s.trouble {
		s.record.add("%s gets SIGTERM", daemons[1].name)
		daemons[1].signal(syscall.SIGTERM)
	}
	var sent sync.WaitGroup
	for i, c := range clients {
		sent.Go(func() {
			time.Sleep(time.Until(stopped.Add(firstSend + time.Duration(i)*(lastSend-firstSend)/(stopClients-1))))
			at := time.Since(stopped)
			res := c.ask(long.name, longestAnswer)
			s.checkLost(res, at, time.Since(stopped))
		})
	}
	sent.Wait()
	return nil
}

// checkLost checks rule LOST for a request that was sent and ended at times since SIGTERM.
func (s *setup) checkLost(res result, sent, ended time.Duration) {
	switch {
	case res.complete, res.status == 0 && res.err == nil:
		return
	case !s.trouble:
		s.record.fail("LOST: %s is cut without a disruption: %v", res.id, res.err)
		return
	case res.status == 0 && res.took <= lossSlack:
		return // a request that crosses the close and isn't passed on
	case sent <= excusedUntil:
		return // excused if its worker was at work in the last sixth
	case res.took >= deadline:
		return
	}
	s.record.fail("LOST: %s was sent %.3f s after SIGTERM, %d of %d events came, and its connection ended %.3f s after SIGTERM", res.id, sent.Seconds(), res.events, longestAnswer, ended.Seconds())
}
