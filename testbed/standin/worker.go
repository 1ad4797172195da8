package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Names of headers that workers read and write.
const (
	headerID        = "X-Pointpass-Attempt-Id"
	headerExpect    = "X-Pointpass-Expect-Instance"
	headerDeadline  = "X-Pointpass-Deadline-Ms"
	headerNotRun    = "X-Pointpass-Not-Executed"
	headerSignature = "X-Pointpass-Response-Signature"
	headerTenant    = "X-Pointpass-Tenant"
	headerLimit     = "Server-Limit"
	headerLeaving   = "Server-Leaving"
)

// Fault is how a worker misbehaves.
type Fault int

const (
	// Healthy is no fault.
	Healthy Fault = iota
	// Full rejects every request as not run.
	Full
	// LosesAnswers runs requests and resets the connection.
	LosesAnswers
	// Fails answers 500.
	Fails
	// Stalls takes requests and sends nothing more.
	Stalls
	// CutsEvents breaks off in the middle of the third event.
	CutsEvents
	// FallsSilent sends the first two events of a stream and nothing more.
	FallsSilent
	// Pauses sends the first two events of a stream, and the others once the fault ends.
	Pauses
	// OtherID answers with the id of another request.
	OtherID
	// LiesBusy answers 503 without saying that the request did not run.
	LiesBusy
)

// Run is one request that a worker ran.
type Run struct {
	ID, Path, Tenant, Body string
	Header                 http.Header
	LastEvent              string
	Left                   time.Duration
	At                     time.Time
	// Cancelled is set once the caller left before the end.
	Cancelled bool
}

// groupState is a worker's membership as its entry tells it.
type groupState struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// entry is a worker's row in the store.
type entry struct {
	Service string      `json:"backend"`
	Address string      `json:"address"`
	Zone    string      `json:"zone"`
	Domain  string      `json:"domain"`
	Slots   int         `json:"slots"`
	State   string      `json:"state"`
	ColdMs  float64     `json:"coldLeftMs,omitempty"`
	Staged  []string    `json:"staged,omitempty"`
	Group   *groupState `json:"group,omitempty"`
}

// Times of the workers: loads and events are much quicker than real ones.
const (
	joinTime = 30 * time.Millisecond
	// lateJoin is added for each rank, so that the head is ready long before the rest.
	lateJoin  = 600 * time.Millisecond
	eventTime = 15 * time.Millisecond
	events    = 8
)

// Worker is one worker.
type Worker struct {
	id      string
	service string
	domain  string
	hall    string
	store   *Store
	server  *httptest.Server

	mu       sync.Mutex
	fault    Fault
	draining bool
	staged   []string
	group    *groupState
	members  []string
	model    string // of the last group
	epoch    uint64 // highest seen
	fence    uint64 // highest fencing token seen
	orders   []string
	runs     []*Run
	released chan struct{} // closed when a stall ends
	// coldUntil is until when the worker bears little.
	coldUntil time.Time
	// limit is the limit that the worker names in its answers, "" if none.
	limit string
	// pause is for how long the worker wants no request of a daemon that it turns away, 0 if
	// it turns none away.
	pause time.Duration
	// leaving tells that the worker says in its answers that it leaves.
	leaving bool
	// crashBody is the body of the request under which the worker ends, and onCrash what
	// runs then.
	crashBody string
	onCrash   func()
	crashed   bool
}

// NewWorker starts a worker whose entry is in the store, and returns it with a
// function that kills it; its entry stays.
func NewWorker(store *Store, id, service, domain string) (*Worker, func()) {
	return NewWorkerIn(store, id, service, domain, firstHall)
}

// firstHall is the hall of daemons, and of workers where nobody says.
const firstHall = "z1"

// NewWorkerIn is NewWorker for a hall.
func NewWorkerIn(store *Store, id, service, domain, hall string) (*Worker, func()) {
	w := &Worker{id: id, service: service, domain: domain, hall: hall, store: store, released: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", w.serveOrder)
	mux.HandleFunc("GET /report", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", w.serve)
	w.server = httptest.NewServer(mux)
	w.publish()
	return w, w.Kill
}

// Kill ends the worker without a word.
func (w *Worker) Kill() {
	w.mu.Lock()
	select {
	case <-w.released:
	default:
		close(w.released)
	}
	if w.group != nil && w.group.Rank == 0 {
		w.store.judge.setOpen(w.group, false)
	}
	w.mu.Unlock()
	w.server.CloseClientConnections()
	w.server.Close()
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }

// SetFault begins or ends a fault.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetCrash has the worker end when it begins a request with a body, and onCrash run then.
func (w *Worker) SetCrash(body string, onCrash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashBody = body
	w.onCrash = onCrash
}

// Crashed tells whether the worker has ended under a request.
func (w *Worker) Crashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

func (w *Worker) has(f Fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault == f
}

// Drain announces that the worker leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.publish()
}

// SetCold has the worker be cold for a while, as if it had just started.
func (w *Worker) SetCold(d time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(d)
	w.mu.Unlock()
	w.publish()
}

// SetLimit has the worker name a limit in its answers, in requests a second from all daemons
// together. 0 ends that.
func (w *Worker) SetLimit(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = ""
	if rate > 0 {
		w.limit = strconv.FormatFloat(rate, 'f', -1, 64)
	}
	w.store.judge.setLimit(w.id, rate)
}

// SetPause has the worker turn requests away and ask for a pause. 0 ends that.
func (w *Worker) SetPause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = d
}

// SetLeaving has the worker say in its answers that it leaves, and not in its entry.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []Run
	for _, r := range w.runs {
		runs = append(runs, *r)
	}
	return runs
}

// SetFence has the worker have seen a fencing token, as if a later holder of the lease
// had ordered something.
func (w *Worker) SetFence(token uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fence = token
}

// Fence returns the highest fencing token that the worker has seen, 0 if none.
func (w *Worker) Fence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// Orders returns the orders that the worker took, as "op group/epoch".
func (w *Worker) Orders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// GroupState returns the worker's state in its group, "" if it is in none.
func (w *Worker) GroupState() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.group == nil {
		return ""
	}
	return w.group.State
}

// publish writes the worker's entry.
func (w *Worker) publish() {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return
	}
	e := entry{
		Service: w.service,
		Address: w.server.Listener.Addr().String(),
		Zone:    w.hall,
		Domain:  w.domain,
		Slots:   4,
		State:   "ready",
		ColdMs:  max(0, float64(time.Until(w.coldUntil).Milliseconds())),
		Staged:  slices.Clone(w.staged),
	}
	if w.draining {
		e.State = "draining"
	}
	if w.group != nil {
		group := *w.group
		e.Group = &group
	}
	w.mu.Unlock()
	w.store.Put("servers", w.id, e)
}

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"modelId"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fencingToken"`
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(headerExpect) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	status := http.StatusPreconditionFailed
	if o.Fence >= w.fence {
		w.fence = o.Fence
		status = w.take(o)
	}
	w.orders = append(w.orders, fmt.Sprintf("%s %s/%d %d", o.Op, o.Group, o.Epoch, status))
	w.mu.Unlock()
	w.publish()
	rw.WriteHeader(status)
}

// take carries out an order. The lock is held.
func (w *Worker) take(o order) int {
	switch o.Op {
	case "phase":
		w.staged = []string{o.Model}
		w.store.judge.load()
		return http.StatusAccepted
	case "join":
		return w.join(o)
	}
	if w.group == nil || w.group.Name != o.Group || w.group.Epoch != o.Epoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "leave":
		w.store.judge.setOpen(w.group, w.group.Rank != 0 && w.store.judge.isOpen(w.group))
		w.group = nil
	case "open":
		if w.group.State != "ready" {
			return http.StatusConflict
		}
		w.group.State = "open"
		w.store.judge.setOpen(w.group, true)
	case "close":
		w.group.State = "ready"
		w.store.judge.setOpen(w.group, false)
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (w *Worker) join(o order) int {
	if o.Epoch < w.epoch {
		return http.StatusPreconditionFailed
	}
	if w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch {
		if slices.Equal(w.members, o.Members) {
			return http.StatusOK
		}
		return http.StatusPreconditionFailed
	}
	w.store.judge.joins(w.id, w.group, o.Group)
	if w.model != o.Model && !slices.Contains(w.staged, o.Model) {
		w.store.judge.load()
	}
	w.epoch = o.Epoch
	w.model = o.Model
	w.members = o.Members
	group := &groupState{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.id), State: "joining"}
	w.group = group
	w.staged = []string{o.Model}
	time.AfterFunc(joinTime+time.Duration(group.Rank)*lateJoin, func() {
		w.mu.Lock()
		current := w.group == group && group.State == "joining"
		if current {
			group.State = "ready"
			w.store.judge.becameReady(w.id, group, o.Members)
		}
		w.mu.Unlock()
		if current {
			w.publish()
		}
	})
	return http.StatusAccepted
}
