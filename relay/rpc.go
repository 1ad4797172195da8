package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// Bounds of calls between daemons.
const (
	callTimeout   = 500 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
	mostWait      = 2 * time.Second
	idleConns     = 2
	idleTime      = 20 * time.Second
)

// Server answers other daemons. It implements rpc.Relay.
type Server struct {
	caches  map[string]*Cache
	packers map[string]*packer
	reports Reports
	now     func() time.Time
}

// Reports takes in what other daemons report.
type Reports interface {
	// Suspect takes in that a group fails requests at a daemon.
	Suspect(r Report)
	// Begun takes in that callers are being served somewhere.
	Begun()
	// Load takes in what callers ask for at a daemon and at those that tell it, and the
	// limits that it knows of. It returns what is known of all daemons here.
	Load(reporter string, r LoadReport) LoadReport
	// Enlist writes the row by which a daemon announces itself.
	Enlist(ctx context.Context, name string, row []byte) error
	// Crashes takes in which workers crashed at a daemon.
	Crashes(r CrashReport)
}

// Report is what a daemon found of a group that failed a request.
type Report struct {
	Group string
	// Reporter is the daemon's name.
	Reporter string
	Sign     Sign
}

// Sign is what a daemon saw of a group.
type Sign int

const (
	// Lost tells that a single answer was lost, which happens to sound groups too.
	Lost Sign = iota
	// Silent tells that streams fell silent or that the group can't be reached.
	Silent
	// Alive tells that the group has sent something just now, against the word of
	// others.
	Alive
)

// String returns the sign's name in logs.
func (s Sign) String() string {
	names := [...]string{"lost", "silent", "alive"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// NewServer returns a server of some tables that tells reports what others report.
func NewServer(reports Reports, now func() time.Time, caches ...*Cache) *Server {
	s := &Server{caches: map[string]*Cache{}, packers: map[string]*packer{}, reports: reports, now: now}
	for _, c := range caches {
		s.caches[c.table] = c
		s.packers[c.table] = &packer{}
	}
	return s
}

// Changes returns what has changed in a table.
func (s *Server) Changes(ctx context.Context, m *rpc.ChangesRequest) (*rpc.ChangesReply, error) {
	arrived := s.now()
	cache, ok := s.caches[m.Table]
	if !ok {
		return nil, twirp.NotFoundError("no such table")
	}
	snapshot, err := read(ctx, cache, m)
	if err != nil {
		return nil, asTwirp(err)
	}
	reply := &rpc.ChangesReply{
		Version:    snapshot.At.Version(),
		Era:        snapshot.At.Era(),
		ClockUs:    snapshot.Clock.Microseconds(),
		EvidenceUs: snapshot.Evidence.Sub(arrived).Microseconds() - 1, // rounded towards older
		Gap:        snapshot.Gap,
	}
	s.packers[m.Table].fill(reply, sinceOf(m), snapshot)
	return reply, nil
}

func read(ctx context.Context, cache *Cache, m *rpc.ChangesRequest) (store.Snapshot, error) {
	wait := min(time.Duration(m.WaitMs)*time.Millisecond, mostWait)
	since := sinceOf(m)
	if !since.Known() {
		return cache.First(ctx, wait)
	}
	return cache.Changes(ctx, since, wait)
}

func sinceOf(m *rpc.ChangesRequest) store.Position { return store.At(m.Era, m.Since) }

// metaEra names what an answer that history is lost tells of the present era.
const metaEra = "era"

func asTwirp(err error) error {
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		return twirp.NewError(twirp.OutOfRange, err.Error()).WithMeta(metaEra, strconv.FormatUint(lost.Era, 10))
	}
	var empty *EmptyError
	if errors.As(err, &empty) {
		return twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// Suspect takes in that a group fails requests elsewhere.
func (s *Server) Suspect(_ context.Context, m *rpc.SuspectRequest) (*rpc.SuspectReply, error) {
	s.reports.Suspect(Report{Group: m.Group, Reporter: m.Reporter, Sign: Sign(m.Sign)})
	return &rpc.SuspectReply{}, nil
}

// Begun takes in that callers are being served.
func (s *Server) Begun(context.Context, *rpc.BegunRequest) (*rpc.BegunReply, error) {
	s.reports.Begun()
	return &rpc.BegunReply{}, nil
}

// Client asks other daemons. It is safe for use by many goroutines.
type Client struct {
	http *http.Client
	now  func() time.Time
	// reportTimeout bounds a report.
	reportTimeout time.Duration

	mu    sync.Mutex
	stubs map[string]rpc.Relay
}

// NewClient returns a client that opens connections with dialer. The function
// returned closes them.
func NewClient(dialer *net.Dialer, now func() time.Time) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}
	c := &Client{http: &http.Client{Transport: transport}, now: now, reportTimeout: reportTimeout, stubs: map[string]rpc.Relay{}}
	return c, transport.CloseIdleConnections
}

func (c *Client) stub(addr string) rpc.Relay {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		stub = rpc.NewRelayProtobufClient("http://"+addr, c.http)
		c.stubs[addr] = stub
	}
	return stub
}

// Changes asks one daemon what has changed. The evidence is dated by when this call
// was sent: the other daemon received it later, so that its evidence is not older
// than that.
func (c *Client) Changes(ctx context.Context, addr, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	wait = min(wait, mostWait)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	sent := c.now()
	reply, err := c.stub(addr).Changes(ctx, &rpc.ChangesRequest{Table: table, Since: since.Version(), Era: since.Era(), WaitMs: wait.Milliseconds()})
	if err != nil {
		return store.Snapshot{}, fromTwirp(addr, table, err)
	}
	rows, err := rowsOf(reply)
	if err != nil {
		return store.Snapshot{}, &CallError{Addr: addr, Err: err}
	}
	return store.Snapshot{
		Rows:     rows,
		At:       store.At(reply.Era, reply.Version),
		Clock:    time.Duration(reply.ClockUs) * time.Microsecond,
		Evidence: sent.Add(time.Duration(reply.EvidenceUs) * time.Microsecond),
		Gap:      reply.Gap,
	}, nil
}

// fromTwirp turns the error of a question about a table back.
func fromTwirp(addr, table string, err error) error {
	var failed twirp.Error
	if errors.As(err, &failed) {
		switch failed.Code() {
		case twirp.OutOfRange:
			era, err := strconv.ParseUint(failed.Meta(metaEra), 10, 64)
			if err != nil {
				era = 0 // a daemon that doesn't tell it
			}
			return &store.HistoryLostError{Table: table, Era: era}
		case twirp.FailedPrecondition:
			return &EmptyError{Table: table}
		}
	}
	return &CallError{Addr: addr, Err: err}
}

// Suspect tells another daemon that a group fails requests.
func (c *Client) Suspect(ctx context.Context, addr string, r Report) error {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	if _, err := c.stub(addr).Suspect(ctx, &rpc.SuspectRequest{Group: r.Group, Reporter: r.Reporter, Sign: rpc.Sign(r.Sign)}); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}

// Begun tells another daemon that callers are being served.
func (c *Client) Begun(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	if _, err := c.stub(addr).Begun(ctx, &rpc.BegunRequest{}); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}

// CallError tells that another daemon did not answer.
type CallError struct {
	Addr string
	Err  error
}

// Error describes the error.
func (e *CallError) Error() string { return "daemon at " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// TooLongError tells that an answer of another daemon would be longer than any is.
type TooLongError struct{ Bytes int }

// Error describes the error.
func (e *TooLongError) Error() string {
	return "an answer of " + strconv.Itoa(e.Bytes) + " bytes is too long"
}
