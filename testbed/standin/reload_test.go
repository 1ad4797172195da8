package standin

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// edit replaces parts of a daemon's settings: from, to, and so on.
func (s *stage) edit(d *Daemon, fromTo ...string) {
	text, err := os.ReadFile(d.Settings())
	must.NoError(s.t, err)
	for i := 0; i < len(fromTo); i += 2 {
		must.StrContains(s.t, string(text), fromTo[i])
	}
	next := strings.NewReplacer(fromTo...).Replace(string(text))
	must.NoError(s.t, os.WriteFile(d.Settings(), []byte(next), 0o600))
}

// reloading returns a stage of one group and a daemon, and a stream that waits in its
// middle until the function returned is called, which tells whether it came whole.
func reloading(t *testing.T) (s *stage, d *Daemon, end func() bool) {
	s = newStage(t, 2)
	const long = 30 * time.Second
	for i := range s.config.Routes {
		s.config.Routes[i].TimeoutMs = int(long.Milliseconds())
	}
	s.store.Apply(s.config)
	d = s.start(true)
	s.awaitGroups(1)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	s.setFaults(Fails, "a0", "a1")
	head := s.open()[0]
	head.SetFault(Pauses)
	a := s.stream()
	a.Wait = long
	got := make(chan Reply, 1)
	go func() { got <- d.Send(t.Context(), a) }()
	eventually(t, "it runs", func() bool { return len(s.runs(a.ID)) == 1 })
	return s, d, func() bool {
		must.EqOp(t, 0, len(got), must.Sprint("the stream ended before"))
		head.SetFault(Healthy)
		return wholeStream(a.ID, <-got)
	}
}

// awaitLog waits until a daemon has logged a text: lines are written a moment after.
func awaitLog(t *testing.T, d *Daemon, text string) {
	t.Helper()
	eventually(t, "it logs "+text, func() bool { return strings.Contains(d.Log(), text) })
}

// tries returns how often a request is tried that every worker fails.
func (s *stage) tries(d *Daemon) int {
	a := s.ask(http.MethodGet, "/get/x")
	d.Send(s.t.Context(), a)
	return len(s.runs(a.ID))
}

var withoutRetries = []string{`"retry_ratio": 0.2`, `"retry_ratio": 0`, `"retry_extra": 30`, `"retry_extra": 0`}

// TestReload_TakesEffectAndCutsNothing changes a bound while a stream runs.
func TestReload_TakesEffectAndCutsNothing(t *testing.T) {
	for name, signals := range map[string]int{"signal": 1, "two signals": 2, "no signal": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, d, end := reloading(t)
			must.EqOp(t, 2, s.tries(d))
			s.edit(d, withoutRetries...)
			for range signals {
				d.Signal(syscall.SIGHUP)
			}
			eventually(t, "the change is in force", func() bool { return s.tries(d) == 1 })
			must.True(t, end())
			awaitLog(t, d, `"outcome":"changed","changes":["bounds.retry_ratio: 0.2 -> 0","bounds.retry_extra: 30 -> 0"]`)
			must.StrContains(t, d.Metrics(), `pointpass_settings_reloads_total{outcome="changed"} 1`)
			must.StrContains(t, d.Metrics(), "pointpass_settings_age_seconds")
		})
	}
}

// TestReload_RefusedFilesChangeNothing: the log names file, line and field, and what may
// change beside it doesn't.
func TestReload_RefusedFilesChangeNothing(t *testing.T) {
	for _, c := range []struct{ name, outcome, from, to, mistake string }{
		{"cut short", "unreadable", `_ms": 5000`, `_ms": 5000 /*`, ":5: "},
		{"a mistake", "unreadable", `"grace_s": 4`, `"grace_s": 0`, ":5: bounds.grace_s: want more than 0"},
		{"an address", "refused", `"callers_addr": "127`, `"callers_addr": "128`, ":3: callers_addr: is fixed while the daemon runs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, d, end := reloading(t)
			s.edit(d, append(withoutRetries, c.from, c.to)...)
			d.Signal(syscall.SIGHUP)
			eventually(t, "it is refused", func() bool {
				return strings.Contains(d.Metrics(), `pointpass_settings_reloads_total{outcome="`+c.outcome+`"} 1`)
			})
			awaitLog(t, d, d.Settings()+c.mistake)
			must.EqOp(t, 2, s.tries(d))
			must.True(t, end())
		})
	}
}

// TestReload_WhileStopping: a daemon that is asked to stop and then to read its settings
// ends what is under way, and then itself.
func TestReload_WhileStopping(t *testing.T) {
	s, d, end := reloading(t)
	d.Signal(syscall.SIGTERM)
	eventually(t, "it stops", func() bool { return !d.Ready() })
	s.edit(d, withoutRetries...)
	d.Signal(syscall.SIGHUP)
	eventually(t, "the change is in force", func() bool { return s.tries(d) == 1 })
	must.True(t, end())
	<-d.Done()
	must.EqOp(t, 0, d.Exit())
	must.StrContains(t, d.Log(), `"event":"stopped"`)
}

// TestReload_OrdersCarryTokensOnceWorkersLook: a bound that the holder of the lease reads.
func TestReload_OrdersCarryTokensOnceWorkersLook(t *testing.T) {
	s := newStage(t, 2)
	d := s.start(true)
	s.awaitGroups(1)
	must.EqOp(t, 0, s.workers["m0"].Fence())
	s.edit(d, `"fenced": false`, `"fenced": true`)
	d.Signal(syscall.SIGHUP)
	awaitLog(t, d, "bounds.fenced: false -> true")
	s.addWorker("m2", "llm", "d0")
	s.addWorker("m3", "llm", "d0")
	eventually(t, "orders carry tokens", func() bool { return s.workers["m2"].Fence() > 0 })
	s.awaitGroups(2)
}
