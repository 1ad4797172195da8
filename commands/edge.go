package commands

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/drain"
	"github.com/pointpass/pointpass/common/jsonc"
	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/connlimit"
	"github.com/pointpass/pointpass/deps"
	"github.com/pointpass/pointpass/node"
	"github.com/pointpass/pointpass/quarantine"
)

const edgeUsage = `pointpassd edge serves callers on a platform that keeps its state in a store.

Usage:
  pointpassd edge                run with the settings that POINTPASS_CONFIG names
  pointpassd edge -config FILE   run with the settings in FILE
  pointpassd edge -check FILE    check FILE, report every error, and exit

Signals:
  SIGTERM, SIGINT                accept no new connections, finish requests in flight, exit
  SIGHUP                         reload the settings; a changed file is also reloaded
                                 without a signal

Exit codes: 0 success, 1 failure, 2 invalid usage
`

// configEnv is the environment variable that names the settings file if the flag
// -config is not given.
const configEnv = "POINTPASS_CONFIG"

// executeEdge runs pointpassd edge and returns its exit code.
func executeEdge(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("pointpassd edge", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, edgeUsage) }
	configFile := flags.String("config", os.Getenv(configEnv), "settings file")
	checkFile := flags.String("check", "", "settings file to check")
	if err := flags.Parse(args); err != nil {
		return usageCode(err)
	}
	if *checkFile != "" {
		_, err := node.Load(*checkFile)
		return reportCheck(*checkFile, err, stdout, stderr)
	}
	if *configFile == "" || flags.NArg() > 0 {
		flags.Usage()
		return exitUsage
	}
	ignoreBrokenPipes()
	reload, signals := make(chan os.Signal, 1), make(chan os.Signal, 1) // registered before the first read, so that none is missed
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	settings, err := openSettings(signals, stderr, func() (*node.Holder, error) { return node.Open(*configFile) })
	if err != nil && len(signals) > 0 {
		return exitOK // told to stop while it waited
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if err := runEdge(settings, reload, signals, stdout); err != nil {
		fmt.Fprintln(stderr, "pointpassd:", err)
		return exitFailed
	}
	return exitOK
}

// settingsTimeout bounds the wait for a settings file that is still being written.
const settingsTimeout = 10 * time.Second

// openSettings loads settings once their file is complete.
func openSettings[T any](signals <-chan os.Signal, stderr io.Writer, load func() (T, error)) (T, error) {
	starting, cancel := startContext(signals)
	defer cancel()
	ctx, cancelWait := context.WithTimeout(starting, settingsTimeout)
	defer cancelWait()
	return jsonc.AwaitComplete(ctx, load, func(err error) { fmt.Fprintln(stderr, "waiting for complete settings:", err) })
}

// newEdgeLogger returns a logger that never blocks: it drops lines while the queue of its writer is full.
func newEdgeLogger(settings *node.Settings, writer *droppingWriter) *log.Logger {
	logger := &log.Logger{Level: deps.LogLevel(settings), TimeFormat: time.RFC3339Nano, Writer: writer}
	logger.Context = log.NewContext(nil).Str("node", settings.Name()).Value()
	return logger
}

// edgeProcess is a running edge daemon with its HTTP servers.
type edgeProcess struct {
	edge          *deps.Edge
	settings      *node.Holder
	stopping      atomic.Bool
	callersServer *http.Server
	// callersListener accepts callers' connections, callers and peers track those of callers and of other
	// daemons.
	callersListener net.Listener
	callers, peers  *drain.Tracker
	auxServers      []*http.Server
	failed          chan error
	acceptErrors    *metrics.Counter
	acceptLogged    atomic.Int64 // Unix nanoseconds of the last line
}

func runEdge(settings *node.Holder, reload, signals <-chan os.Signal, stdout io.Writer) error {
	lines := newDroppingWriter(stdout)
	defer lines.Close()
	logger := newEdgeLogger(settings.Current(), lines)
	defer captureLibraryLog(logger)()
	edge, cleanUp := deps.NewEdge(settings, logger)
	defer cleanUp()
	edge.Metrics.NewGauge("pointpass_log_lines_dropped_total", func() float64 { return float64(lines.Dropped()) })
	edge.Metrics.NewGauge("pointpass_log_lines_failed_total", func() float64 { return float64(lines.Failed()) })
	p := &edgeProcess{edge: edge, settings: settings, callers: drain.NewTracker(), peers: drain.NewTracker(), failed: make(chan error, 4), acceptErrors: edge.Metrics.NewCounter("pointpass_accept_errors_total")}
	if err := p.start(signals); err != nil {
		if len(signals) > 0 {
			return nil // told to stop while it waited
		}
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go edge.Run(ctx)
	go node.Watch(ctx, settings, reload, edge.OnSettingsRead)
	started := settings.Current()
	logger.Info().Str("event", "started").Str("callers", started.CallersAddr()).Str("store", started.StoreAddr()).Str("version", deps.Version).Msg("")
	select {
	case err := <-p.failed:
		return err
	case s := <-signals:
		logger.Info().Str("event", "stopping").Str("signal", s.String()).Int64("under_way", edge.Server.InFlight()).Msg("")
	}
	p.stop()
	logger.Info().Str("event", "stopped").Int64("under_way", edge.Server.InFlight()).Msg("")
	return nil
}

// startTimeout bounds the wait at the start for what another process still holds or writes.
const startTimeout = 30 * time.Second

// startContext returns a context that ends once the process has waited for long enough at its start, or is told to stop: by a
// signal that has been received already, or by a later one.
func startContext(received <-chan os.Signal) (context.Context, func()) {
	signaled, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(signaled, startTimeout)
	if len(received) > 0 {
		cancel()
	}
	return ctx, func() {
		cancel()
		stopSignals()
	}
}

// Timeouts of incoming connections.
const (
	// longestHeaderRead and longestIdle apply if nothing closes a connection before: connlimit does, by the
	// configuration in force.
	longestHeaderRead = 10 * time.Minute
	longestIdle       = 10 * time.Minute
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed.
	unackedTimeout = 10 * time.Second
)

// start listens on all addresses and serves them. It waits for addresses that are still in use, until SIGTERM or
// startTimeout.
func (p *edgeProcess) start(signals <-chan os.Signal) error {
	ctx, cancel := startContext(signals)
	defer cancel()
	servers := p.newServers()
	for _, s := range slices.Backward(servers) { // callers last: one that is refused goes elsewhere, one that waits doesn't
		var err error
		s.listener, err = p.listen(ctx, s.addr)
		if err != nil {
			return err
		}
	}
	for _, s := range servers {
		p.serve(s)
	}
	return nil
}

// addressedServer is a server and where it listens.
type addressedServer struct {
	*http.Server
	addr     string
	clients  *connlimit.Tracker
	listener net.Listener
}

// limit bounds what the clients of the server can make it hold.
func (s *addressedServer) limit() {
	s.Handler = connlimit.WithoutUnread(s.Handler)
	s.ReadHeaderTimeout = longestHeaderRead
	s.IdleTimeout = longestIdle
	track(s.Server, s.clients)
}

// track lets a tracker follow the connections of a server beside what follows them already.
func track(s *http.Server, clients *connlimit.Tracker) {
	s.DisableGeneralOptionsHandler = true // net/http would read the body of OPTIONS * for as long as its client likes
	observe, withConn := s.ConnState, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, c)
		}
		return clients.ConnContext(ctx, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		clients.Observe(c, state)
		if observe != nil {
			observe(c, state)
		}
	}
}

// clientsAt returns the tracker of the connections to an address.
func (p *edgeProcess) clientsAt(addr string) *connlimit.Tracker {
	switch addr {
	case p.settings.Current().CallersAddr():
		return p.edge.Clients.Callers
	case p.settings.Current().PeersAddr():
		return p.edge.Clients.Peers
	}
	return p.edge.Clients.Others
}

// newServers returns the servers of the process.
func (p *edgeProcess) newServers() []*addressedServer {
	p.callersServer = &http.Server{Handler: p.edge.Ingress, ConnState: p.callers.Observe}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /readyz", p.serveReadiness)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", p.serveMetrics)
	metricsMux.HandleFunc("GET /status", p.serveStatus)
	metricsMux.HandleFunc("DELETE /held/{fingerprint}", p.serveRelease)
	p.auxServers = []*http.Server{{Handler: readiness}, {Handler: metricsMux}}
	settings := p.settings.Current()
	addrs := []string{settings.CallersAddr(), settings.ReadinessAddr(), settings.MetricsAddr()}
	if settings.PeersAddr() != "" {
		p.auxServers = append(p.auxServers, &http.Server{Handler: p.edge.Peers, ConnState: p.peers.Observe, ConnContext: p.peers.ConnContext})
		addrs = append(addrs, settings.PeersAddr())
	}
	var servers []*addressedServer
	for i, server := range append([]*http.Server{p.callersServer}, p.auxServers...) {
		s := &addressedServer{Server: server, addr: addrs[i], clients: p.clientsAt(addrs[i])}
		s.limit()
		servers = append(servers, s)
	}
	return servers
}

// listen listens on an address once it is free.
func (p *edgeProcess) listen(ctx context.Context, addr string) (net.Listener, error) {
	listen := func() (net.Listener, error) { return tcp.Listen(ctx, addr, unackedTimeout) }
	listener, err := tcp.AwaitAddress(ctx, listen, func(err error) {
		p.edge.Log.Warn().Str("event", "address_in_use").Str("addr", addr).Err(err).Msg("waiting for it")
	})
	if err != nil {
		return nil, err
	}
	listener = tcp.Persistent(listener, func(err error) { p.acceptFailed(addr, err) })
	if addr == p.settings.Current().CallersAddr() {
		listener = p.edge.GateListener(listener)
	}
	listener = p.clientsAt(addr).Listener(listener)
	switch addr {
	case p.settings.Current().CallersAddr():
		p.callersListener = p.callers.Listener(listener)
		return p.callersListener, nil
	case p.settings.Current().PeersAddr():
		return p.peers.Listener(listener), nil
	}
	return listener, nil
}

// acceptLogInterval is the minimum interval between log lines about connections that couldn't be accepted.
const acceptLogInterval = time.Second

// acceptFailed counts and logs a connection that couldn't be accepted.
func (p *edgeProcess) acceptFailed(addr string, err error) {
	p.acceptErrors.Inc()
	now := time.Now().UnixNano()
	last := p.acceptLogged.Load()
	if now-last >= int64(acceptLogInterval) && p.acceptLogged.CompareAndSwap(last, now) {
		p.edge.Log.Error().Str("event", "accept_failed").Str("addr", addr).Err(err).Msg("trying again")
	}
}

// serve serves connections until the server is closed.
func (p *edgeProcess) serve(s *addressedServer) {
	go func() {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			p.failed <- err
		}
	}()
}

func (p *edgeProcess) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || !p.edge.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *edgeProcess) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	p.edge.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// holdReleaseTimeout bounds the store call that releases a held request.
const holdReleaseTimeout = 3 * time.Second

// serveRelease releases a held request, so that it is sent to workers again.
func (p *edgeProcess) serveRelease(w http.ResponseWriter, r *http.Request) {
	digits := r.PathValue("fingerprint")
	f, ok := quarantine.ParseFingerprint(digits)
	if !ok {
		http.Error(w, fmt.Sprintf("fingerprint: %q isn't %d hexadecimal digits", digits, 2*quarantine.FingerprintBytes), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), holdReleaseTimeout)
	defer cancel()
	held, err := p.edge.Release(ctx, f)
	switch {
	case err != nil:
		http.Error(w, "the store did not take it: "+err.Error(), http.StatusBadGateway)
	case !held:
		http.Error(w, "fingerprint: no such request is held back", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// serveStatus writes the daemon's view of closed halls and held requests as JSON.
func (p *edgeProcess) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(p.edge.Status(time.Now())); err != nil {
		p.edge.Log.Info().Str("event", "status_not_read").Err(err).Msg("status not delivered, the client has disconnected")
	}
}

const (
	// leavingFraction is the part of the grace time in which the balancer and
	// callers switch to other daemons. maxLeavingTime bounds it: requests that are
	// taken later than 3 s after the signal may not be cut off any more.
	leavingFraction = 0.4
	maxLeavingTime  = 2800 * time.Millisecond
	// exitReserve is kept free at the end of the grace time to answer the requests
	// that are given up, close the servers and exit, and exitReserveFraction of it at the
	// most. answersFraction is the part of it in which callers may read the answers.
	exitReserve         = time.Second
	exitReserveFraction = 0.125
	answersFraction     = 0.8
	// leaseReleaseTimeout bounds the release of the lease.
	leaseReleaseTimeout = time.Second
)

// leavingTime returns how long after the signal requests are still taken.
func leavingTime(grace time.Duration) time.Duration {
	return min(time.Duration(leavingFraction*float64(grace)), maxLeavingTime)
}

// giveUp ends the requests that are still under way or arrive.
func (p *edgeProcess) giveUp() {
	if left := p.edge.Server.InFlight(); left > 0 {
		p.edge.Log.Warn().Str("event", "requests_given_up").Int64("under_way", left).Msg("the grace time is nearly over")
	}
	p.edge.Server.GiveUp()
	p.edge.Clients.StopBodies()
}

// stop releases the lease, leaves the balancer time to send callers elsewhere and
// finishes the requests in flight, or gives them up at the end of the grace time. It uses the grace time in force when it starts.
func (p *edgeProcess) stop() {
	grace := p.settings.Bounds().GracePeriod
	start := time.Now()
	reserve := min(exitReserve, time.Duration(exitReserveFraction*float64(grace)))
	answerTime := time.Duration(answersFraction * float64(reserve))
	p.stopping.Store(true)
	p.edge.Server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	if err := p.edge.Lease.Release(ctx); err != nil {
		p.edge.Log.Warn().Str("event", "lease_not_released").Err(err).Msg("")
	}
	cancel()
	time.Sleep(time.Until(start.Add(leavingTime(grace))))
	p.edge.Server.Close()
	ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	giveUp := time.AfterFunc(time.Until(start.Add(grace-reserve)), func() {
		p.giveUp()
		cancel()
	})
	defer giveUp.Stop()
	p.callersListener.Close()
	end := drain.NewEnd(ctx, answerTime, p.callers, p.peers)
	if left := p.callers.Drain(end); left > 0 {
		p.edge.Log.Warn().Str("event", "callers_cut").Int("connections", left).Int64("under_way", p.edge.Server.InFlight()).Msg("the grace time is over")
	}
	p.peers.AwaitAnswers(end) // of forwarded requests
	for _, server := range p.auxServers {
		server.Close()
	}
}
