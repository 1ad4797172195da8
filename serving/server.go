package serving

import (
	"context"
	"maps"
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

// Options are the dependencies and limits of a server.
type Options struct {
	Catalogs *catalog.Holder
	Workers  func() *workers.View
	Upstream Upstream
	Balancer *Balancer
	// Placement decides where requests may run.
	Placement Placement
	// WaitFresh waits until Placement is up to date again after this process stalled.
	WaitFresh func(ctx context.Context)
	Counters  *Counters
	// Guard recognizes requests that crash workers.
	Guard *quarantine.Guard
	// Crashes receives the answers that broke off.
	Crashes CrashReporter
	// AnswerObserver receives the backpressure that workers signal in their answers.
	AnswerObserver AnswerObserver
	// Evidence returns the policy that decides which requests old evidence may admit or deny.
	// It may change at any time.
	Evidence func() catalog.EvidencePolicy
	// Allowance returns this process's share of the retries for a service.
	Allowance func() retry.Allowance
	// Reach tracks whether workers can be reached.
	Reach Reach
	// Forwarder sends requests to peers while workers can't be reached.
	Forwarder Forwarder
	// Suspect is called with each group that fails a request.
	Suspect func(group string, failure Failure)
	// RecordDemand is called with the work that each request demands of a model, also if the
	// request is refused.
	RecordDemand func(m load.Model, work time.Duration)
	// DemandShare returns this process's share of the demand for a model, and the total
	// demand, false if they are unknown.
	DemandShare func(m load.Model) (share, demand float64, known bool)
	// HallDemand returns the demand for a model in this process's data hall and in the others,
	// in busy groups, false if it is unknown. Nil means that it is unknown.
	HallDemand func(service, model string) (local, remote float64, known bool)
	// SameRegion reports whether a data hall is in this process's region. Nil means that all
	// are.
	SameRegion func(hall string) bool
	// ReceivesWarnings reports whether other daemons' warnings about groups are received.
	ReceivesWarnings func() bool
	// OnFirstRequest is called once, when the first request arrives.
	OnFirstRequest func()
	// MaxRequests is how many requests may be in flight.
	MaxRequests int64
	// AnswerMemory returns how many bytes the answers may take that are read to their end before they are
	// passed on. Nil means DefaultAnswerMemory.
	AnswerMemory func() int64
	Now          func() time.Time
	Log          *log.Logger
}

// Placement decides where requests may run.
type Placement interface {
	// Check reports whether a request may be planned for a worker.
	Check(r placement.Request, w workers.Worker) placement.Verdict
	// Admit reports whether a request may be sent to a worker now, and counts it against the
	// worker's limits.
	Admit(r placement.Request, w workers.Worker) placement.Verdict
	// Read records that a worker's process runs, or has ended: what was sent to it before is read by now, or never.
	Read(w workers.Worker)
}

// AnswerObserver tracks the backpressure that workers signal in their answers.
type AnswerObserver interface {
	// Observe records the head of an answer.
	Observe(a throttle.Answer)
}

// Reach tracks whether workers can be reached.
type Reach interface {
	// Answered records that a worker sent something.
	Answered(w workers.Worker)
	// Failed records that a connection to a worker couldn't be opened, or was lost without a sign
	// of life.
	Failed(w workers.Worker)
	// Cut reports whether no connection to a service's workers can be opened, and Silenced whether
	// these also send nothing on older ones.
	Cut(service string) bool
	Silenced(service string) bool
}

// Server sends requests to workers and relays their answers.
type Server struct {
	opts     Options
	inFlight atomic.Int64
	stopping atomic.Bool
	closed   atomic.Bool
	// ending ends with end, by GiveUp.
	ending       context.Context
	end          context.CancelFunc
	firstRequest sync.Once
	watches      watches
	answers      *answerBuffers

	// unread are the sendings that workers may still read.
	unread *retry.Unread

	mu      sync.Mutex
	budgets map[string]*retry.Window
	windows map[load.Model]*admission.Window
	// unknownHalls are the halls without a region that were already logged.
	unknownHalls map[string]bool
}

// NewServer returns a server with the given options.
func NewServer(opts Options) *Server {
	memory := opts.AnswerMemory
	if memory == nil {
		memory = func() int64 { return DefaultAnswerMemory }
	}
	ending, end := context.WithCancel(context.Background())
	return &Server{
		ending:       ending,
		end:          end,
		answers:      newAnswerBuffers(memory),
		opts:         opts,
		unread:       retry.NewUnread(),
		budgets:      map[string]*retry.Window{},
		windows:      map[load.Model]*admission.Window{},
		unknownHalls: map[string]bool{},
	}
}

// Stop makes the server ask callers to close their connections after the current request.
func (s *Server) Stop() { s.stopping.Store(true) }

// Close makes the server refuse further requests. A connection that was accepted before may still
// bring some.
func (s *Server) Close() { s.closed.Store(true) }

// GiveUp ends the requests under way. Those without an answer get one that says whether they may have run.
func (s *Server) GiveUp() { s.end() }

// untilGivenUp returns a context that also ends with GiveUp, by errStopping, and a function that frees it.
func (s *Server) untilGivenUp(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.ending, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// AnswerBytes returns how many bytes the answers take that are read to their end before they are passed on.
func (s *Server) AnswerBytes() int64 { return s.answers.Used() }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Retry delays named in refusals.
const (
	configRetryDelay      = 300 * time.Millisecond
	busyRetryDelay        = 250 * time.Millisecond
	unavailableRetryDelay = 400 * time.Millisecond
	// stoppingRetryDelay is short, since other daemons serve the request at once.
	stoppingRetryDelay = 50 * time.Millisecond
)

// Serve answers a request. It panics with http.ErrAbortHandler if an answer has started and
// can't be completed.
func (s *Server) Serve(w http.ResponseWriter, r *http.Request, req *Request) {
	s.firstRequest.Do(s.opts.OnFirstRequest)
	count := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{server: s, w: w, req: req, arrived: s.opts.Now(), lastEvent: req.LastEvent}
	defer e.dropFailure()
	if s.closed.Load() {
		e.finish(r, stoppingFault())
		return
	}
	fault := e.admit(count)
	if fault == nil {
		ctx, cancel := s.untilGivenUp(r.Context())
		defer cancel()
		fault = e.serve(ctx)
	}
	e.finish(r, fault)
}

// Refuse answers a request that was not examined.
func (s *Server) Refuse(w http.ResponseWriter, status int, reason string) {
	f := &fault{status: status, reason: reason}
	if status == http.StatusServiceUnavailable {
		f.retryAfter = busyRetryDelay
	}
	writeFault(w, f)
}

// ReadTimeout returns how long the body of a request may take to arrive: later nobody waits for its answer.
func (s *Server) ReadTimeout(req *Request) time.Duration {
	var limit time.Duration
	if c := s.opts.Catalogs.Current().Catalog; c != nil {
		if route, found := c.Route(req.Host, req.Path); found {
			limit = route.Timeout
		}
	}
	return requestTimeout(req.Timeout, limit)
}

// maxBudgets is the number of retry budgets above which those of services are dropped that the
// configuration in force lacks.
const maxBudgets = 64

// budget returns the retry budget of a service.
func (s *Server) budget(service string) *retry.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		if len(s.budgets) >= maxBudgets {
			s.dropBudgets()
		}
		b = retry.NewWindow(s.opts.Allowance().Window)
		s.budgets[service] = b
	}
	return b
}

// dropBudgets drops the retry budgets of services that the configuration in force lacks. The caller
// holds the lock.
func (s *Server) dropBudgets() {
	c := s.opts.Catalogs.Current().Catalog
	if c == nil {
		return
	}
	maps.DeleteFunc(s.budgets, func(name string, _ *retry.Window) bool {
		_, known := c.Service(name)
		return !known
	})
}

// spendRetry counts a retry for a service, and reports whether the budget had room for it.
func (s *Server) spendRetry(service string, now time.Time) (*retry.Retry, bool) {
	return s.budget(service).Spend(now, s.opts.Allowance())
}

// hasRetry reports whether the retry budget of a service has room.
func (s *Server) hasRetry(service string, now time.Time) bool {
	return s.budget(service).Room(now, s.opts.Allowance())
}

// fault is a response that the server itself generates instead of a worker's answer.
type fault struct {
	status int
	reason string
	// retryAfter is the delay named to the caller, 0 to name none.
	retryAfter time.Duration
	// aborted is set if the answer has started and can only be broken off.
	aborted bool
}

// stoppingFault is the response to a request that hasn't run and won't, as this process stops.
func stoppingFault() *fault {
	return &fault{status: http.StatusServiceUnavailable, reason: errStopping.Error(), retryAfter: stoppingRetryDelay}
}

// retryAfterText returns a delay in seconds with three decimals, rounded up: who returns too early is refused again.
func retryAfterText(d time.Duration) string {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(ms)/1000, 'f', 3, 64)
}

func writeFault(w http.ResponseWriter, f *fault) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterText(f.retryAfter))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(f.reason)+1))
	w.WriteHeader(f.status)
	w.Write([]byte(f.reason + "\n"))
}

// admit looks up the route, customer and service of a request, or returns the reason for its
// refusal.
func (e *exchange) admit(inFlight int64) *fault {
	s := e.server
	e.inForce = s.opts.Catalogs.Current()
	c := e.inForce.Catalog
	if c == nil {
		return &fault{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", retryAfter: configRetryDelay}
	}
	if inFlight > s.opts.MaxRequests {
		return &fault{status: http.StatusServiceUnavailable, reason: "too many requests are under way here", retryAfter: busyRetryDelay}
	}
	route, found := c.Route(e.req.Host, e.req.Path)
	if f := e.checkEvidence(s.opts.Evidence().Route(found, e.age()), routeFaults); f != nil {
		return f
	}
	e.route = route
	if !route.Public && c.NeedsCredential() {
		customer, known := c.Customer(e.req.Credential)
		if f := e.checkEvidence(s.opts.Evidence().Credential(known, e.age()), credentialFaults); f != nil {
			return f
		}
		e.customer = customer
	}
	service, known := c.Service(route.ServiceFor(rand.Float64()))
	if !known {
		return &fault{status: http.StatusServiceUnavailable, reason: "the route's service is not in the configuration", retryAfter: unavailableRetryDelay}
	}
	e.service = service
	e.deadline = e.arrived.Add(requestTimeout(e.req.Timeout, route.Timeout))
	if e.forwardedBy == "" {
		s.budget(service.Name).Request(e.arrived)
	}
	return nil
}

// defaultTimeout applies to requests for which neither the caller nor the route sets a
// timeout.
const defaultTimeout = time.Minute

func requestTimeout(wait, timeout time.Duration) time.Duration {
	d := defaultTimeout
	if wait > 0 {
		d = min(d, wait)
	}
	if timeout > 0 {
		d = min(d, timeout)
	}
	return d
}
