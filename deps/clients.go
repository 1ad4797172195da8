package deps

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/twitchtv/twirp"
	"golang.org/x/sys/unix"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/common/memory"
	"github.com/pointpass/pointpass/connlimit"
)

// Shares of the process's memory, as divisors, that requests and connections may take.
const (
	requestMemoryShare    = 8
	connectionMemoryShare = 6
)

const (
	// defaultRequestMemory is the memory for requests, in bytes, where that of the process isn't known.
	defaultRequestMemory = 32 << 20
	// connectionBytes is the memory that a connection takes without a request: two goroutines and two buffers.
	connectionBytes = 24 << 10
)

// Shares of the process's descriptors that connections to its ports may take. The others are for workers, the
// store, other daemons and files. All daemons report to the one that holds the lease.
const (
	callersDescriptorShare = 0.30
	peersDescriptorShare   = 0.30
	othersDescriptorShare  = 0.05
	// minConns is the least number of connections to a port.
	minConns = 8
)

// Limits of clients before a configuration is known, and where it names none. The idle time is longer than that of
// other daemons' connections.
const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 30 * time.Second
)

// forwardedHeadBytes is how much longer than a caller's head that of a forwarded request may be.
const forwardedHeadBytes = 8 << 10

// allotment is how much of its machine a daemon may take.
type allotment struct {
	// memory returns a number of bytes, 0 if it isn't known, and descriptors a number of files and sockets, 0 if only the
	// system limits it.
	memory      func() int64
	descriptors func() int
}

// clientBounds bounds what the clients of all ports of a daemon can make it hold.
type clientBounds struct {
	allotment allotment
	log       *log.Logger
	metrics   *metrics.Set
	budget    *memory.Budget
	bodies    *connlimit.Bodies
	refusals  *refusalLog
	trackers  []*connlimit.Tracker
}

func newClientBounds(a allotment, set *metrics.Set, logger *log.Logger) *clientBounds {
	b := &clientBounds{allotment: a, log: logger, metrics: set}
	b.budget = memory.NewBudget(func() int64 { return requestMemory(a.memory()) }, clock.Now)
	b.refusals = newRefusalLog(b)
	b.bodies = connlimit.NewBodies(b.budget, b.refusals.counter("bodies"))
	set.NewGauge("pointpass_request_bytes", func() float64 { return float64(b.budget.Used()) })
	set.NewGauge("pointpass_requests_evicted_total", func() float64 { return float64(b.budget.Evictions()) })
	return b
}

// newTracker returns a tracker of the connections to a port, which get a share of the descriptors.
func (b *clientBounds) newTracker(port string, share float64, limits func() connlimit.Limits) *connlimit.Tracker {
	maxConns := func() int { return maxConnections(b.allotment.memory(), b.allotment.descriptors(), share) }
	t := connlimit.NewTracker(connlimit.Options{
		Budget:   b.budget,
		Limits:   limits,
		MaxConns: maxConns,
		Refused:  b.refusals.counter(port),
	})
	b.metrics.NewGauge(`pointpass_connections{port="`+port+`"}`, func() float64 { return float64(t.Len()) })
	b.metrics.NewGauge(`pointpass_connections_limit{port="`+port+`"}`, func() float64 { return float64(maxConns()) })
	b.trackers = append(b.trackers, t)
	return t
}

// Run closes connections that take too long until ctx ends.
func (b *clientBounds) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, t := range b.trackers {
		running.Go(func() { t.Run(ctx) })
	}
	running.Wait()
}

// boundCalls returns a handler that passes calls to next, a Twirp handler, once their bodies of at most limit bytes have arrived
// within a time and the memory for them.
func (b *clientBounds) boundCalls(next http.Handler, limit int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := b.bodies.Read(w, r, limit, timeout)
		if err != nil {
			twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, err.Error()))
			return
		}
		defer release()
		r.Body = io.NopCloser(body.NewReader())
		next.ServeHTTP(w, r)
	})
}

// StopBodies refuses the requests whose bodies haven't arrived.
func (b *clientBounds) StopBodies() { b.bodies.Stop() }

// connections returns the number of connections to all ports.
func (b *clientBounds) connections() int {
	n := 0
	for _, t := range b.trackers {
		n += t.Len()
	}
	return n
}

// Clients bounds what callers, other daemons and monitoring can make this daemon hold.
type Clients struct {
	*clientBounds
	// Callers, Peers and Others track the connections of callers, of other daemons, and those for readiness and
	// monitoring.
	Callers, Peers, Others *connlimit.Tracker

	edge *Edge
}

func newClients(e *Edge) *Clients {
	a := allotment{
		memory:      func() int64 { return e.settings.Current().Memory() },
		descriptors: func() int { return e.settings.Current().MaxDescriptors() },
	}
	c := &Clients{clientBounds: newClientBounds(a, e.Metrics, e.Log), edge: e}
	c.Callers = c.newTracker("callers", callersDescriptorShare, c.callerLimits)
	c.Peers = c.newTracker("peers", peersDescriptorShare, c.peerLimits)
	c.Others = c.newTracker("others", othersDescriptorShare, defaultLimits)
	return c
}

func defaultLimits() connlimit.Limits {
	return connlimit.Limits{HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
}

// peerLimits returns the limits of other daemons, which send on what callers may send.
func (c *Clients) peerLimits() connlimit.Limits {
	limits := defaultLimits()
	limits.HeadBytes = max(limits.HeadBytes, c.callerLimits().HeadBytes+forwardedHeadBytes)
	return limits
}

// callerLimits returns the limits of the configuration in force.
func (c *Clients) callerLimits() connlimit.Limits {
	limits := defaultLimits()
	catalog := c.edge.Catalogs.Current().Catalog
	if catalog == nil {
		return limits
	}
	configured := catalog.Limits()
	if configured.HeaderBytes > 0 {
		limits.HeadBytes = configured.HeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeadTimeout = configured.HeaderTimeout
	}
	if configured.IdleTime > 0 {
		limits.IdleTimeout = configured.IdleTime
	}
	return limits
}

func requestMemory(memory int64) int64 {
	if memory > 0 {
		return memory / requestMemoryShare
	}
	return defaultRequestMemory
}

// maxConnections returns how many connections may be open that get a share of the descriptors.
func maxConnections(memory int64, descriptors int, share float64) int {
	n := int(share * float64(maxDescriptors(descriptors)))
	if memory > 0 {
		n = min(n, int(memory/connectionMemoryShare/connectionBytes))
	}
	return max(n, minConns)
}

// maxDescriptors returns how many files and sockets the process may have open. allowed is 0 if only the system limits it.
func maxDescriptors(allowed int) int {
	n := math.MaxInt32
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		n = int(min(limit.Cur, uint64(n)))
	}
	if allowed > 0 {
		n = min(n, allowed)
	}
	return n
}

// refusalLogInterval is the minimum interval between two log lines about refused clients.
const refusalLogInterval = time.Second

// refusalLog counts refused clients, and logs their number. It is safe for concurrent use.
type refusalLog struct {
	bounds *clientBounds

	mu       sync.Mutex
	refused  map[refusalKind]int
	lastLine time.Time
	// scheduled is set while a line is due.
	scheduled bool
}

// refusalKind is where and why clients are refused.
type refusalKind struct {
	port   string
	reason connlimit.Reason
}

func newRefusalLog(b *clientBounds) *refusalLog {
	return &refusalLog{bounds: b, refused: map[refusalKind]int{}}
}

// counter returns a function that counts a refusal at a port.
func (l *refusalLog) counter(port string) func(connlimit.Reason) {
	counters := map[connlimit.Reason]*metrics.Counter{}
	for _, r := range connlimit.Reasons() {
		counters[r] = l.bounds.metrics.NewCounter(`pointpass_clients_refused_total{port="` + port + `",reason="` + string(r) + `"}`)
	}
	return func(r connlimit.Reason) {
		counters[r].Inc()
		l.add(refusalKind{port, r})
	}
}

func (l *refusalLog) add(k refusalKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[k]++
	if l.scheduled {
		return
	}
	l.scheduled = true
	time.AfterFunc(max(refusalLogInterval-time.Since(l.lastLine), 0), l.flush)
}

// flush logs what was counted since the last line.
func (l *refusalLog) flush() {
	l.mu.Lock()
	refused := l.refused
	l.refused = map[refusalKind]int{}
	l.scheduled = false
	l.lastLine = time.Now()
	l.mu.Unlock()
	for k, n := range refused {
		l.bounds.log.Warn().Str("event", "clients_refused").Str("port", k.port).Str("reason", string(k.reason)).Int("refused", n).
			Int64("request_bytes", l.bounds.budget.Used()).Int("connections", l.bounds.connections()).Msg("")
	}
}
