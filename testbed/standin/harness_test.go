package standin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// program is the path of pointpassd, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pointpassd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program, err = Build(context.Background(), dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// waitTimeout bounds the wait for a condition.
const waitTimeout = 20 * time.Second

// eventually waits until a condition holds and fails the test after waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(waitTimeout), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}

// eventuallyWithin is like eventually with a given timeout.
func (s *testCluster) eventuallyWithin(d time.Duration, what string, condition func() bool) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(d), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}

// testCluster is a store, workers and daemons.
type testCluster struct {
	t       *testing.T
	store   *Store
	config  Config
	workers map[string]*Worker
	daemons []*Daemon
	ids     int
	// callerIDs counts the requests of startCallers.
	callerIDs atomic.Int64
}

const (
	host = "games.example"
	key  = "key-1"
)

// newTestCluster starts a store with a configuration, two plain workers, and a number of model
// workers for one model, whose groups have two members. When the test ends, it fails if the
// checker has found violations.
func newTestCluster(t *testing.T, models int) *testCluster {
	s := &testCluster{t: t, workers: map[string]*Worker{}}
	store, stopStore := NewStore()
	t.Cleanup(stopStore)
	t.Cleanup(func() {
		violations := store.Checker().Violations()
		must.SliceEmpty(t, violations, must.Sprint("the last ones: ", violations[max(len(violations)-3, 0):]))
	})
	s.store = store
	s.config = Config{
		Version: 5,
		Limits:  Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20},
		Services: []Service{
			{Name: "app"},
			{Name: "llm", Runtime: &Runtime{Slots: 4, LoadsPerS: 100, LoadsAtOnce: 100, FormMs: 1, Models: []Model{
				{Name: "m1", Size: 2, Share: 1, Pace: 1, LoadS: 1, WarmupS: 0.1},
			}}},
		},
		Routes: []Route{
			{Name: "post", Host: host, Prefix: "/post/", Type: "non_idempotent", TimeoutMs: 2000, GoalMs: 300, Service: "app", Attempts: 2},
			{Name: "get", Host: host, Prefix: "/get/", Type: "idempotent", TimeoutMs: 2000, GoalMs: 300, Service: "app", Attempts: 2},
			{Name: "ask", Host: host, Prefix: "/ask/", Type: "streaming", TimeoutMs: 6000, GoalMs: 500, GapMs: 300, Service: "llm", Attempts: 2, Resumable: true},
			{Name: "open", Host: host, Prefix: "/open/", Type: "idempotent", TimeoutMs: 2000, GoalMs: 300, Service: "app", Attempts: 2, Public: true},
		},
		Tenants: []Tenant{{Name: "desk", Keys: []string{key, "key-2"}}},
	}
	s.store.Apply(s.config)
	for i := range 2 {
		s.addWorker(fmt.Sprint("a", i), "app", "")
	}
	for i := range models {
		s.addWorker(fmt.Sprint("m", i), "llm", "d"+strconv.Itoa(i/4))
	}
	return s
}

func (s *testCluster) addWorker(id, service, domain string) *Worker {
	w, kill := NewWorker(s.store, id, service, domain)
	s.t.Cleanup(kill)
	s.workers[id] = w
	return w
}

func (s *testCluster) start(firstStart bool) *Daemon { return s.startAs(Setup{FirstStart: firstStart}) }

func (s *testCluster) startAs(setup Setup) *Daemon { return s.startBuild(program, setup) }

// startBuild starts a daemon of a build of pointpassd.
func (s *testCluster) startBuild(program string, setup Setup) *Daemon {
	d, kill, err := Start(program, s.t.TempDir(), fmt.Sprint("edge-", len(s.daemons)), s.store, setup)
	must.NoError(s.t, err)
	s.t.Cleanup(func() {
		kill()
		if s.t.Failed() {
			s.t.Log(d.Log())
		}
	})
	s.daemons = append(s.daemons, d)
	eventually(s.t, "a daemon becomes ready", d.Ready)
	return d
}

// openGroupHeads returns the heads of open groups.
func (s *testCluster) openGroupHeads() []*Worker {
	var heads []*Worker
	for _, w := range s.workers {
		if w.GroupState() == "open" {
			heads = append(heads, w)
		}
	}
	return heads
}

func (s *testCluster) awaitGroups(n int) {
	s.t.Helper()
	eventually(s.t, "groups open", func() bool { return len(s.openGroupHeads()) == n })
}

func (s *testCluster) newRequest(method, path string) Request {
	s.ids++
	return Request{ID: fmt.Sprintf("%016x", s.ids), Method: method, Host: host, Path: path, Key: key, Body: "question", Timeout: 5 * time.Second}
}

func (s *testCluster) newStreamRequest() Request {
	a := s.newRequest(http.MethodPost, "/ask/q")
	a.Header = streamHeader()
	return a
}

func streamHeader() http.Header {
	return http.Header{"X-Pointpass-Model": {"m1"}, "X-Pointpass-Token-Usage": {"100,40"}, headerParts: {"5c1e:100"}}
}

// runs returns all runs of a request.
func (s *testCluster) runs(id string) []Run {
	var runs []Run
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

func (s *testCluster) setFaults(f Fault, ids ...string) {
	for _, id := range ids {
		s.workers[id].SetFault(f)
	}
}

// completeStream reports whether a reply holds all events of a request, each once.
func completeStream(id string, r Reply) bool {
	var want strings.Builder
	for i := 1; i <= eventCount; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", i, id, i)
	}
	return r.Err == nil && r.Status == http.StatusOK && r.Body == want.String()
}
