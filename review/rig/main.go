// Program rig runs the scripts of the review: it starts daemons of the project against stand-ins of
// the store, the workers and the clients, and checks one rule by what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/testbed/standin"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun bounds the time of a case.
const longestRun = 110 * time.Second

var (
	errNotReady = errors.New("a daemon did not become ready")
	errNoGroups = errors.New("the groups did not open")
)

// setup is what a case runs with.
type setup struct {
	program, dir string
	trouble      bool
	record       *record
	store        *standin.Store
}

// cases are the cases by name. The file of each case adds it.
var cases = map[string]func(s *setup) error{}

func main() {
	name := flag.String("case", "", "case to run")
	program := flag.String("program", "target/pointpassd", "program of the project")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *file))
}

func run(name, program, file string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	store, stop := standin.NewStore()
	defer stop()
	s := &setup{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r, store: store}
	time.AfterFunc(longestRun, func() {
		r.add("NOT RUN: the case takes too long")
		os.Exit(exitNotRun) // the daemons end with this process
	})
	r.add("case %s, with the disruption: %t", name, s.trouble)
	if err := play(s); err != nil {
		r.add("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	if n := r.failures(); n > 0 {
		r.add("the rule was broken %d times", n)
		fmt.Println("the rule was broken", n, "times")
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// streamRoute returns a streaming route.
func streamRoute(name, prefix string, mayResume bool) standin.Route {
	return standin.Route{
		Name: name, Host: host, Prefix: prefix, Type: "streaming", TimeoutMs: int(deadline.Milliseconds()), GoalMs: 500, GapMs: 300,
		Priority: 1, Service: "llm", Attempts: 2, Resumable: mayResume,
	}
}

// writeConfig writes the operator's configuration: one model service with two streaming routes.
func (s *setup) writeConfig(m model) {
	s.store.Apply(standin.Config{
		Version: 7,
		Limits:  standin.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20},
		Services: []standin.Service{{Name: "llm", Runtime: &standin.Runtime{
			Slots: 26, LoadsPerS: 4, LoadsAtOnce: 6, FormMs: float64(m.forms.Milliseconds()), StepMs: 6.07, PerSeqMs: 0.241, ReadPerS: 46000,
			Models: []standin.Model{{Name: m.name, Size: m.size, Share: 1, Pace: 1, LoadS: m.load.Seconds(), WarmupS: m.warmup.Seconds()}},
		}}},
		Routes:  []standin.Route{streamRoute("ruling", resumable, true), streamRoute("verdict", once, false)},
		Tenants: []standin.Tenant{{Name: "desk", Keys: []string{key}}},
	})
}

// callers are clients that ask for one stream after the other.
type callers struct {
	stop       atomic.Bool
	whole, cut atomic.Int64
	// counting is set while answers are counted.
	counting atomic.Bool
	running  sync.WaitGroup
}

// startCallers starts clients of all daemons in turn, half of them on each route.
func (s *setup) startCallers(daemons []*daemon, m model, count int) *callers {
	c := &callers{}
	for i := range count {
		client := newClient(daemons[i%len(daemons)].callers, []string{resumable, once}[i/len(daemons)%2], s.record)
		c.running.Go(func() {
			for !c.stop.Load() {
				res := client.ask(m.name, 27)
				switch {
				case !c.counting.Load():
				case res.complete && res.status == http.StatusOK:
					c.whole.Add(1)
				default:
					c.cut.Add(1)
				}
				time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
			}
		})
	}
	return c
}

// end waits until the clients have ended, and records what they got.
func (c *callers) end(r *record) {
	c.stop.Store(true)
	c.running.Wait()
	r.add("of the streams that ended since the disruption, %d were complete and %d were not", c.whole.Load(), c.cut.Load())
}

// await waits until a condition holds.
func await(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
