package standin

import (
	"cmp"
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

// Config is a configuration as the operator writes it to the store.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"backends"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Route maps requests for a host and path prefix to a service.
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
	// Regions are the regions where its requests may run, all if empty.
	Regions []string `json:"allowedRegions,omitempty"`
}

// Split is the share of a route's requests that goes to a service.
type Split struct {
	Service string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Service is a set of plain workers, or of model workers if it has a runtime.
type Service struct {
	Name    string   `json:"name"`
	Runtime *Runtime `json:"runtime,omitempty"`
	// ColdS is how long a worker is cold after its start, and ColdPerS how many requests per
	// second it may receive meanwhile.
	ColdS    float64 `json:"coldS,omitempty"`
	ColdPerS float64 `json:"coldPerS,omitempty"`
}

// Runtime configures how a service runs models.
type Runtime struct {
	Slots       int     `json:"slots"`
	Models      []Model `json:"models"`
	LoadsPerS   float64 `json:"loadsPerS"`
	LoadsAtOnce int     `json:"loads_at_once"`
	FormMs      float64 `json:"formMs"`
	// StepMs, PerSeqMs and ReadPerS are the times of a group. Without them daemons know no work.
	StepMs   float64 `json:"step_ms,omitempty"`
	PerSeqMs float64 `json:"per_seq_ms,omitempty"`
	ReadPerS float64 `json:"read_per_s,omitempty"`
}

// Model configures a model and its groups.
type Model struct {
	Name    string  `json:"name"`
	Size    int     `json:"size"`
	Share   float64 `json:"share"`
	Pace    float64 `json:"pace"`
	LoadS   float64 `json:"loadS"`
	WarmupS float64 `json:"warmupS"`
}

// Limits bounds the size of requests.
type Limits struct {
	HeaderBytes int `json:"maxHeaderBytes"`
	BodyBytes   int `json:"maxBodyBytes"`
}

// Tenant is a customer and its API keys.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
	// Regions are the regions where its requests may run, all if empty.
	Regions []string `json:"allowedRegions,omitempty"`
}

// Apply writes a configuration to the store and sets the checker's bounds accordingly.
func (s *Store) Apply(c Config) {
	for _, service := range c.Services {
		s.checker.setColdBound(service.Name, service.ColdPerS)
		if service.Runtime != nil {
			s.checker.setGroupSizes(service.Runtime.Models)
		}
	}
	s.Put("op", "config", c)
}

// Build compiles pointpassd into a directory and returns the program's path.
func Build(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "pointpassd")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/pointpass/pointpass/cmd/pointpassd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}

// Daemon is a running process of pointpassd edge.
type Daemon struct {
	addr, readiness, metrics, peers string
	// file is the path of the settings file.
	file    string
	command *exec.Cmd
	done    chan struct{}
	log     *buffer
	// stdout is the file that gets the daemon's standard output, nil if log does.
	stdout *os.File
	// descriptors limits the files and sockets of the process, 0 for no limit of its own.
	descriptors int
}

// buffer holds log output and may be read while it is written.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the buffer.
func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// String returns the text written so far.
func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const settingsTemplate = `{
  "name": %q, "hall": %q, "first_start": %t,
  "callers_addr": %q, "readiness_addr": %q, "metrics_addr": %q, "peers_addr": %q, "store_addr": %q, "cores": 0.2, "memory_mb": %d,
  "hall_regions": {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2"},
  "bounds": {"grace_s": 4, "revoke_ms": 5000, "retry_ratio": %v, "retry_extra": %v, "retry_window_s": %v, "revoke_strict": %t, "fenced": %t, "cold_overrun": 1.5, "cold_slack": 5},
}`

// memoryMB is the memory that a daemon may use, the least of the known deployments.
const memoryMB = 160

// Setup holds the options of a daemon's start.
type Setup struct {
	// FirstStart is set if no daemon of the system has run before.
	FirstStart bool
	// LooseRevoke lets the daemon accept API keys on cached data that is up to a minute old.
	LooseRevoke bool
	// Fenced is the daemon's setting that workers reject orders with an outdated fencing token.
	Fenced bool
	// Hall is the daemon's data hall, that of workers created by NewWorker if empty.
	Hall string
	// Frontend is the store address that the daemon uses, the primary one if nil.
	Frontend *Frontend
	// RetryExtra is the number of retries beyond the ratio that all daemons together may make, retryExtra
	// if 0.
	RetryExtra float64
	// Stdout is the file that gets the daemon's standard output, nil to keep it for Log.
	Stdout *os.File
	// MemoryMB is the memory in the daemon's settings, memoryMB if 0.
	MemoryMB int
	// Descriptors is how many files and sockets the process may have open, as many as the test's own if 0.
	Descriptors int
}

// hall returns the daemon's data hall.
func (s Setup) hall() string { return cmp.Or(s.Hall, firstHall) }

// storeAddr returns the address at which the daemon reaches the store.
func (s Setup) storeAddr(store *Store) string {
	if s.Frontend != nil {
		return s.Frontend.Addr()
	}
	return store.Addr()
}

// Start starts a daemon with a name, and returns it with a function that kills it.
func Start(program, dir, name string, store *Store, setup Setup) (*Daemon, func(), error) {
	d := &Daemon{done: make(chan struct{}), log: &buffer{}, stdout: setup.Stdout, descriptors: setup.Descriptors}
	for _, addr := range []*string{&d.addr, &d.readiness, &d.metrics, &d.peers} {
		free, err := loopback.FreeAddr()
		if err != nil {
			return nil, nil, err
		}
		*addr = free
	}
	d.file = filepath.Join(dir, name+".jsonc")
	text := fmt.Sprintf(settingsTemplate, name, setup.hall(), setup.FirstStart, d.addr, d.readiness, d.metrics, d.peers, setup.storeAddr(store), cmp.Or(setup.MemoryMB, memoryMB),
		retryRatio, cmp.Or(setup.RetryExtra, retryExtra), retryWindow.Seconds(), !setup.LooseRevoke, setup.Fenced)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, nil, err
	}
	if err := d.run(program); err != nil {
		return nil, nil, err
	}
	return d, d.Kill, nil
}

// run starts the daemon's process.
func (d *Daemon) run(program string) error {
	d.command = exec.Command(program, "edge", "-config", d.file)
	if d.descriptors > 0 {
		limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, d.descriptors)
		d.command = exec.Command("sh", "-c", limit, program, "edge", "-config", d.file)
	}
	d.command.Stdout = d.log
	if d.stdout != nil {
		d.command.Stdout = d.stdout
	}
	d.command.Stderr = d.log
	if err := d.command.Start(); err != nil {
		return err
	}
	command, done := d.command, d.done
	go func() {
		command.Wait()
		close(done)
	}()
	return nil
}

// Restart starts a daemon that has exited again, with the same settings, as a supervisor does.
func (d *Daemon) Restart(program string) error {
	d.done = make(chan struct{})
	return d.run(program)
}

// Kill kills the daemon and waits for its exit.
func (d *Daemon) Kill() {
	d.command.Process.Kill()
	<-d.done
}

// Addr returns the address at which the daemon serves callers.
func (d *Daemon) Addr() string { return d.addr }

// PeersAddr returns the address at which the daemon serves other daemons.
func (d *Daemon) PeersAddr() string { return d.peers }

// ReadinessAddr returns the address at which the daemon says whether it is ready.
func (d *Daemon) ReadinessAddr() string { return d.readiness }

// Pid returns the number of the daemon's process.
func (d *Daemon) Pid() int { return d.command.Process.Pid }

// Signal sends the daemon a signal.
func (d *Daemon) Signal(s syscall.Signal) { d.command.Process.Signal(s) }

// Settings returns the path of the daemon's settings file.
func (d *Daemon) Settings() string { return d.file }

// Exit returns the daemon's exit code. Done must be closed.
func (d *Daemon) Exit() int { return d.command.ProcessState.ExitCode() }

// Done returns a channel that is closed once the daemon has exited.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Log returns what the daemon has logged so far.
func (d *Daemon) Log() string { return d.log.String() }

// Ready reports whether the daemon is ready, so that a load balancer would send it requests.
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

// Status returns the daemon's status for operators, as JSON.
func (d *Daemon) Status() string {
	resp, err := http.Get("http://" + d.metrics + "/status")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// Release releases a request that the daemon holds back, and returns the status of the
// response, 0 if there is none.
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

// Request is a caller's request to a daemon.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	Timeout                           time.Duration
	Header                            http.Header
}

// Reply is the response as the caller received it.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// ConnClose is set if the daemon asked the caller to close the connection.
	ConnClose bool
	// Err is set if the response is incomplete.
	Err     error
	Elapsed time.Duration
}

// Send sends a request to the daemon and reads the whole response.
func (d *Daemon) Send(ctx context.Context, a Request) Reply {
	return SendBy(ctx, http.DefaultTransport, d.addr, a)
}

// SendBy sends a request to an address by a transport.
func SendBy(ctx context.Context, transport http.RoundTripper, addr string, a Request) Reply {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+addr+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Host = a.Host
	for name, values := range a.Header {
		req.Header[name] = values
	}
	req.Header.Set(headerAttemptID, a.ID)
	req.Header.Set(headerDeadline, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Reply{Err: err, Elapsed: time.Since(started)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(body), ConnClose: resp.Close, Err: err, Elapsed: time.Since(started)}
}
