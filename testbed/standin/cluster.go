package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pointpass/pointpass/testbed/loopback"
)

// Config is a configuration as the operator writes it.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"backends"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Route is a route of a configuration.
type Route struct {
	Name      string  `json:"name"`
	Host      string  `json:"hostname"`
	Prefix    string  `json:"pathPrefix"`
	Type      string  `json:"type"`
	TimeoutMs int     `json:"timeoutMs"`
	GoalMs    int     `json:"goalMs"`
	GapMs     int     `json:"targetGapMs,omitempty"`
	Priority  int     `json:"prio"`
	Service   string  `json:"backend,omitempty"`
	Splits    []Split `json:"splits,omitempty"`
	Attempts  int     `json:"attempts"`
	Public    bool    `json:"public"`
	Resumable bool    `json:"resumable"`
	// Regions are where its requests may run, none if anywhere.
	Regions []string `json:"allowedRegions,omitempty"`
}

// Split is a service's part of a route.
type Split struct {
	Service string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Service is a service of a configuration.
type Service struct {
	Name    string   `json:"name"`
	Runtime *Runtime `json:"runtime,omitempty"`
	// ColdS and ColdPerS say how workers are used that have just started.
	ColdS    float64 `json:"coldS,omitempty"`
	ColdPerS float64 `json:"coldPerS,omitempty"`
}

// Runtime says how model workers run.
type Runtime struct {
	Slots       int     `json:"slots"`
	Models      []Model `json:"models"`
	LoadsPerS   float64 `json:"loadsPerS"`
	LoadsAtOnce int     `json:"loads_at_once"`
	FormMs      float64 `json:"formMs"`
}

// Model is a model and the groups that run it.
type Model struct {
	Name    string  `json:"name"`
	Size    int     `json:"size"`
	Share   float64 `json:"share"`
	Pace    float64 `json:"pace"`
	LoadS   float64 `json:"loadS"`
	WarmupS float64 `json:"warmupS"`
}

// Limits bound requests.
type Limits struct {
	HeaderBytes int `json:"maxHeaderBytes"`
	BodyBytes   int `json:"maxBodyBytes"`
}

// Tenant is a tenant and its keys.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
	// Regions are where its requests may run, none if anywhere.
	Regions []string `json:"allowedRegions,omitempty"`
}

// Apply writes a configuration to the store.
func (s *Store) Apply(c Config) {
	for _, service := range c.Services {
		s.judge.setColdBound(service.Name, service.ColdPerS)
		if service.Runtime != nil {
			s.judge.setSizes(service.Runtime.Models)
		}
	}
	s.Put("op", "config", c)
}

// Build builds pointpassd into a folder and returns the program's path.
func Build(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "pointpassd")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/pointpass/pointpass/cmd/pointpassd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}

// Daemon is a running pointpassd edge.
type Daemon struct {
	addr, readiness, metrics, peers string
	// file holds the daemon's settings.
	file    string
	command *exec.Cmd
	done    chan struct{}
	log     *buffer
}

// buffer is a log that may be read while it grows.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const settings = `{
  "name": %q, "hall": "z1", "first_start": %t,
  "callers_addr": %q, "readiness_addr": %q, "metrics_addr": %q, "peers_addr": %q, "store_addr": %q, "cores": 0.2,
  "hall_regions": {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2"},
  "bounds": {"grace_s": 4, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_extra": 30, "retry_window_s": 10, "revoke_strict": %t, "fenced": %t, "cold_overrun": 1.5, "cold_slack": 5},
}`

// Setup is how a daemon is started.
type Setup struct {
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// LooseRevoke lets keys be taken on evidence of up to a minute.
	LooseRevoke bool
	// Fenced tells that workers refuse orders with an old fencing token.
	Fenced bool
	// Door is where the daemon reaches the store, nil for the usual one.
	Door *Door
}

// storeAddr returns where the daemon reaches a store.
func (s Setup) storeAddr(store *Store) string {
	if s.Door != nil {
		return s.Door.Addr()
	}
	return store.Addr()
}

// Start starts a daemon of a name, and returns it with a function that kills it.
func Start(program, dir, name string, store *Store, setup Setup) (*Daemon, func(), error) {
	d := &Daemon{done: make(chan struct{}), log: &buffer{}}
	for _, addr := range []*string{&d.addr, &d.readiness, &d.metrics, &d.peers} {
		free, err := loopback.FreeAddr()
		if err != nil {
			return nil, nil, err
		}
		*addr = free
	}
	d.file = filepath.Join(dir, name+".jsonc")
	text := fmt.Sprintf(settings, name, setup.FirstStart, d.addr, d.readiness, d.metrics, d.peers, setup.storeAddr(store), !setup.LooseRevoke, setup.Fenced)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, nil, err
	}
	d.command = exec.Command(program, "edge", "-config", d.file)
	d.command.Stdout = d.log
	d.command.Stderr = d.log
	if err := d.command.Start(); err != nil {
		return nil, nil, err
	}
	go func() {
		d.command.Wait()
		close(d.done)
	}()
	return d, d.Kill, nil
}

// Kill kills the daemon, and waits until it is gone.
func (d *Daemon) Kill() {
	d.command.Process.Kill()
	<-d.done
}

// Signal sends the daemon a signal.
func (d *Daemon) Signal(s syscall.Signal) { d.command.Process.Signal(s) }

// Settings returns the file of the daemon's settings.
func (d *Daemon) Settings() string { return d.file }

// Exit returns the daemon's exit code once it is gone.
func (d *Daemon) Exit() int { return d.command.ProcessState.ExitCode() }

// Done is closed once the daemon is gone.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Log returns what the daemon has logged so far.
func (d *Daemon) Log() string { return d.log.String() }

// Ready tells whether the balancer would send callers.
func (d *Daemon) Ready() bool {
	resp, err := http.Get("http://" + d.readiness + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Metrics returns the daemon's metrics as text.
func (d *Daemon) Metrics() string {
	resp, err := http.Get("http://" + d.metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// Status returns what the daemon tells operators, as JSON.
func (d *Daemon) Status() string {
	resp, err := http.Get("http://" + d.metrics + "/status")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// Release asks the daemon to send a request that is held back to workers again, and returns
// the status of its answer, 0 if there is none.
func (d *Daemon) Release(fingerprint string) int {
	req, err := http.NewRequest(http.MethodDelete, "http://"+d.metrics+"/held/"+fingerprint, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Ask is a request of a caller.
type Ask struct {
	ID, Method, Host, Path, Key, Body string
	Wait                              time.Duration
	Header                            http.Header
}

// Reply is what the caller got.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// Closes tells that the caller is asked to leave the connection.
	Closes bool
	// Err is why the answer is not whole.
	Err  error
	Took time.Duration
}

// Send sends a request to a daemon.
func (d *Daemon) Send(ctx context.Context, a Ask) Reply {
	begun := time.Now()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+d.addr+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Host = a.Host
	for name, values := range a.Header {
		req.Header[name] = values
	}
	req.Header.Set(headerID, a.ID)
	req.Header.Set(headerDeadline, strconv.FormatInt(a.Wait.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return Reply{Err: err, Took: time.Since(begun)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Closes: resp.Close, Err: err, Took: time.Since(begun)}
}
