package serving

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// Options wires a server.
type Options struct {
	Catalogs *catalog.Holder
	Workers  func() *workers.View
	Upstream Upstream
	Balancer *Balancer
	// Placement decides where requests may run.
	Placement Placement
	// Settle waits until what Placement knows is up to date again after this process
	// stood still.
	Settle   func(ctx context.Context)
	Counters *Counters
	// Guard knows requests again that crash workers.
	Guard *quarantine.Guard
	// Crashes is told of answers that broke off.
	Crashes Crashes
	// Asks is told what workers ask for in their answers.
	Asks Asks
	// Evidence says what may be decided on how old evidence. It may change at any time.
	Evidence func() catalog.EvidencePolicy
	// Allowance returns this process's part of the retries for a service.
	Allowance func() retry.Allowance
	// Suspect is told each group that fails a request.
	Suspect func(group string, failure Failure)
	// Asked is told the work that each request asks of a model, also if it is refused.
	Asked func(m load.Model, work time.Duration)
	// Part returns this process's part of what callers ask of a model, and how much all of
	// them ask, false if that isn't known.
	Part func(m load.Model) (part, asked float64, known bool)
	// HallLoad returns how much callers ask of a model's groups in this process's data hall
	// and elsewhere, in groups kept busy, false if it isn't known. Nil stands for unknown.
	HallLoad func(service, model string) (here, elsewhere float64, known bool)
	// SameRegion tells whether a data hall is in this process's region. Nil stands for all.
	SameRegion func(hall string) bool
	// Informed tells whether warnings of other daemons about groups come in.
	Informed func() bool
	// FirstUse is told once, when the first request comes.
	FirstUse func()
	// MostRequests is how many requests may be under way.
	MostRequests int64
	Now          func() time.Time
	Log          *log.Logger
}

// Placement decides where requests may run.
type Placement interface {
	// Judge says whether a request may be planned for a worker.
	Judge(r placement.Request, w workers.Worker) placement.Verdict
	// Send says whether a request may be sent to a worker at this moment, and counts it
	// where what the worker gets is bounded.
	Send(r placement.Request, w workers.Worker) placement.Verdict
}

// Asks keeps what workers ask for in their answers.
type Asks interface {
	// Heard takes in the head of an answer.
	Heard(a throttle.Answer)
}

// Server serves requests.
type Server struct {
	opts     Options
	underWay atomic.Int64
	stopping atomic.Bool
	used     sync.Once
	watches  watches

	mu      sync.Mutex
	budgets map[string]*retry.Window
	windows map[load.Model]*admission.Window
	// unknownHalls are the halls without a region that were logged.
	unknownHalls map[string]bool
}

// NewServer returns a server.
func NewServer(opts Options) *Server {
	return &Server{
		opts:         opts,
		budgets:      map[string]*retry.Window{},
		windows:      map[load.Model]*admission.Window{},
		unknownHalls: map[string]bool{},
	}
}

// Stop makes the server ask callers to leave after their present request.
func (s *Server) Stop() { s.stopping.Store(true) }

// UnderWay returns how many requests are being served.
func (s *Server) UnderWay() int64 { return s.underWay.Load() }

// Waits named by refusals.
const (
	settingsRetry = 300 * time.Millisecond
	fullRetry     = 250 * time.Millisecond
	absentRetry   = 400 * time.Millisecond
)

// Serve answers a request. It panics with http.ErrAbortHandler where an answer
// that has begun can't be brought to its end.
func (s *Server) Serve(w http.ResponseWriter, r *http.Request, req *Request) {
	s.used.Do(s.opts.FirstUse)
	count := s.underWay.Add(1)
	defer s.underWay.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{server: s, w: w, req: req, arrived: s.opts.Now(), lastEvent: req.LastEvent}
	fault := e.admit(count)
	if fault == nil {
		fault = e.serve(r.Context())
	}
	e.finish(r.Context(), fault)
}

// Refuse answers a request that was not looked at.
func (s *Server) Refuse(w http.ResponseWriter, status int, reason string) {
	writeFault(w, &fault{status: status, reason: reason})
}

// budget returns the retry budget of a service.
func (s *Server) budget(service string) *retry.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewWindow(s.opts.Allowance().Window)
		s.budgets[service] = b
	}
	return b
}

// spend counts a retry for a service, and tells whether there was room for it.
func (s *Server) spend(service string, now time.Time) bool {
	return s.budget(service).Spend(now, s.opts.Allowance())
}

// hasRetry tells whether there is room for a retry for a service.
func (s *Server) hasRetry(service string, now time.Time) bool {
	return s.budget(service).Room(now, s.opts.Allowance())
}

// fault is an answer of our own.
type fault struct {
	status int
	reason string
	// retryAfter is when to come back, 0 to say nothing.
	retryAfter time.Duration
	// aborted tells that the answer has begun and can only be broken off.
	aborted bool
}

func writeFault(w http.ResponseWriter, f *fault) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(f.reason)+1))
	w.WriteHeader(f.status)
	w.Write([]byte(f.reason + "\n"))
}

// admit finds the route, customer and service of a request, or the reason why it
// is refused.
func (e *exchange) admit(underWay int64) *fault {
	s := e.server
	e.inForce = s.opts.Catalogs.Current()
	c := e.inForce.Catalog
	if c == nil {
		return &fault{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", retryAfter: settingsRetry}
	}
	if underWay > s.opts.MostRequests {
		return &fault{status: http.StatusServiceUnavailable, reason: "too many requests are under way here", retryAfter: fullRetry}
	}
	route, found := c.Route(e.req.Host, e.req.Path)
	if f := e.judge(s.opts.Evidence().Route(found, e.age()), routeAnswers); f != nil {
		return f
	}
	e.route = route
	if !route.Public && c.NeedsCredential() {
		customer, known := c.Customer(e.req.Credential)
		if f := e.judge(s.opts.Evidence().Credential(known, e.age()), keyAnswers); f != nil {
			return f
		}
		e.customer = customer
	}
	service, known := c.Service(route.ServiceFor(rand.Float64()))
	if !known {
		return &fault{status: http.StatusServiceUnavailable, reason: "the route's service is not in the configuration", retryAfter: absentRetry}
	}
	e.service = service
	e.deadline = e.arrived.Add(allowed(e.req.Wait, route.Timeout))
	s.budget(service.Name).Request(e.arrived)
	return nil
}

// longest is how long a request may take where nobody says.
const longest = time.Minute

func allowed(wait, timeout time.Duration) time.Duration {
	d := longest
	if wait > 0 {
		d = min(d, wait)
	}
	if timeout > 0 {
		d = min(d, timeout)
	}
	return d
}
