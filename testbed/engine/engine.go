package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/common/tcp"
	client "github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/testbed/loopback"
	"github.com/pointpass/pointpass/testbed/observed"
)

// Options configures a stand-in.
type Options struct {
	VM     string
	Plain  bool // a plain service instead of a model engine
	Fenced bool // rejects orders with an old epoch
}

// Engine is the stand-in for the engine or plain service of one VM.
type Engine struct {
	fabric *Fabric
	opts   Options
	addr   string

	mu      sync.Mutex
	thawed  *sync.Cond
	server  *http.Server
	up      bool
	frozen  bool
	boot    string
	role    client.Role
	group   string
	epoch   uint64
	members []string
	batch   *batch
}

// Start starts a stand-in on a free loopback port. The stand-in keeps its port across
// restarts, so the port must be outside the system's ephemeral range: otherwise another
// connection could take it while the stand-in is down.
func Start(f *Fabric, opts Options) (*Engine, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	e := &Engine{fabric: f, opts: opts, addr: listener.Addr().String()}
	e.thawed = sync.NewCond(&e.mu)
	e.serve(listener)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[opts.VM] = e
	return e, nil
}

// Addr returns the IP address and port.
func (e *Engine) Addr() string { return e.addr }

// addressTimeout bounds the wait for the address of a killed VM: its listener is closed once the accept under way has returned.
const addressTimeout = 10 * time.Second

// Restart starts a killed VM again on the same address, without its previous state.
func (e *Engine) Restart() error {
	ctx, cancel := context.WithTimeout(context.Background(), addressTimeout)
	defer cancel()
	listener, err := tcp.AwaitAddress(ctx, func() (net.Listener, error) { return net.Listen("tcp", e.addr) }, func(error) {})
	if err != nil {
		return err
	}
	e.serve(listener)
	return nil
}

// serve starts the VM's server with a new boot ID and no group.
func (e *Engine) serve(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = true
	e.boot = uuid.NewString()
	e.clearGroup()
	e.batch = newBatch(e)
	if e.opts.Plain {
		e.role = client.Plain
	}
	e.server = &http.Server{Handler: e.handler()}
	go e.server.Serve(listener)
}

func (e *Engine) clearGroup() {
	e.role = client.Idle
	e.group = ""
	e.members = nil
}

// Kill stops the VM at once, closes its connections and discards its state.
func (e *Engine) Kill() {
	e.mu.Lock()
	server := e.server
	e.up = false
	e.frozen = false
	e.clearGroup()
	e.epoch = 0
	e.batch.stop()
	e.thawed.Broadcast()
	e.mu.Unlock()
	server.Close()
}

// Freeze suspends the VM: its connections stay open and get no responses.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = true
}

// Thaw resumes a frozen VM with its state unchanged.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.thawed.Broadcast()
}

// State returns the VM's view of its group, epoch and role.
func (e *Engine) State() (group string, epoch uint64, role client.Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group, e.epoch, e.role
}

// joined reports whether the VM is up, not frozen, and has loaded the model for the
// group and epoch.
func (e *Engine) joined(group string, epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.role == client.Ready || e.role == client.Draining
	return e.up && !e.frozen && loaded && e.group == group && e.epoch == epoch
}

// waitWhileFrozen blocks while the VM is frozen.
func (e *Engine) waitWhileFrozen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.frozen {
		e.thawed.Wait()
	}
}

// applyOrder executes an order, or returns false if its epoch is old and the engine is
// fenced.
func (e *Engine) applyOrder(o client.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := !e.opts.Fenced || o.Epoch >= e.epoch
	e.fabric.record.AddOrder(observed.Order{VM: e.opts.VM, Group: o.Group, Epoch: o.Epoch, Role: string(o.Role), Accepted: accepted, Time: time.Now()})
	if !accepted {
		return false
	}
	sameOrder := e.group == o.Group && e.epoch == o.Epoch
	e.epoch = o.Epoch
	switch {
	case o.Role == client.Idle:
		e.batch.stop()
		e.batch = newBatch(e)
		e.clearGroup()
	case sameOrder && e.role != client.Loading:
		e.role = o.Role
	case !sameOrder:
		e.batch.stop()
		e.batch = newBatch(e)
		e.role = client.Loading
		e.group = o.Group
		e.members = o.Members
		go e.load(e.boot, o)
	}
	return true
}

// load loads the model for an order and then takes the order's role, unless the VM was
// restarted or got another order meanwhile. The number of concurrent loads from the
// weight store is limited.
func (e *Engine) load(boot string, o client.Order) {
	e.fabric.loadSlots <- struct{}{}
	time.Sleep(e.fabric.timing.Load)
	<-e.fabric.loadSlots
	e.waitWhileFrozen()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot && e.group == o.Group && e.epoch == o.Epoch && e.role == client.Loading {
		e.role = o.Role
	}
}

func (e *Engine) status() client.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, waiting := e.batch.queueLengths()
	return client.Status{
		VM:      e.opts.VM,
		Boot:    e.boot,
		Group:   e.group,
		Epoch:   e.epoch,
		Role:    e.role,
		Running: running,
		Waiting: waiting,
	}
}
