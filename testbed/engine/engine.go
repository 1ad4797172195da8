package engine

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	client "github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/testbed/loopback"
	"github.com/pointpass/pointpass/testbed/observed"
)

// Options says what a stand-in is.
type Options struct {
	VM     string
	Plain  bool // a plain service instead of a model engine
	Fenced bool // refuses orders with an old epoch
}

// Engine is the stand-in on one VM.
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

// Start starts a stand-in on a free port of loopback. It keeps the port through restarts,
// so that the port must not be one that the system gives to connections meanwhile.
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

// Addr returns the IP number and port.
func (e *Engine) Addr() string { return e.addr }

// Restart starts the VM afresh: it remembers nothing.
func (e *Engine) Restart() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.serve(listener)
	return nil
}

// serve begins a life of the VM at a listener.
func (e *Engine) serve(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = true
	e.boot = uuid.NewString()
	e.forget()
	e.batch = newBatch(e)
	if e.opts.Plain {
		e.role = client.Plain
	}
	e.server = &http.Server{Handler: e.handler()}
	go e.server.Serve(listener)
}

func (e *Engine) forget() {
	e.role = client.Idle
	e.group = ""
	e.members = nil
}

// Kill ends the VM at once, with all its connections and its memory.
func (e *Engine) Kill() {
	e.mu.Lock()
	server := e.server
	e.up = false
	e.frozen = false
	e.forget()
	e.epoch = 0
	e.batch.stop()
	e.thawed.Broadcast()
	e.mu.Unlock()
	server.Close()
}

// Freeze pauses the VM: connections stay open and nothing answers.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = true
}

// Thaw lets a paused VM go on as if nothing had happened.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.thawed.Broadcast()
}

// State returns group and epoch that the VM believes in.
func (e *Engine) State() (group string, epoch uint64, role client.Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group, e.epoch, e.role
}

func (e *Engine) joined(group string, epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.role == client.Ready || e.role == client.Draining
	return e.up && !e.frozen && loaded && e.group == group && e.epoch == epoch
}

// awake waits while the VM is paused.
func (e *Engine) awake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.frozen {
		e.thawed.Wait()
	}
}

// order carries out an order, or refuses it.
func (e *Engine) order(o client.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken := !e.opts.Fenced || o.Epoch >= e.epoch
	e.fabric.record.Ordered(observed.Order{VM: e.opts.VM, Group: o.Group, Epoch: o.Epoch, Role: string(o.Role), Taken: taken, Time: time.Now()})
	if !taken {
		return false
	}
	same := e.group == o.Group && e.epoch == o.Epoch
	e.epoch = o.Epoch
	switch {
	case o.Role == client.Idle:
		e.batch.stop()
		e.batch = newBatch(e)
		e.forget()
	case same && e.role != client.Loading:
		e.role = o.Role
	case !same:
		e.batch.stop()
		e.batch = newBatch(e)
		e.role = client.Loading
		e.group = o.Group
		e.members = o.Members
		go e.load(e.boot, o)
	}
	return true
}

// load takes its turn at the weight store, which few can use at once.
func (e *Engine) load(boot string, o client.Order) {
	e.fabric.loads <- struct{}{}
	time.Sleep(e.fabric.timing.Load)
	<-e.fabric.loads
	e.awake()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot && e.group == o.Group && e.epoch == o.Epoch && e.role == client.Loading {
		e.role = o.Role
	}
}

func (e *Engine) status() client.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, waiting := e.batch.load()
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
