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

	flooding     sync.WaitGroup
	floodRefused atomic.Bool

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
	env.Setenv("PATH", filepath.Dir(built.daemon)+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Defer(func() { s.client.CloseIdleConnections() })
	return nil
}

func of(ts *testscript.TestScript) *session { return ts.Value(sessionKey).(*session) }

// commands are what scenarios can say beyond testscript's own.
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

// options reads -name value pairs and single -flags before the other
// arguments.
func options(ts *testscript.TestScript, args []string, flags ...string) (map[string]string, []string) {
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
			ts.Fatalf("-%s wants a value", name)
		}
		found[name] = args[0]
		args = args[1:]
	}
	return found, args
}

func number(ts *testscript.TestScript, text string, otherwise int) int {
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	failOn(ts, err)
	return n
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	failOn(ts, err)
	return d
}

// start [-daemons N] [-vms N] [-groups N] [-unfenced] [-late] [-extra JSON]
// puts up the deployment in Cairo behind proxies, and waits for its groups.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	opts, _ := options(ts, args, "unfenced", "late")
	layout := world.NilePawn(number(ts, opts["vms"], 12))
	layout.Pools[0].Fenced = opts["unfenced"] == ""
	w, closeWorld, err := world.Start(world.Options{
		Layouts:    []world.Layout{layout},
		Daemons:    number(ts, opts["daemons"], 3),
		Timing:     engine.DefaultTiming(),
		Limits:     world.DefaultLimits(),
		Extra:      opts["extra"],
		Proxied:    true,
		DeferStart: opts["late"] != "",
		Program:    built.daemon,
		Client:     built.client,
	})
	failOn(ts, err)
	s.world = w
	ts.Defer(func() {
		s.checkErrors()
		s.showLogs()
		closeWorld()
	})
	if opts["late"] == "" {
		failOn(ts, w.WaitGroups("arbiter-lm", number(ts, opts["groups"], 3)))
	}
}

// checkErrors fails the scenario if a daemon found a data race in itself or
// panicked.
func (s *session) checkErrors() {
	for _, d := range s.world.Daemons {
		text := tail(d.StderrFile())
		if strings.Contains(text, raceReport) || strings.Contains(text, "panic:") {
			s.t.Log(d.Node + " wrote to standard error:\n" + text)
			if t, ok := s.t.(interface{ Fail() }); ok {
				t.Fail()
			}
		}
	}
}

// showLogs prints the ends of the daemons' logs if the scenario failed.
func (s *session) showLogs() {
	t, ok := s.t.(interface{ Failed() bool })
	if !ok || !t.Failed() {
		return
	}
	logs, _ := filepath.Glob(s.world.Dir + "/*.log")
	for _, file := range logs {
		s.t.Log(filepath.Base(file) + ":\n" + tail(file))
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

// mark NAME remembers the present time.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).marks[args[0]] = time.Now()
}

// pause DURATION lets time pass; only for time that is itself under test, such
// as a lease's.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	time.Sleep(duration(ts, args[0]))
}

// key returns the idempotency key for a name. Names that begin with "plain-"
// give keys without a time, those with "ahead-" keys dated an hour ahead, and
// those with "behind-" keys dated an hour back.
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

// request reads the options of ask: -at DAEMON -as CUSTOMER -service S -kind K
// -id NAME -path P -tokens N -deadline D -question Q -stop EVENTS -stream
// -bg NAME -retry.
func (s *session) request(ts *testscript.TestScript, args []string) (ask.Request, map[string]string) {
	opts, rest := options(ts, args, "stream", "retry")
	if len(rest) > 0 {
		ts.Fatalf("ask: what is %q?", rest)
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
		Addr:      s.daemon(ts, at).Callers,
		Key:       world.Key(customer),
		Service:   opts["service"],
		Kind:      opts["kind"],
		ID:        s.key(opts["id"]),
		Path:      opts["path"],
		Context:   "rules of tawla",
		Question:  opts["question"],
		Tokens:    number(ts, opts["tokens"], 10),
		Stream:    opts["stream"] != "",
		StopAfter: number(ts, opts["stop"], 0),
	}
	if opts["deadline"] != "" {
		req.Deadline = duration(ts, opts["deadline"])
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

// ask sends a request and prints what came of it. With -bg NAME it goes on
// meanwhile; "await NAME" prints its result. With -retry it is sent again under
// the same key until it is answered or its end is unknown.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	req, opts := s.request(ts, args)
	do := func() ask.Result {
		if opts["retry"] != "" {
			return s.askUntilAnswered(req)
		}
		return ask.Do(context.Background(), s.client, req)
	}
	name := opts["bg"]
	if name == "" {
		s.show(ts, "last", req, do())
		return
	}
	ch := make(chan ask.Result, 1)
	s.pending[name] = ch
	s.sent[name] = req
	go func() { ch <- do() }()
}

// retryLimit and retryFor bound how often and how long a caller comes back: a
// takeover takes a third of that.
const (
	retryLimit = 40
	retryFor   = 30 * time.Second
)

func (s *session) askUntilAnswered(req ask.Request) ask.Result {
	var result ask.Result
	begun := time.Now()
	for range retryLimit {
		result = ask.Do(context.Background(), s.client, req)
		final := result.Status != 0 && result.RetryAfter == 0
		if result.Whole || final || time.Since(begun) > retryFor {
			return result
		}
		time.Sleep(max(result.RetryAfter/2, 200*time.Millisecond))
	}
	return result
}

func (s *session) show(ts *testscript.TestScript, name string, req ask.Request, r ask.Result) {
	s.results[name] = r
	s.sent[name] = req
	fmt.Fprintf(ts.Stdout(), "status=%d whole=%t outcome=%s retry-after=%v replayed=%t events=%d node=%s group=%q text=%q detail=%q err=%v\n",
		r.Status, r.Whole, r.Outcome, r.RetryAfter, r.Replayed, r.Events, r.Node, r.Group, r.Text, r.Detail, r.Err)
}

func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	ch, ok := s.pending[args[0]]
	if !ok {
		ts.Fatalf("nothing was asked as %q", args[0])
	}
	s.show(ts, args[0], s.sent[args[0]], <-ch)
}

// resume NAME [-at DAEMON] [-as CUSTOMER] asks for the rest of a stream, and
// checks that both parts make the whole answer.
func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	name := args[0]
	begun := s.results[name]
	opts, _ := options(ts, args[1:])
	req := s.sent[name]
	req.LastEvent = begun.LastEvent
	req.StopAfter = 0
	if opts["at"] != "" {
		req.Addr = s.daemon(ts, opts["at"]).Callers
	}
	if opts["as"] != "" {
		req.Key = world.Key(opts["as"])
	}
	rest := ask.Do(context.Background(), s.client, req)
	whole := begun.Text + rest.Text
	rest.Whole = rest.Whole && whole == strings.Join(engine.Answer(req.Question, req.Tokens), "")
	s.show(ts, name+"-resumed", req, rest)
}

// pointpass [-at DAEMON] ARGS... runs the operators' client; with "!" it must
// fail. Its exit code is printed.
func cmdPointpass(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	opts, rest := options(ts, args)
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

// race ARGS... -- ARGS... runs two operators' clients at the same moment, the
// second one at another daemon, and prints both outputs in order of success.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	first, second, _ := cutAt(args, "--")
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

func cutAt(args []string, mark string) (before, after []string, found bool) {
	for i, arg := range args {
		if arg == mark {
			return args[:i], args[i+1:], true
		}
	}
	return args, nil, false
}
