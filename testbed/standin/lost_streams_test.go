package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// streamOutcomes counts the streams that a daemon has started to answer. cut holds the ids of those that ended
// in the middle, and for how long they had run.
type streamOutcomes struct {
	mu    sync.Mutex
	whole int
	cut   map[string]time.Duration
}

func (o *streamOutcomes) add(id string, r Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case completeStream(id, r):
		o.whole++
	case r.Status == http.StatusOK:
		o.cut[id] = r.Elapsed
	}
}

// startStreamCallers has callers send streams to each daemon until stop is called, which returns what became
// of them. A caller whose daemon has gone waits until it is back.
func (s *testCluster) startStreamCallers(callers int) (stop func() *streamOutcomes) {
	outcomes := &streamOutcomes{cut: map[string]time.Duration{}}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, d := range s.daemons {
		for range callers {
			running.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
					}
					a := Request{ID: fmt.Sprintf("s%015x", s.callerIDs.Add(1)), Method: http.MethodPost, Host: host, Path: "/ask/q", Key: key, Timeout: 6 * time.Second, Header: streamHeader()}
					outcomes.add(a.ID, d.Send(s.t.Context(), a))
				}
			})
		}
	}
	return func() *streamOutcomes {
		close(done)
		running.Wait()
		return outcomes
	}
}

// linesOf returns what the daemons logged of a request.
func (s *testCluster) linesOf(id string) []string {
	var lines []string
	for _, d := range s.daemons {
		for line := range strings.Lines(d.Log()) {
			if strings.Contains(line, `"id":"`+id+`"`) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// TestLost_SilentHeadsBesideStops guards against streams that are cut in the middle while heads of groups fall
// silent for some time, the retries are used up, and daemons are stopped and started in turn: none of these
// is a reason to end an answer.
func TestLost_SilentHeadsBesideStops(t *testing.T) {
	t.Parallel()
	const daemons, callers, rounds = 3, 24, 3
	s := newTestCluster(t, 6)
	for i := range daemons {
		s.start(i == 0)
	}
	s.awaitGroups(3)
	random := rand.New(rand.NewPCG(1, 1))
	stop := s.startStreamCallers(callers)
	for range rounds {
		for _, d := range s.daemons {
			s.stopAndStart(syscall.SIGTERM, d)
			eventually(t, "the daemon is ready again", d.Ready)
		}
		heads := s.openGroupHeads()
		silent := heads[random.IntN(len(heads))]
		silent.SetFault(PausesMidStream)
		time.Sleep(2800 * time.Millisecond)
		silent.SetFault(Healthy)
	}
	outcomes := stop()
	t.Log(outcomes.whole, " whole streams, ", len(outcomes.cut), " cut")
	for id := range outcomes.cut {
		t.Log(strings.Join(s.linesOf(id), ""))
	}
	must.Positive(t, outcomes.whole)
	must.MapEmpty(t, outcomes.cut)
}
