package world

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/observed"
	"github.com/pointpass/pointpass/testbed/platform"
)

// Options configures a deployment.
type Options struct {
	Layouts []Layout
	Daemons int
	// Timing and Limits apply to the stand-ins for engines.
	Timing engine.Timing
	Limits engine.Limits
	// ExtraSettings is added to every daemon's settings file, after the addresses.
	ExtraSettings string
	// Proxied puts a fault-injecting proxy between every daemon and the platform,
	// and in front of every daemon's control address.
	Proxied bool
	// DeferStart leaves the daemons stopped; the caller starts them.
	DeferStart bool
	// DaemonBinary is the path of a pointpassd binary. If it is empty, both
	// programs are built from source.
	DaemonBinary string
	// ClientBinary is the path of a pointpass binary, to be set with DaemonBinary.
	ClientBinary string
}

// World is a running deployment.
type World struct {
	Platform *platform.Platform
	Fabric   *engine.Fabric
	Record   *observed.Record
	Daemons  []*Daemon
	Dir      string

	opts     Options
	cleanups []func()
	proxies  *proxies
}

// DefaultLimits returns limits for the stand-ins that match the settings of both
// layouts, which allow eight streams per group.
func DefaultLimits() engine.Limits { return engine.Limits{Streams: 8, Prefixes: 16, Loads: 8} }

// Start starts a deployment and returns once every daemon is ready, or at once with
// DeferStart. The returned function stops everything and removes the files.
func Start(opts Options) (*World, func(), error) {
	w := &World{opts: opts, Record: observed.New()}
	if err := w.start(); err != nil {
		w.close()
		return nil, nil, err
	}
	return w, w.close, nil
}

func (w *World) close() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
}

func (w *World) start() error {
	dir, err := os.MkdirTemp("", "pointpass-")
	if err != nil {
		return err
	}
	w.Dir = dir
	w.cleanups = append(w.cleanups, func() { os.RemoveAll(dir) })
	p, closePlatform, err := platform.Start()
	if err != nil {
		return err
	}
	w.Platform = p
	w.cleanups = append(w.cleanups, closePlatform)
	w.Fabric = engine.NewFabric(w.opts.Timing, w.opts.Limits, w.Record)
	for _, layout := range w.opts.Layouts {
		if err := w.startLayout(layout); err != nil {
			return err
		}
	}
	if w.opts.Proxied {
		w.proxies = newProxies()
		w.cleanups = append(w.cleanups, w.proxies.close)
	}
	if err := w.build(); err != nil {
		return err
	}
	return w.startDaemons()
}

// startLayout starts the stand-ins of one layout. The VMs of a pool in one hall form
// one fabric domain.
func (w *World) startLayout(layout Layout) error {
	for _, pool := range layout.Pools {
		for i := range pool.VMs {
			hall := layout.Halls[i%len(layout.Halls)]
			vm := platform.VM{
				ID:     fmt.Sprintf("%s-%03d", pool.Name, i),
				Hall:   hall,
				Domain: hall + "-" + pool.Name,
				Pool:   pool.Name,
				State:  "live",
			}
			e, err := engine.Start(w.Fabric, engine.Options{VM: vm.ID, Plain: pool.Plain, Fenced: pool.Fenced})
			if err != nil {
				return err
			}
			w.cleanups = append(w.cleanups, e.Kill)
			vm.Addr = e.Addr()
			w.Platform.SetVM(vm)
		}
	}
	return nil
}

// build builds both programs unless the options name a daemon binary.
func (w *World) build() error {
	if w.opts.DaemonBinary != "" {
		return nil
	}
	program, client, err := Build(w.Dir)
	w.opts.DaemonBinary = program
	w.opts.ClientBinary = client
	return err
}

// Build builds pointpassd and pointpass into a folder and returns their paths. The
// flags are passed to "go build".
func Build(dir string, flags ...string) (program, client string, err error) {
	args := append([]string{"build", "-o", dir + "/"}, flags...)
	args = append(args, "github.com/pointpass/pointpass/cmd/pointpassd", "github.com/pointpass/pointpass/cmd/pointpass")
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return "", "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return filepath.Join(dir, "pointpassd"), filepath.Join(dir, "pointpass"), nil
}

func (w *World) startDaemons() error {
	for i := range w.opts.Daemons {
		d, err := w.newDaemon(fmt.Sprintf("e%d", i+1), w.hall(i))
		if err != nil {
			return err
		}
		w.Daemons = append(w.Daemons, d)
		w.cleanups = append(w.cleanups, d.Kill)
	}
	if w.opts.DeferStart {
		return nil
	}
	for _, d := range w.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return w.applyInitialSettings()
}

func (w *World) hall(i int) string {
	halls := w.opts.Layouts[0].Halls
	return halls[i%len(halls)]
}

// Settings returns the settings tree of all layouts and their customers.
func (w *World) Settings() string {
	nodes := map[string][]string{}
	var b strings.Builder
	b.WriteString("{")
	roots := []string{}
	for _, layout := range w.opts.Layouts {
		text := strings.TrimSpace(layout.Settings)
		text = text[strings.Index(text, "{")+1:]
		roots = append(roots, strings.TrimSuffix(strings.TrimSpace(text), "},"))
		for _, customer := range layout.Customers {
			nodes[customer] = nil
			writeCustomerSettings(&b, layout, customer)
		}
	}
	fmt.Fprintf(&b, "\n  \"/\": {%s},\n}\n", mergeRootSettings(roots))
	return b.String()
}

// mergeRootSettings joins the root settings of several layouts. Of a field that occurs
// more than once, the first occurrence is kept.
func mergeRootSettings(roots []string) string {
	seen := map[string]bool{}
	var lines []string
	for _, root := range roots {
		for line := range strings.SplitSeq(root, "\n") {
			field, _, _ := strings.Cut(strings.TrimSpace(line), ":")
			if field != "" && seen[field] {
				continue
			}
			seen[field] = true
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

func writeCustomerSettings(b *strings.Builder, layout Layout, customer string) {
	sum := sha256.Sum256([]byte(Key(customer)))
	fmt.Fprintf(b, "\n  \"/%s\": {\"api_keys\": [%q]},", customer, hex.EncodeToString(sum[:]))
	for _, pool := range layout.Pools {
		fmt.Fprintf(b, "\n  \"/%s/%s\": {\"pool\": %q},", customer, pool.Name, pool.Name)
	}
}

// applyInitialSettings edits the settings tree through the first daemon and waits
// until all daemons are ready, which requires the settings.
func (w *World) applyInitialSettings() error {
	file := filepath.Join(w.Dir, "settings.jsonc")
	if err := os.WriteFile(file, []byte(w.Settings()), 0o644); err != nil {
		return err
	}
	if err := w.retryFirstEdit(file); err != nil {
		return err
	}
	for _, d := range w.Daemons {
		if err := d.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// retryFirstEdit repeats the edit until the first daemon accepts it. On a busy machine
// the daemon may listen before it has read the table once, and then rejects edits.
func (w *World) retryFirstEdit(file string) error {
	var lastErr error
	err := Wait("the first settings to be accepted", func() bool {
		_, lastErr = w.Client(w.Daemons[0], "tree", "edit", file, "-why", "first settings")
		return lastErr == nil
	})
	return errors.Join(err, lastErr)
}

// Client runs the operators' client against a daemon and returns its combined output.
func (w *World) Client(d *Daemon, args ...string) (string, error) {
	cmd := exec.Command(w.opts.ClientBinary, args...)
	cmd.Env = append(os.Environ(), "POINTPASS_ADDR="+d.ControlAddr, "POINTPASS_TOKEN="+ControlToken, "POINTPASS_WHO=testbed")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), &ClientError{args: args, output: string(out), err: err}
	}
	return string(out), nil
}

// ClientError reports a failed run of the operators' client.
type ClientError struct {
	args   []string
	output string
	err    error
}

// Error returns the command line, the cause and the client's output.
func (e *ClientError) Error() string {
	return fmt.Sprintf("pointpass %s: %v: %s", strings.Join(e.args, " "), e.err, e.output)
}

// Code returns the client's exit code, or -1 if it didn't exit by itself.
func (e *ClientError) Code() int {
	var exit *exec.ExitError
	if errors.As(e.err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

// waitTimeout bounds each Wait.
const waitTimeout = 60 * time.Second

// Wait polls until a condition holds, and returns an error after waitTimeout. The
// description completes "timed out waiting for".
func Wait(description string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v waiting for %s", waitTimeout, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
