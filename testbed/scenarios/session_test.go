package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/world"
)

// session is the state of one scenario.
type session struct {
	t      testscript.T
	world  *world.World
	client *http.Client
	keys   map[string]string // name in the script to idempotency key
	marks  map[string]time.Time

	floods        sync.WaitGroup
	floodRejected atomic.Bool

	mu      sync.Mutex
	pending map[string]chan ask.Result
	results map[string]ask.Result
	sent    map[string]ask.Request
}

const sessionKey = "session"

func setUp(env *testscript.Env) error {
	s := &session{
		t:       env.T(),
		client:  ask.NewClient(),
		keys:    map[string]string{},
		marks:   map[string]time.Time{},
		pending: map[string]chan ask.Result{},
		results: map[string]ask.Result{},
		sent:    map[string]ask.Request{},
	}
	env.Values[sessionKey] = s
	env.Setenv("PATH", filepath.Dir(binaries.daemon)+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Defer(func() { s.client.CloseIdleConnections() })
	return nil
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey).(*session) }

// commands are the commands that scenarios have besides testscript's built-in ones.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"start":     cmdStart,
	"run":       cmdRun,
	"crash":     cmdCrash,
	"restart":   cmdRestart,
	"freeze":    cmdFreeze,
	"thaw":      cmdThaw,
	"cut":       cmdCut,
	"heal":      cmdHeal,
	"delay":     cmdDelay,
	"terminate": cmdTerminate,
	"outage":    cmdOutage,
	"slow":      cmdSlow,
	"lose":      cmdLose,
	"leaving":   cmdLeaving,
	"ask":       cmdAsk,
	"await":     cmdAwait,
	"resume":    cmdResume,
	"pointpass": cmdPointpass,
	"race":      cmdRace,
	"mark":      cmdMark,
	"pause":     cmdPause,
	"until":     cmdUntil,
	"expect":    cmdExpect,
	"storm":     cmdStorm,
	"flood":     cmdFlood,
	"drain":     cmdDrain,
	"trickle":   cmdTrickle,
	"announced": cmdAnnounced,
	"raw":       cmdRaw,
}

func failOn(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// parseOptions parses leading "-name value" pairs and the given boolean flags, and
// returns them with the remaining arguments.
func parseOptions(ts *testscript.TestScript, args []string, flags ...string) (map[string]string, []string) {
	isFlag := map[string]bool{}
	for _, f := range flags {
		isFlag[f] = true
	}
	found := map[string]string{}
	for len(args) > 0 && strings.HasPrefix(args[0], "-") {
		name := strings.TrimPrefix(args[0], "-")
		args = args[1:]
		if isFlag[name] {
			found[name] = "true"
			continue
		}
		if len(args) == 0 {
			ts.Fatalf("option -%s needs a value", name)
		}
		found[name] = args[0]
		args = args[1:]
	}
	return found, args
}

func parseInt(ts *testscript.TestScript, text string, fallback int) int {
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	failOn(ts, err)
	return n
}

func parseDuration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	failOn(ts, err)
	return d
}

// cmdStart starts the deployment in Cairo behind proxies and waits for its groups:
//
//	start [-daemons N] [-vms N] [-groups N] [-unfenced] [-late] [-extra JSON]
//
// With -unfenced the engines accept orders with old epochs, and with -late the daemons
// are left to "run".
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	opts, _ := parseOptions(ts, args, "unfenced", "late")
	layout := world.NilePawn(parseInt(ts, opts["vms"], 12))
	layout.Pools[0].Fenced = opts["unfenced"] == ""
	w, closeWorld, err := world.Start(world.Options{
		Layouts:       []world.Layout{layout},
		Daemons:       parseInt(ts, opts["daemons"], 3),
		Timing:        engine.DefaultTiming(),
		Limits:        world.DefaultLimits(),
		ExtraSettings: opts["extra"],
		Proxied:       true,
		DeferStart:    opts["late"] != "",
		DaemonBinary:  binaries.daemon,
		ClientBinary:  binaries.client,
	})
	failOn(ts, err)
	s.world = w
	ts.Defer(func() {
		s.checkErrors()
		s.printLogTails()
		closeWorld()
	})
	if opts["late"] == "" {
		failOn(ts, w.WaitGroups("arbiter-lm", parseInt(ts, opts["groups"], 3)))
	}
}

// checkErrors fails the scenario if a daemon reported a data race or panicked.
func (s *session) checkErrors() {
	for _, d := range s.world.Daemons {
		text := logTail(d.StderrFile())
		if strings.Contains(text, raceReport) || strings.Contains(text, "panic:") {
			s.t.Log(d.Node + " wrote to standard error:\n" + text)
			if t, ok := s.t.(interface{ Fail() }); ok {
				t.Fail()
			}
		}
	}
}

// printLogTails prints the last part of each daemon's log if the scenario failed.
func (s *session) printLogTails() {
	t, ok := s.t.(interface{ Failed() bool })
	if !ok || !t.Failed() {
		return
	}
	logs, _ := filepath.Glob(s.world.Dir + "/*.log")
	for _, file := range logs {
		s.t.Log(filepath.Base(file) + ":\n" + logTail(file))
	}
}

func (s *session) daemon(ts *testscript.TestScript, name string) *world.Daemon {
	for _, d := range s.world.Daemons {
		if d.Node == name {
			return d
		}
	}
	ts.Fatalf("no daemon named %q", name)
	return nil
}

// cmdMark stores the current time under a name: mark NAME.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).marks[args[0]] = time.Now()
}

// cmdPause sleeps: pause DURATION. It is only for durations that are under test, such
// as a lease's; conditions are waited for with "until".
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	time.Sleep(parseDuration(ts, args[0]))
}

// key returns the idempotency key for a name and creates it on first use. Keys carry
// the current time, but for the prefixes "plain-" (no time), "ahead-" (an hour ahead)
// and "behind-" (an hour ago).
func (s *session) key(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key, ok := s.keys[name]; ok || name == "" {
		return key
	}
	key := uuid.Must(uuid.NewV7()).String()
	switch {
	case strings.HasPrefix(name, "plain-"):
		key = "order-" + uuid.NewString()
	case strings.HasPrefix(name, "ahead-"):
		key = datedKey(time.Now().Add(time.Hour))
	case strings.HasPrefix(name, "behind-"):
		key = datedKey(time.Now().Add(-time.Hour))
	}
	s.keys[name] = key
	return key
}

func datedKey(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := t.UnixMilli()
	for i := 5; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	return id.String()
}

// request builds a request from the options of "ask":
//
//	-at DAEMON -as CUSTOMER -service S -kind K -id NAME -path P -tokens N
//	-deadline D -question Q -stop EVENTS -stream -bg NAME -retry
func (s *session) request(ts *testscript.TestScript, args []string) (ask.Request, map[string]string) {
	opts, rest := parseOptions(ts, args, "stream", "retry")
	if len(rest) > 0 {
		ts.Fatalf("ask: unexpected arguments %q", rest)
	}
	at := opts["at"]
	if at == "" {
		at = "e1"
	}
	customer := opts["as"]
	if customer == "" {
		customer = "nile-1"
	}
	req := ask.Request{
		Addr:            s.daemon(ts, at).CallersAddr,
		APIKey:          world.Key(customer),
		Service:         opts["service"],
		Kind:            opts["kind"],
		IdempotencyKey:  s.key(opts["id"]),
		Path:            opts["path"],
		SystemPrompt:    "rules of tawla",
		Question:        opts["question"],
		Tokens:          parseInt(ts, opts["tokens"], 10),
		Stream:          opts["stream"] != "",
		DisconnectAfter: parseInt(ts, opts["stop"], 0),
	}
	if opts["deadline"] != "" {
		req.Deadline = parseDuration(ts, opts["deadline"])
	}
	if req.Service == "" {
		req.Service = "arbiter-lm"
	}
	if req.Kind == "" {
		req.Kind = "question"
	}
	if req.Question == "" {
		req.Question = "question " + opts["id"] + opts["bg"]
	}
	return req, opts
}

// cmdAsk sends a request and prints its result. With -bg NAME it runs in the background
// and "await NAME" prints the result. With -retry it is sent again with the same key
// until its result is final.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	req, opts := s.request(ts, args)
	do := func() ask.Result {
		if opts["retry"] != "" {
			return s.sendWithRetries(req)
		}
		return ask.Do(context.Background(), s.client, req)
	}
	name := opts["bg"]
	if name == "" {
		s.printResult(ts, "last", req, do())
		return
	}
	ch := make(chan ask.Result, 1)
	s.pending[name] = ch
	s.sent[name] = req
	go func() { ch <- do() }()
}

// maxAttempts and retryTimeout bound a caller's retries. The takeover of a duty takes
// about a third of retryTimeout.
const (
	maxAttempts  = 40
	retryTimeout = 30 * time.Second
)

func (s *session) sendWithRetries(req ask.Request) ask.Result {
	var result ask.Result
	start := time.Now()
	for range maxAttempts {
		result = ask.Do(context.Background(), s.client, req)
		final := result.Status != 0 && result.RetryAfter == 0
		if result.Complete || final || time.Since(start) > retryTimeout {
			return result
		}
		time.Sleep(max(result.RetryAfter/2, 200*time.Millisecond))
	}
	return result
}

func (s *session) printResult(ts *testscript.TestScript, name string, req ask.Request, r ask.Result) {
	s.results[name] = r
	s.sent[name] = req
	fmt.Fprintf(ts.Stdout(), "status=%d whole=%t outcome=%s retry-after=%v replayed=%t events=%d node=%s group=%q text=%q detail=%q err=%v\n",
		r.Status, r.Complete, r.Outcome, r.RetryAfter, r.Replayed, r.Events, r.Node, r.Group, r.Text, r.Detail, r.Err)
}

// cmdAwait waits for a request in the background and prints its result: await NAME.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	ch, ok := s.pending[args[0]]
	if !ok {
		ts.Fatalf("no background request named %q", args[0])
	}
	s.printResult(ts, args[0], s.sent[args[0]], <-ch)
}

// cmdResume resumes a stream after its last event, and prints whether both parts
// together are the complete answer: resume NAME [-at DAEMON] [-as CUSTOMER].
func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	name := args[0]
	first := s.results[name]
	opts, _ := parseOptions(ts, args[1:])
	req := s.sent[name]
	req.LastEventID = first.LastEventID
	req.DisconnectAfter = 0
	if opts["at"] != "" {
		req.Addr = s.daemon(ts, opts["at"]).CallersAddr
	}
	if opts["as"] != "" {
		req.APIKey = world.Key(opts["as"])
	}
	rest := ask.Do(context.Background(), s.client, req)
	whole := first.Text + rest.Text
	rest.Complete = rest.Complete && whole == strings.Join(engine.Answer(req.Question, req.Tokens), "")
	s.printResult(ts, name+"-resumed", req, rest)
}

// cmdPointpass runs the operators' client and prints its output, and on failure its
// exit code: pointpass [-at DAEMON] ARGS... With "!" the client must fail.
func cmdPointpass(ts *testscript.TestScript, neg bool, args []string) {
	s := sessionOf(ts)
	opts, rest := parseOptions(ts, args)
	at := opts["at"]
	if at == "" {
		at = "e1"
	}
	out, err := s.world.Client(s.daemon(ts, at), rest...)
	fmt.Fprint(ts.Stdout(), out)
	if failure, ok := err.(*world.ClientError); ok {
		fmt.Fprintf(ts.Stdout(), "exit code %d\n", failure.Code())
	}
	if neg != (err != nil) {
		ts.Fatalf("pointpass %q: %v", rest, err)
	}
}

// cmdRace runs two operators' clients concurrently, each against another daemon, and
// prints both outputs ordered by exit code: race ARGS... -- ARGS...
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	first, second, _ := splitAt(args, "--")
	var wg sync.WaitGroup
	outputs := make([]string, 2)
	for i, line := range [][]string{first, second} {
		wg.Go(func() {
			out, err := s.world.Client(s.world.Daemons[i%len(s.world.Daemons)], line...)
			code := 0
			if failure, ok := err.(*world.ClientError); ok {
				code = failure.Code()
			}
			outputs[i] = fmt.Sprintf("exit code %d: %s", code, out)
		})
	}
	wg.Wait()
	if outputs[1] < outputs[0] {
		outputs[0], outputs[1] = outputs[1], outputs[0]
	}
	fmt.Fprint(ts.Stdout(), outputs[0], outputs[1])
}

func splitAt(args []string, mark string) (before, after []string, found bool) {
	for i, arg := range args {
		if arg == mark {
			return args[:i], args[i+1:], true
		}
	}
	return args, nil, false
}
