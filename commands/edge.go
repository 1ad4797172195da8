package commands

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/deps"
	"github.com/pointpass/pointpass/node"
	"github.com/pointpass/pointpass/quarantine"
)

const edgeUsage = `pointpassd edge serves callers on a platform that keeps its state in a store.

Usage:
  pointpassd edge                run with the settings that POINTPASS_CONFIG names
  pointpassd edge -config FILE   run with the settings in FILE
  pointpassd edge -check FILE    check FILE, name every mistake, and exit

Signals:
  SIGTERM, SIGINT                take no new connections, end what is under way, exit
  SIGHUP                         read the settings again; they are also read when the
                                 file changes without a signal

Exit codes: 0 ended well, 1 failed, 2 wrong usage
`

// configVariable names the settings file where no flag does.
const configVariable = "POINTPASS_CONFIG"

// executeEdge runs pointpassd edge and returns its exit code.
func executeEdge(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("pointpassd edge", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, edgeUsage) }
	configFile := flags.String("config", os.Getenv(configVariable), "settings file")
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
	reload := make(chan os.Signal, 1) // heard from before the first reading on
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := node.Open(*configFile)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if err := runEdge(settings, reload, stdout); err != nil {
		fmt.Fprintln(stderr, "pointpassd:", err)
		return exitFailed
	}
	return exitOK
}

// newEdgeLogger returns a logger that never blocks: lines that a slow reader
// leaves no room for are dropped.
func newEdgeLogger(settings *node.Settings, stdout io.Writer) (*log.Logger, func()) {
	writer := newLastingWriter(stdout)
	logger := &log.Logger{Level: deps.LogLevel(settings), TimeFormat: time.RFC3339Nano, Writer: writer}
	logger.Context = log.NewContext(nil).Str("node", settings.Name()).Value()
	return logger, func() { writer.Close() }
}

// edgeProcess is a running edge daemon.
type edgeProcess struct {
	edge     *deps.Edge
	settings *node.Holder
	stopping atomic.Bool
	callers  *http.Server
	others   []*http.Server
	failed   chan error
}

func runEdge(settings *node.Holder, reload <-chan os.Signal, stdout io.Writer) error {
	logger, closeLog := newEdgeLogger(settings.Current(), stdout)
	defer closeLog()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	edge, cleanUp := deps.NewEdge(settings, logger)
	defer cleanUp()
	p := &edgeProcess{edge: edge, settings: settings, failed: make(chan error, 4)}
	if err := p.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go edge.Run(ctx)
	go node.Follow(ctx, settings, reload, edge.OnSettingsRead)
	started := settings.Current()
	logger.Info().Str("event", "started").Str("callers", started.CallersAddr()).Str("store", started.StoreAddr()).Str("version", deps.Version).Msg("")
	select {
	case err := <-p.failed:
		return err
	case s := <-signals:
		logger.Info().Str("event", "stopping").Str("signal", s.String()).Int64("under_way", edge.Server.InFlight()).Msg("")
	}
	p.drain()
	logger.Info().Str("event", "stopped").Int64("under_way", edge.Server.InFlight()).Msg("")
	return nil
}

// Bounds of connections from callers.
const (
	callerHeaderRead = 3 * time.Second
	callerIdle       = 30 * time.Second
	// callerUnacked is how long a caller may leave unacknowledged what was sent to it.
	callerUnacked = 10 * time.Second
)

func (p *edgeProcess) listen() error {
	p.callers = &http.Server{Handler: p.edge.Ingress, ReadHeaderTimeout: callerHeaderRead, IdleTimeout: callerIdle, ErrorLog: nil}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /readyz", p.serveReadiness)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", p.serveMetrics)
	metricsMux.HandleFunc("GET /status", p.serveStatus)
	metricsMux.HandleFunc("DELETE /held/{fingerprint}", p.serveRelease)
	p.others = []*http.Server{{Handler: readiness, ReadHeaderTimeout: callerHeaderRead}, {Handler: metricsMux, ReadHeaderTimeout: callerHeaderRead}}
	settings := p.settings.Current()
	addrs := []string{settings.CallersAddr(), settings.ReadinessAddr(), settings.MetricsAddr()}
	if settings.PeersAddr() != "" {
		p.others = append(p.others, &http.Server{Handler: p.edge.Peers, ReadHeaderTimeout: callerHeaderRead, IdleTimeout: callerIdle})
		addrs = append(addrs, settings.PeersAddr())
	}
	for i, server := range append([]*http.Server{p.callers}, p.others...) {
		listener, err := tcp.Listen(context.Background(), addrs[i], callerUnacked)
		if err != nil {
			return err
		}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				p.failed <- err
			}
		}()
	}
	return nil
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

// releaseTimeout bounds the call to the store by which an operator lifts a hold.
const releaseTimeout = 3 * time.Second

// serveRelease has a request that is held back be sent to workers again.
func (p *edgeProcess) serveRelease(w http.ResponseWriter, r *http.Request) {
	digits := r.PathValue("fingerprint")
	f, ok := quarantine.ParseFingerprint(digits)
	if !ok {
		http.Error(w, fmt.Sprintf("fingerprint: %q isn't %d hexadecimal digits", digits, 2*quarantine.FingerprintBytes), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), releaseTimeout)
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

// serveStatus tells operators what the daemon knows of closed halls and held requests.
func (p *edgeProcess) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(p.edge.Status(time.Now())); err != nil {
		p.edge.Log.Info().Str("event", "status_not_read").Err(err).Msg("who asked has gone")
	}
}

// Parts of the grace time: leaving is how long the balancer and callers get to
// go elsewhere, reserve what is kept for the end.
const (
	leavingPart = 0.4
	reserve     = 600 * time.Millisecond
	releaseTime = time.Second
)

// drain lets the balancer send callers elsewhere, ends what is under way and
// gives up the lease. Its time is what was in force when it began.
func (p *edgeProcess) drain() {
	grace := p.settings.Bounds().Grace
	end := time.Now().Add(grace - reserve)
	p.stopping.Store(true)
	p.edge.Server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	if err := p.edge.Lease.Release(ctx); err != nil {
		p.edge.Log.Warn().Str("event", "lease_not_released").Err(err).Msg("")
	}
	cancel()
	time.Sleep(time.Duration(leavingPart * float64(grace)))
	ctx, cancel = context.WithDeadline(context.Background(), end)
	defer cancel()
	p.callers.Shutdown(ctx)
	for _, server := range p.others {
		server.Close()
	}
}
