package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pointpass/pointpass/testbed/loopback"
)

// daemon is a process of the project, started by the command of the deploy file.
type daemon struct {
	name, callers, readiness, peers string
	logFile                         string
	command                         *exec.Cmd
	done                            chan struct{}
}

// bounds are those of the users' smaller deployments.
var bounds = map[string]any{
	"grace_s": 8, "revoke_ms": 5000, "revoke_strict": true,
	"retry_ratio": 0.2, "retry_extra": 136, "retry_window_s": 10,
	"in_touch_ms": 3000, "load_window_s": 5, "load_overrun": 1.1,
}

// startDaemons starts daemons in the given zones and waits until all are ready.
func startDaemons(dir, program, store string, zones []string) ([]*daemon, error) {
	var list []*daemon
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "region"
		d := &daemon{name: "edge-" + zone, done: make(chan struct{})}
		for _, addr := range []*string{&d.callers, &d.readiness, &d.peers} {
			free, err := loopback.FreeAddr()
			if err != nil {
				return list, err
			}
			*addr = free
		}
		list = append(list, d)
	}
	for i, d := range list {
		metrics, err := loopback.FreeAddr()
		if err != nil {
			return list, err
		}
		settings, err := json.Marshal(map[string]any{
			"name": d.name, "hall": zones[i], "callers_addr": d.callers, "readiness_addr": d.readiness,
			"metrics_addr": metrics, "peers_addr": d.peers, "seeds": []string{list[0].peers}, "cores": 0.4,
			"store_addr": store, "first_start": true, "hall_regions": regions, "bounds": bounds,
		})
		if err != nil {
			return list, err
		}
		file := filepath.Join(dir, d.name+".jsonc")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return list, err
		}
		if err := d.start(program, file, filepath.Join(dir, d.name+".log")); err != nil {
			return list, err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, d := range list {
		for !d.ready() {
			if time.Now().After(deadline) {
				return list, errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return list, nil
}

func (d *daemon) start(program, settings, logFile string) error {
	output, err := os.Create(logFile)
	if err != nil {
		return err
	}
	defer output.Close()
	d.logFile = logFile
	d.command = exec.Command(program, "edge")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POINTPASS_CONFIG=" + settings, "GOMAXPROCS=1"}
	d.command.Stdout = output
	d.command.Stderr = output
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	go func() {
		d.command.Wait()
		close(d.done)
	}()
	return nil
}

// ready reports whether the platform would send callers to the daemon.
func (d *daemon) ready() bool {
	resp, err := http.Get("http://" + d.readiness + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) signal(s syscall.Signal) { d.command.Process.Signal(s) }

// kill ends the process and waits for its exit.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	d.command.Process.Kill()
	<-d.done
}
