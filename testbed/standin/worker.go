package standin

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Names of headers that workers read and write.
const (
	headerAttemptID      = "X-Pointpass-Attempt-Id"
	headerParts          = "X-Pointpass-Prefix-Hash"
	headerExpectInstance = "X-Pointpass-Expect-Instance"
	headerDeadline       = "X-Pointpass-Deadline-Ms"
	headerNotExecuted    = "X-Pointpass-Not-Executed"
	headerSignature      = "X-Pointpass-Response-Signature"
	headerTenant         = "X-Pointpass-Tenant"
	headerLimit          = "Server-Limit"
	headerLeaving        = "Server-Leaving"
)

// Fault is a way in which a worker misbehaves.
type Fault int

const (
	// Healthy is the normal operation.
	Healthy Fault = iota
	// Full rejects every request as not executed.
	Full
	// DropsResponses runs requests and aborts the connection without a response.
	DropsResponses
	// Fails runs requests and answers 500.
	Fails
	// Stalls accepts requests and sends nothing.
	Stalls
	// CutsStream ends the connection within the third event of a stream.
	CutsStream
	// StopsMidStream sends the first two events of a stream and nothing more.
	StopsMidStream
	// PausesMidStream sends the first two events of a stream, and the rest once the fault ends.
	PausesMidStream
	// WrongID answers with the ID of another request.
	WrongID
	// Unsigned answers without a signature, and Anonymous without the ID of the request either.
	Unsigned
	Anonymous
	// UnmarkedBusy answers 503 without the header that says that the request was not executed.
	UnmarkedBusy
)

// Run is a request that a worker started to run.
type Run struct {
	ID, Path, Tenant, Body string
	Header                 http.Header
	LastEvent              string
	TimeLeft               time.Duration
	At                     time.Time
	// Cancelled is set once the caller disconnected before the end.
	Cancelled bool
}

// Worker simulates a worker of the platform.
type Worker struct {
	id      string
	service string
	domain  string
	hall    string
	store   *Store
	server  *httptest.Server
	port    *port

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
	taken    int64 // orders that began something
	// sparseReport is set if the worker's report lacks its group and the number of its orders.
	sparseReport bool
	runs         []*Run
	killed       chan struct{} // closed by Kill
	// coldUntil is the end of the time in which the worker has reduced capacity.
	coldUntil time.Time
	// limit is the rate limit that the worker sets in its responses, "" for none.
	limit string
	// pause is the Retry-After that the worker sets when it rejects requests, 0 if it accepts
	// them.
	pause time.Duration
	// delay is how long the worker runs each plain request.
	delay time.Duration
	// leaving is set if the worker announces in its responses that it leaves.
	leaving bool
	// deadly selects the requests at which the worker crashes, nil for none. onCrash is called then.
	deadly  func(Run) bool
	onCrash func()
	crash   Crash
	crashed bool
	// spoil is how the worker spoils its answers. endless are the answers without end that have ended,
	// and endlessOpen counts those that haven't.
	spoil     Spoil
	cutHead   cutHead
	rawAnswer rawAnswer
	// early is the answer that is sent before a request's body was read, nil for none.
	early                       *Early
	earlyRequests, earlyAnswers int
	endless                     []Endless
	endlessOpen                 int
}

// NewWorker starts a worker with an entry in the store, and returns it with a function that
// kills it. The entry stays.
func NewWorker(store *Store, id, service, domain string) (*Worker, func()) {
	return NewWorkerIn(store, id, service, domain, firstHall)
}

// firstHall is the hall of the daemons, and of workers created by NewWorker.
const firstHall = "z1"

// NewWorkerIn is like NewWorker for a worker in a given hall.
func NewWorkerIn(store *Store, id, service, domain, hall string) (*Worker, func()) {
	w := &Worker{id: id, service: service, domain: domain, hall: hall, store: store, killed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", w.serveOrder)
	mux.HandleFunc("GET /report", w.serveReport)
	mux.HandleFunc("/", w.serve)
	w.server = httptest.NewUnstartedServer(mux)
	w.port = &port{Listener: w.server.Listener}
	w.server.Listener = w.port
	w.server.Config.ConnContext = withRequestCount
	w.server.Start()
	w.publish()
	return w, w.Kill
}

// Kill ends the worker abruptly, without an announcement.
func (w *Worker) Kill() {
	w.mu.Lock()
	select {
	case <-w.killed:
	default:
		close(w.killed)
	}
	if w.group != nil && w.group.Rank == 0 {
		w.store.checker.setOpen(w.group, false)
	}
	w.mu.Unlock()
	w.Resume()
	w.server.CloseClientConnections()
	w.server.Close()
}

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.id }

// SetFault sets the worker's fault. Healthy ends it.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetCrash makes the worker crash when it starts to run a request that deadly selects, and sets
// what is called then. Nil selects none.
func (w *Worker) SetCrash(deadly func(Run) bool, onCrash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly = deadly
	w.onCrash = onCrash
}

// Crashed reports whether a request has crashed the worker.
func (w *Worker) Crashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// hasFault reports whether f is the worker's current fault.
func (w *Worker) hasFault(f Fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault == f
}

// SetLimit makes the worker set a limit in its responses, in requests per second from all
// daemons together. 0 removes it.
func (w *Worker) SetLimit(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = ""
	if rate > 0 {
		w.limit = strconv.FormatFloat(rate, 'f', -1, 64)
	}
	w.store.checker.setLimit(w.id, rate)
}

// SetPause makes the worker reject requests and set a pause in Retry-After. 0 ends that.
func (w *Worker) SetPause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = d
}

// SetLeaving makes the worker announce in its responses, and not in its entry, that it leaves.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Runs returns the requests that the worker started to run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []Run
	for _, r := range w.runs {
		runs = append(runs, *r)
	}
	return runs
}
