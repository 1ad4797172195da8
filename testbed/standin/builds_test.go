package standin

import (
	"cmp"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

var otherBuild = flag.String("build.other", "", "path of another build's pointpassd, which TestBuilds_ShareADeployment runs beside this one; without it this build runs twice")

// TestBuilds_ShareADeployment guards against a build that can't run beside another one, as
// during a rolling upgrade. Daemons of both builds serve callers and are restarted in turn under
// load. Each build takes the lease from the other, and forms groups from the rows that the other
// wrote.
func TestBuilds_ShareADeployment(t *testing.T) {
	other := cmp.Or(*otherBuild, program)
	s := newTestCluster(t, 4)
	holder := s.startBuild(other, Setup{FirstStart: true, Fenced: true})
	s.awaitGroups(2)
	standby := s.startBuild(program, Setup{Fenced: true})
	for i, replacement := range []string{other, program, other, program} {
		s.servesAllKinds(holder)
		s.servesAllKinds(standby)
		stopCallers := s.startCallers("/ask/q", callersPerDaemon)
		holder.Signal(syscall.SIGTERM)
		<-holder.Done()
		must.EqOp(t, 0, holder.Exit())
		eventually(t, "the other build takes the lease", func() bool {
			return strings.Contains(standby.Log(), `"event":"lease_taken"`)
		})
		s.replaceGroupMember(fmt.Sprint("m", i), fmt.Sprint("n", i))
		holder, standby = standby, s.startBuild(replacement, Setup{Fenced: true})
		stopCallers()
	}
}

// servesAllKinds waits until a daemon serves a request of each kind.
func (s *testCluster) servesAllKinds(d *Daemon) {
	s.t.Helper()
	for _, path := range []string{"/post/x", "/get/x", "/open/x"} {
		eventually(s.t, path+" is served", func() bool {
			return d.Send(s.t.Context(), s.newRequest(http.MethodPost, path)).Status == http.StatusOK
		})
	}
	eventually(s.t, "a stream is complete", func() bool {
		a := s.newStreamRequest()
		return completeStream(a.ID, d.Send(s.t.Context(), a))
	})
}

// replaceGroupMember kills a worker, adds another one to its domain, and waits until all groups
// are open again.
func (s *testCluster) replaceGroupMember(id, next string) {
	s.t.Helper()
	s.workers[id].Kill()
	s.store.Put("servers", id, nil)
	delete(s.workers, id)
	w := s.addWorker(next, "llm", "d0")
	eventually(s.t, "the new worker gets an order", func() bool { return len(w.Orders()) > 0 })
	s.awaitGroups(2)
}
