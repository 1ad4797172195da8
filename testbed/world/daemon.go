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

// ControlToken is the secret of every daemon in a testbed.
const ControlToken = "testbed-token"

// Daemon is a real pointpassd process.
type Daemon struct {
	Node    string
	Callers string
	Control string // where others reach it, through its proxy if it has one

	world   *World
	config  string
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// newDaemon writes a daemon's settings file and lists its VM.
func (w *World) newDaemon(node, hall string) (*Daemon, error) {
	callers, err := loopback.FreeAddr()
	if err != nil {
		return nil, err
	}
	control, err := loopback.FreeAddr()
	if err != nil {
		return nil, err
	}
	d := &Daemon{Node: node, Callers: callers, Control: control, world: w, config: filepath.Join(w.Dir, node+".jsonc")}
	platformAddr := w.Platform.Addr()
	if w.proxies != nil {
		if platformAddr, err = w.proxies.add(platformLink(node), platformAddr); err != nil {
			return nil, err
		}
		if d.Control, err = w.proxies.add(controlLink(node), control); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf(`{
  "node": %q, "hall": %q,
  "callers_addr": %q, "control_addr": %q, "platform_addr": %q,
  "control_token": %q, "log_file": %q,
  %s
}
`, node, hall, callers, control, platformAddr, ControlToken, d.LogFile(), w.opts.Extra)
	if err := os.WriteFile(d.config, []byte(text), 0o644); err != nil {
		return nil, err
	}
	w.Platform.SetVM(platform.VM{ID: node, Addr: d.Control, Hall: hall, Domain: hall, Pool: "entry", State: "live"})
	return d, nil
}

// LogFile returns where the daemon logs.
func (d *Daemon) LogFile() string { return filepath.Join(d.world.Dir, d.Node+".log") }

// ErrorFile returns where the daemon's standard error goes.
func (d *Daemon) ErrorFile() string { return filepath.Join(d.world.Dir, d.Node+".stderr") }

// PID returns the process's number.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// Start starts the process and waits until it listens.
func (d *Daemon) Start() error {
	d.cmd = exec.Command(d.world.opts.Program, "-config", d.config)
	stderr, err := os.OpenFile(d.ErrorFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
	return Wait(d.Node+" listens", func() bool { return d.ended() || d.get("/readyz") != 0 })
}

func (d *Daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// getTimeout bounds how long a daemon may take to say how it is.
const getTimeout = 2 * time.Second

// Up tells whether the daemon answers at all.
func (d *Daemon) Up() bool { return d.get("/readyz") != 0 }

func (d *Daemon) get(path string) int {
	client := http.Client{Timeout: getTimeout}
	resp, err := client.Get("http://" + d.Callers + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// WaitReady waits until the daemon has settings.
func (d *Daemon) WaitReady() error {
	return Wait(d.Node+" is ready", func() bool { return d.get("/readyz") == http.StatusOK })
}

// Ready tells whether the daemon may serve.
func (d *Daemon) Ready() bool { return d.get("/readyz") == http.StatusOK }

// Kill ends the process at once, as a VM's loss would.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	d.cmd.Process.Kill()
	<-d.exited
}

// Freeze pauses the process.
func (d *Daemon) Freeze() error { return d.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a paused process go on.
func (d *Daemon) Thaw() error { return d.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to drain and returns how it exited.
func (d *Daemon) Terminate() error {
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-d.exited
	return d.exitErr
}

// Group is a group as a daemon sees it.
type Group struct {
	ID      string   `json:"id"`
	Epoch   uint64   `json:"epoch"`
	Pool    string   `json:"pool"`
	State   string   `json:"state"`
	Present bool     `json:"present"`
	VMs     []string `json:"vms"`
}

// Groups returns the groups as the daemon sees them.
func (d *Daemon) Groups() ([]Group, error) {
	out, err := d.world.Client(d, "groups", "-json")
	if err != nil {
		return nil, err
	}
	var groups []Group
	return groups, json.Unmarshal([]byte(out), &groups)
}

// Present counts the groups of a pool that the daemon may send requests to.
func (d *Daemon) Present(pool string) int {
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
		if err := Wait(fmt.Sprintf("%s sees %d groups of %s", d.Node, n, pool), func() bool { return d.Present(pool) >= n }); err != nil {
			return err
		}
	}
	return nil
}
