package world

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pointpass/pointpass/testbed/loopback"
	"github.com/pointpass/pointpass/testbed/platform"
)

// ControlToken is the control token that all daemons of a testbed share.
const ControlToken = "testbed-token"

// Daemon is a pointpassd process.
type Daemon struct {
	Node        string
	CallersAddr string
	ControlAddr string // address for peers and the client; the proxy's if there is one

	world   *World
	config  string
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// newDaemon writes a daemon's settings file and adds its VM to the platform's list.
func (w *World) newDaemon(node, hall string) (*Daemon, error) {
	callersAddr, err := loopback.FreeAddr()
	if err != nil {
		return nil, err
	}
	controlAddr, err := loopback.FreeAddr()
	if err != nil {
		return nil, err
	}
	d := &Daemon{Node: node, CallersAddr: callersAddr, ControlAddr: controlAddr, world: w, config: filepath.Join(w.Dir, node+".jsonc")}
	platformAddr := w.Platform.Addr()
	if w.proxies != nil {
		if platformAddr, err = w.proxies.add(platformLink(node), platformAddr); err != nil {
			return nil, err
		}
		if d.ControlAddr, err = w.proxies.add(controlLink(node), controlAddr); err != nil {
			return nil, err
		}
	}
	settings := fmt.Sprintf(`{
  "node": %q, "hall": %q,
  "callers_addr": %q, "control_addr": %q, "platform_addr": %q,
  "control_token": %q, "log_file": %q,
  %s
}
`, node, hall, callersAddr, controlAddr, platformAddr, ControlToken, d.LogFile(), w.opts.ExtraSettings)
	if err := os.WriteFile(d.config, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	w.Platform.SetVM(platform.VM{ID: node, Addr: d.ControlAddr, Hall: hall, Domain: hall, Pool: "entry", State: "live"})
	return d, nil
}

// LogFile returns the path of the daemon's log.
func (d *Daemon) LogFile() string { return filepath.Join(d.world.Dir, d.Node+".log") }

// StderrFile returns the path of the file that collects the daemon's standard error.
func (d *Daemon) StderrFile() string { return filepath.Join(d.world.Dir, d.Node+".stderr") }

// PID returns the process ID.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// Start starts the process and waits until it listens or has exited.
func (d *Daemon) Start() error {
	d.cmd = exec.Command(d.world.opts.DaemonBinary, "-config", d.config)
	stderr, err := os.OpenFile(d.StderrFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer stderr.Close()
	d.cmd.Stderr = stderr
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		d.exitErr = cmd.Wait()
		close(exited)
	}(d.cmd, d.exited)
	return Wait(d.Node+" to listen", func() bool { return d.hasExited() || d.statusCode("/readyz") != 0 })
}

func (d *Daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// readyzTimeout bounds a readiness query, which a frozen daemon never answers.
const readyzTimeout = 2 * time.Second

// Up reports whether the daemon answers HTTP requests, ready or not.
func (d *Daemon) Up() bool { return d.statusCode("/readyz") != 0 }

func (d *Daemon) statusCode(path string) int {
	client := http.Client{Timeout: readyzTimeout}
	resp, err := client.Get("http://" + d.CallersAddr + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// WaitReady waits until the daemon reports that it is ready.
func (d *Daemon) WaitReady() error {
	return Wait(d.Node+" to be ready", func() bool { return d.statusCode("/readyz") == http.StatusOK })
}

// Ready reports whether the daemon is ready to serve.
func (d *Daemon) Ready() bool { return d.statusCode("/readyz") == http.StatusOK }

// Kill kills the process without draining, as the loss of its VM would.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	d.cmd.Process.Kill()
	<-d.exited
}

// Freeze suspends the process with SIGSTOP.
func (d *Daemon) Freeze() error { return d.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (d *Daemon) Thaw() error { return d.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which makes the daemon drain, and returns the
// process's exit error.
func (d *Daemon) Terminate() error {
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-d.exited
	return d.exitErr
}

// Group is one group in the output of "pointpass groups -json".
type Group struct {
	ID      string   `json:"id"`
	Epoch   uint64   `json:"epoch"`
	Pool    string   `json:"pool"`
	State   string   `json:"state"`
	Present bool     `json:"present"`
	VMs     []string `json:"vms"`
}

// Groups returns the groups that the daemon tracks.
func (d *Daemon) Groups() ([]Group, error) {
	out, err := d.world.Client(d, "groups", "-json")
	if err != nil {
		return nil, err
	}
	var groups []Group
	return groups, json.Unmarshal([]byte(out), &groups)
}

// PresentGroups counts the groups of a pool that the daemon may send requests to.
// It returns -1 if the daemon can't be queried.
func (d *Daemon) PresentGroups(pool string) int {
	groups, err := d.Groups()
	if err != nil {
		return -1
	}
	n := 0
	for _, g := range groups {
		if g.Present && g.Pool == pool {
			n++
		}
	}
	return n
}

// WaitGroups waits until every daemon may send requests to n groups of a pool.
func (w *World) WaitGroups(pool string, n int) error {
	for _, d := range w.Daemons {
		if err := Wait(fmt.Sprintf("%s to see %d groups of %s", d.Node, n, pool), func() bool { return d.PresentGroups(pool) >= n }); err != nil {
			return err
		}
	}
	return nil
}
