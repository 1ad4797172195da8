// Package commands implements the command lines of pointpassd, the daemon, and
// pointpass, the operators' client.
package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/control"
	"github.com/pointpass/pointpass/common/drain"
	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/connlimit"
	"github.com/pointpass/pointpass/deps"
	"github.com/pointpass/pointpass/rpc"
)

// Exit codes of both programs.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// closeTimeout bounds closing the listeners after all requests have ended.
const closeTimeout = 5 * time.Second

// answerReadTime is how long callers may still read answers that are late by then.
const answerReadTime = 400 * time.Millisecond

const daemonUsage = `pointpassd serves callers of language models that span several VMs.

Usage:
  pointpassd -config FILE    run with the settings in FILE
  pointpassd -check FILE     check FILE, report every error, and exit
  pointpassd edge            serve on the users' platform; see pointpassd edge -help
  pointpassd -version        print the version

Signals:
  SIGTERM, SIGINT            accept no new work, finish requests in flight, exit

Exit codes: 0 success, 1 failure, 2 invalid usage
`

// ExecuteDaemon runs pointpassd and returns its exit code.
func ExecuteDaemon(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "edge" {
		return executeEdge(args[1:], stdout, stderr)
	}
	flags := flag.NewFlagSet("pointpassd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, daemonUsage) }
	configFile := flags.String("config", "", "settings file")
	checkFile := flags.String("check", "", "settings file to check")
	version := flags.Bool("version", false, "print the version")
	if err := flags.Parse(args); err != nil {
		return usageCode(err)
	}
	switch {
	case *version:
		fmt.Fprintln(stdout, "pointpassd", deps.Version)
		return exitOK
	case *checkFile != "":
		_, err := config.Load(*checkFile)
		return reportCheck(*checkFile, err, stdout, stderr)
	case *configFile == "" || flags.NArg() > 0:
		flags.Usage()
		return exitUsage
	}
	ignoreBrokenPipes()
	signals := make(chan os.Signal, 1) // registered before the first read, so that none is missed
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	cfg, err := openSettings(signals, stderr, func() (*config.Config, error) { return config.Load(*configFile) })
	if err != nil && len(signals) > 0 {
		return exitOK // told to stop while it waited
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if err := runDaemon(cfg, signals, stderr); err != nil {
		fmt.Fprintln(stderr, "pointpassd:", err)
		return exitFailed
	}
	return exitOK
}

func usageCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	return exitUsage
}

// reportCheck prints the result of checking a settings file and returns the exit
// code.
func reportCheck(file string, err error, stdout, stderr io.Writer) int {
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: ok\n", file)
	return exitOK
}

// newLogger returns a logger to the file of the settings, to stderr without one, and a function that closes it. Logging never
// waits for a reader or the disk.
func newLogger(cfg *config.Config, stderr io.Writer) (*log.Logger, func(), error) {
	logger := &log.Logger{Level: log.ParseLevel(cfg.LogLevel()), TimeFormat: time.RFC3339Nano}
	logger.Context = log.NewContext(nil).Str("node", cfg.Node()).Value()
	if cfg.LogFile() == "" {
		lines := newDroppingWriter(stderr)
		logger.Writer = lines
		return logger, func() { lines.Close() }, nil
	}
	file, err := openLogFile(cfg.LogFile())
	if err != nil {
		return nil, nil, err
	}
	lines := newDroppingWriter(file)
	logger.Writer = lines
	return logger, func() {
		lines.Close()
		file.Close()
	}, nil
}

// openLogFile opens a log file to append to it.
func openLogFile(name string) (*os.File, error) {
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	if info, err := os.Stat(name); err == nil && info.Mode()&os.ModeNamedPipe != 0 {
		flags = os.O_RDWR // opening a pipe for writing alone would wait for its reader
	}
	return os.OpenFile(name, flags, 0o644)
}

// runDaemon serves until a signal, then drains.
func runDaemon(cfg *config.Config, signals <-chan os.Signal, stderr io.Writer) error {
	logger, closeLog, err := newLogger(cfg, stderr)
	if err != nil {
		return err
	}
	defer closeLog()
	defer captureLibraryLog(logger)()
	d, cleanUp := deps.New(cfg, logger)
	defer cleanUp()
	callersListener, controlListener, err := listenAll(cfg, logger, signals)
	if err != nil && len(signals) > 0 {
		return nil // told to stop while it waited
	}
	if err != nil {
		return err
	}
	connections := drain.NewTracker()
	callersServer := newCallersServer(cfg, d)
	callersServer.Handler = connections.CloseAfterAnswers(callersServer.Handler)
	callersServer.ConnState = connections.Observe
	track(callersServer, d.Clients.Callers)
	controlServer, err := newControlServer(cfg, d)
	if err != nil {
		return err
	}
	track(controlServer, d.Clients.Control)
	failed := make(chan error, 2)
	go func() {
		failed <- callersServer.Serve(connections.Listener(d.Clients.Callers.Listener(callersListener)))
	}()
	go func() { failed <- controlServer.Serve(d.Clients.Control.Listener(d.Control.Listener(controlListener))) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx)
	logger.Info().Str("callers", cfg.CallersAddr()).Str("control", cfg.ControlAddr()).Msg("serving")
	select {
	case err := <-failed:
		return err
	case s := <-signals:
		logger.Info().Str("signal", s.String()).Msg("draining")
	}
	return stop(cfg, d, callersListener, connections, controlServer)
}

// listenAll listens for callers and for other daemons. It waits for addresses that are still in use.
func listenAll(cfg *config.Config, logger *log.Logger, signals <-chan os.Signal) (callers, control net.Listener, err error) {
	ctx, cancel := startContext(signals)
	defer cancel()
	listen := func(addr string) (net.Listener, error) {
		l, err := tcp.AwaitAddress(ctx, func() (net.Listener, error) { return net.Listen("tcp", addr) }, func(err error) {
			logger.Warn().Str("addr", addr).Err(err).Msg("waiting for the address")
		})
		if err != nil {
			return nil, err
		}
		return tcp.Persistent(l, func(err error) { logger.Error().Str("addr", addr).Err(err).Msg("connection not accepted") }), nil
	}
	if control, err = listen(cfg.ControlAddr()); err != nil {
		return nil, nil, err
	}
	if callers, err = listen(cfg.CallersAddr()); err != nil { // last: a caller that is refused goes elsewhere, one that waits doesn't
		control.Close()
		return nil, nil, err
	}
	return callers, control, nil
}

// stop waits for the requests in flight before it hands over the duties: a
// request in flight may still need a claim that this daemon holds.
func stop(cfg *config.Config, d *deps.Deps, callers net.Listener, connections *drain.Tracker, control *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Timing().Drain)
	defer cancel()
	connections.Stop()
	if err := d.Gateway.Drain(ctx); err != nil {
		d.Log.Error().Err(err).Msg("requests in flight given up after timing.drain")
		d.Gateway.GiveUp()
	}
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), d.HandOverTimeout())
	defer cancelRelease()
	if err := d.HandOver(releaseCtx); err != nil {
		d.Log.Warn().Err(err).Msg("duties not handed over, successors wait for the lease to expire")
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	callers.Close()
	defer context.AfterFunc(closeCtx, d.Clients.StopBodies)()
	if left := connections.Drain(drain.NewEnd(closeCtx, answerReadTime, connections)); left > 0 {
		d.Log.Warn().Int("connections", left).Msg("callers' connections cut off")
	}
	control.Shutdown(closeCtx)
	d.Log.Info().Msg("stopped")
	return nil
}

func newCallersServer(cfg *config.Config, d *deps.Deps) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/v1/chat/completions", d.Gateway)
	mux.Handle("/svc/", d.Gateway)
	mux.HandleFunc("/readyz", readyHandler(d))
	return &http.Server{
		Handler:           connlimit.WithoutUnread(mux),
		ReadHeaderTimeout: cfg.Timing().HeaderRead,
		MaxHeaderBytes:    cfg.Limits().HeaderBytes,
		IdleTimeout:       deps.CallersIdleTimeout,
	}
}

func readyHandler(d *deps.Deps) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

// newControlServer returns the server for other daemons, operators and
// monitoring.
func newControlServer(cfg *config.Config, d *deps.Deps) (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(ctx iris.Context) { ctx.WriteString("ok\n") })
	app.Get("/readyz", iris.FromStd(readyHandler(d)))
	app.Get("/metrics", func(ctx iris.Context) {
		d.Metrics.WritePrometheus(ctx.ResponseWriter())
		metrics.WriteProcessMetrics(ctx.ResponseWriter())
	})
	peers := control.Require(cfg.ControlToken(), d.BoundCalls(rpc.NewPeerServer(d.PeerServer)))
	operators := control.Require(cfg.ControlToken(), d.BoundCalls(rpc.NewOperatorServer(d.Operator)))
	app.Post(rpc.PeerPathPrefix+"{method:path}", fromStd(peers))
	app.Post(rpc.OperatorPathPrefix+"{method:path}", fromStd(operators))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           connlimit.WithoutUnread(app),
		ReadHeaderTimeout: cfg.Timing().HeaderRead,
		MaxHeaderBytes:    cfg.Limits().HeaderBytes,
		IdleTimeout:       deps.ControlIdleTimeout,
	}, nil
}

// fromStd returns an Iris handler that lets a handler reach the connection through http.ResponseController.
func fromStd(h http.Handler) iris.Handler {
	return func(ctx iris.Context) { h.ServeHTTP(unwrapper{ctx.ResponseWriter()}, ctx.Request()) }
}

// unwrapper is the writer of Iris with the method by which http.ResponseController finds the one within.
type unwrapper struct{ iriscontext.ResponseWriter }

// Unwrap returns the writer within.
func (w unwrapper) Unwrap() http.ResponseWriter { return w.Naive() }
