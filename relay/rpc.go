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

	"github.com/pointpass/pointpass/common/conns"
	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// Bounds of calls between daemons.
const (
	callTimeout     = 500 * time.Millisecond
	reportTimeout   = 300 * time.Millisecond
	maxWait         = 2 * time.Second
	idleConns       = 2
	idleConnTimeout = 20 * time.Second
)

// Server serves other daemons. It implements rpc.Relay.
type Server struct {
	caches      map[string]*Cache
	compressors map[string]*compressor
	handler     ReportHandler
	now         func() time.Time
}

// ReportHandler handles reports of other daemons.
type ReportHandler interface {
	// Suspect handles a report that a group fails requests.
	Suspect(r Report)
	// Begun handles a report that some daemon is serving clients.
	Begun()
	// Load handles a daemon's report of the work that its clients and those of the daemons
	// that report to it request, and of the limits that it has seen. It returns this
	// daemon's sum over all daemons.
	Load(reporter string, r LoadReport) LoadReport
	// Enlist writes the row that announces a daemon.
	Enlist(ctx context.Context, name string, row []byte) error
	// Crashes handles a report of worker crashes.
	Crashes(r CrashReport)
}

// Report is a daemon's observation of a group that failed a request.
type Report struct {
	Group string
	// Reporter is the daemon's name.
	Reporter string
	Sign     Sign
}

// Sign is the kind of an observation of a group.
type Sign int

const (
	// Lost means that a single answer was lost, which also happens to healthy groups.
	Lost Sign = iota
	// Silent means that streams stalled or that the group is unreachable.
	Silent
	// Alive means that the group has just sent data, contrary to reports of others.
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

// NewServer returns a server of the given tables that passes reports to handler.
func NewServer(handler ReportHandler, now func() time.Time, caches ...*Cache) *Server {
	s := &Server{caches: map[string]*Cache{}, compressors: map[string]*compressor{}, handler: handler, now: now}
	for _, c := range caches {
		s.caches[c.table] = c
		s.compressors[c.table] = &compressor{}
	}
	return s
}

// Changes returns the changes of a table.
func (s *Server) Changes(ctx context.Context, m *rpc.ChangesRequest) (*rpc.ChangesReply, error) {
	received := s.now()
	cache, ok := s.caches[m.Table]
	if !ok {
		return nil, twirp.NotFoundError("no such table")
	}
	snapshot, err := read(ctx, cache, m)
	if err != nil {
		return nil, toTwirpError(err)
	}
	reply := &rpc.ChangesReply{
		Version:    snapshot.At.Version(),
		Era:        snapshot.At.Era(),
		ClockUs:    snapshot.Clock.Microseconds(),
		EvidenceUs: snapshot.Evidence.Sub(received).Microseconds() - 1, // rounded towards older
		Gap:        snapshot.Gap,
	}
	s.compressors[m.Table].setRows(reply, sincePosition(m), snapshot)
	return reply, nil
}

func read(ctx context.Context, cache *Cache, m *rpc.ChangesRequest) (store.Snapshot, error) {
	wait := min(units.Millis(m.WaitMs), maxWait)
	since := sincePosition(m)
	if !since.IsSet() {
		return cache.WaitRows(ctx, wait)
	}
	return cache.Changes(ctx, since, wait)
}

func sincePosition(m *rpc.ChangesRequest) store.Position { return store.At(m.Era, m.Since) }

// metaEra is the key of the current era in the metadata of an OutOfRange error.
const metaEra = "era"

func toTwirpError(err error) error {
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

// Suspect handles a report that a group fails requests elsewhere.
func (s *Server) Suspect(_ context.Context, m *rpc.SuspectRequest) (*rpc.SuspectReply, error) {
	if err := checkNames(m.Reporter, m.Group); err != nil {
		return nil, err
	}
	s.handler.Suspect(Report{Group: m.Group, Reporter: m.Reporter, Sign: Sign(m.Sign)})
	return &rpc.SuspectReply{}, nil
}

// Begun handles a report that clients are being served.
func (s *Server) Begun(context.Context, *rpc.BegunRequest) (*rpc.BegunReply, error) {
	s.handler.Begun()
	return &rpc.BegunReply{}, nil
}

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	http *http.Client
	now  func() time.Time
	// reportTimeout bounds the call of a report.
	reportTimeout time.Duration

	mu    sync.Mutex
	stubs map[string]rpc.Relay
}

// NewClient returns a client that opens connections with dialer. The returned function
// closes idle ones.
func NewClient(dialer *net.Dialer, now func() time.Time) (*Client, func()) {
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxReplyHeadBytes,
		DisableCompression:     true,
	}
	c := &Client{http: &http.Client{Transport: boundedTransport{conns.Checked(transport)}}, now: now, reportTimeout: reportTimeout, stubs: map[string]rpc.Relay{}}
	return c, transport.CloseIdleConnections
}

func (c *Client) stub(addr string) rpc.Relay {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		if len(c.stubs) >= maxAddresses {
			clear(c.stubs)
		}
		stub = rpc.NewRelayProtobufClient("http://"+addr, c.http)
		c.stubs[addr] = stub
	}
	return stub
}

// Changes queries one daemon for changes. Its evidence is dated relative to when this call
// was sent: the other daemon received the call later, so the evidence is never dated too
// young.
func (c *Client) Changes(ctx context.Context, addr, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	wait = min(wait, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	sent := c.now()
	reply, err := c.stub(addr).Changes(ctx, &rpc.ChangesRequest{Table: table, Since: since.Version(), Era: since.Era(), WaitMs: wait.Milliseconds()})
	if err != nil {
		return store.Snapshot{}, fromTwirpError(addr, table, err)
	}
	rows, err := rowsFromReply(reply)
	if err != nil {
		return store.Snapshot{}, &CallError{Addr: addr, Err: err}
	}
	return store.Snapshot{
		Rows:     rows,
		At:       store.At(reply.Era, reply.Version),
		Clock:    units.Micros(reply.ClockUs),
		Evidence: earlier(sent.Add(units.Micros(reply.EvidenceUs)), c.now()),
		Gap:      reply.Gap,
	}, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fromTwirpError converts an error of a Changes call.
func fromTwirpError(addr, table string, err error) error {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		switch twirpErr.Code() {
		case twirp.OutOfRange:
			era, err := strconv.ParseUint(twirpErr.Meta(metaEra), 10, 64)
			if err != nil {
				era = 0 // sent by a daemon without eras
			}
			return &store.HistoryLostError{Table: table, Era: era}
		case twirp.FailedPrecondition:
			return &EmptyError{Table: table}
		}
	}
	return &CallError{Addr: addr, Err: err}
}

// Suspect reports to another daemon that a group fails requests.
func (c *Client) Suspect(ctx context.Context, addr string, r Report) error {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	if _, err := c.stub(addr).Suspect(ctx, &rpc.SuspectRequest{Group: r.Group, Reporter: r.Reporter, Sign: rpc.Sign(r.Sign)}); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}

// Begun reports to another daemon that clients are being served.
func (c *Client) Begun(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	if _, err := c.stub(addr).Begun(ctx, &rpc.BegunRequest{}); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}

// CallError reports that a call to another daemon failed.
type CallError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return "daemon at " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// isBusy reports whether a call failed because the other daemon refused it, which says so by status 503.
func isBusy(err error) bool {
	var twirpErr twirp.Error
	return errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unavailable
}

// TooLongError reports that another daemon's answer exceeds the size limit.
type TooLongError struct{ Bytes int }

// Error implements error.
func (e *TooLongError) Error() string {
	return "an answer of " + strconv.Itoa(e.Bytes) + " bytes is too long"
}
