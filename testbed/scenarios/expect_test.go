package scenarios

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/world"
)

// tailBytes is how much of a daemon's log a failed scenario shows.
const tailBytes = 6000

func tail(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// until groups DAEMON N | table DAEMON true|false | revision DAEMON N |
// ready DAEMON | duties | joined VM | grouped VM | group ID | arrived MARK [N] |
// refused (a request of a flood) waits for a condition, with
// "!" until it no longer holds.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	holds := s.condition(ts, args)
	failOn(ts, world.Wait(strings.Join(args, " "), func() bool { return holds() != neg }))
}

func (s *session) condition(ts *testscript.TestScript, args []string) func() bool {
	switch args[0] {
	case "groups":
		d := s.daemon(ts, args[1])
		want := number(ts, args[2], 0)
		return func() bool { return d.Present("arbiter-lm") == want }
	case "ready":
		d := s.daemon(ts, args[1])
		return d.Ready
	case "revision":
		d := s.daemon(ts, args[1])
		want := fmt.Sprintf("revision %s\n", args[2])
		return func() bool {
			out, err := s.world.Client(d, "status")
			return err == nil && strings.Contains(out, want)
		}
	case "table":
		d := s.daemon(ts, args[1])
		return func() bool {
			out, err := s.world.Client(d, "status")
			return err == nil && strings.Contains(out, "reachable "+args[2])
		}
	case "joined":
		return func() bool {
			group, _, _ := s.world.Fabric.Engine(args[1]).State()
			return group != ""
		}
	case "grouped":
		return func() bool {
			var row struct{}
			return s.world.Platform.Value("control/vm/"+args[1], &row)
		}
	case "group":
		return func() bool {
			var row struct{}
			return s.world.Platform.Value("control/group/"+args[1], &row)
		}
	case "arrived":
		want := 1
		if len(args) > 2 {
			want = number(ts, args[2], 1)
		}
		return func() bool { return len(s.world.Record.Arrivals(s.marks[args[1]])) >= want }
	case "refused":
		return s.floodRefused.Load
	case "duties":
		return s.dutiesHeld
	}
	ts.Fatalf("until: what is %q?", args)
	return nil
}

// dutiesHeld tells whether every daemon that lives sees a live holder of every
// duty.
func (s *session) dutiesHeld() bool {
	live := map[string]bool{}
	holders := 0
	for _, d := range s.world.Daemons {
		live[d.Node] = d.Up()
	}
	for _, d := range s.world.Daemons {
		if !live[d.Node] {
			continue
		}
		out, err := s.world.Client(d, "status")
		if err != nil {
			return false
		}
		for line := range strings.Lines(out) {
			_, holder, found := strings.Cut(strings.TrimSpace(line), " held by ")
			node, _, _ := strings.Cut(holder, ".")
			if found && !live[node] {
				return false
			}
			if found {
				holders++
			}
		}
	}
	return holders > 0
}

// expect asks the stand-ins what they really saw:
//
//	expect runs NAME N          the request with the key ran N times
//	expect nothing-doubled      no key ran twice
//	expect whole-since MARK     no request was accepted by a group in parts
//	expect quiet VM MARK AFTER  no request reached VM's group later than AFTER
//	                            past MARK
//	expect left-alone           no request came 3 s after its VM was leaving
//	expect one-group            no VM stands in two groups, in the table or in
//	                            what the engines believe
//	expect fast MARK DURATION   MARK is at most DURATION ago
//	expect some-sent MARK       requests did reach endpoints since MARK
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	record := s.world.Record
	switch args[0] {
	case "runs":
		if got := record.Runs(s.key(args[1])); got != number(ts, args[2], 0) {
			ts.Fatalf("%s ran %d times, want %s", args[1], got, args[2])
		}
	case "nothing-doubled":
		if doubled := record.Doubled(); len(doubled) > 0 {
			ts.Fatalf("ran more than once: %v", doubled)
		}
	case "whole-since":
		s.expectWhole(ts, args[1])
	case "quiet":
		s.expectQuiet(ts, args[1], s.marks[args[2]].Add(duration(ts, args[3])))
	case "left-alone":
		s.expectLeftAlone(ts)
	case "one-group":
		s.expectOneGroup(ts)
	case "fast":
		if took := time.Since(s.marks[args[1]]); took > duration(ts, args[2]) {
			ts.Fatalf("took %v, want %s at most", took, args[2])
		}
	case "some-sent":
		if len(record.Arrivals(s.marks[args[1]])) == 0 {
			ts.Fatalf("no request reached an endpoint")
		}
	default:
		ts.Fatalf("expect: what is %q?", args)
	}
}

// inFlight is how long a request may be under way from a daemon's decision to
// the endpoint, when the daemon could not yet know better.
const inFlight = 2500 * time.Millisecond

func (s *session) expectWhole(ts *testscript.TestScript, mark string) {
	since := s.marks[mark]
	last := time.Duration(0)
	for _, a := range s.world.Record.Arrivals(since) {
		if a.Whole || a.Group == "" {
			continue
		}
		last = max(last, a.Time.Sub(since))
	}
	ts.Logf("last request to a group in parts: %v after %s", last.Round(time.Millisecond), mark)
	if last > inFlight {
		ts.Fatalf("a group in parts was sent a request %v after %s", last, mark)
	}
}

func (s *session) expectQuiet(ts *testscript.TestScript, vm string, after time.Time) {
	for _, a := range s.world.Record.Arrivals(after) {
		if a.VM == vm {
			ts.Fatalf("%s was sent a request %v too late", vm, a.Time.Sub(after))
		}
	}
}

// leavingLimit is how long after the mark a leaving endpoint may still get new
// work.
const leavingLimit = 3 * time.Second

func (s *session) expectLeftAlone(ts *testscript.TestScript) {
	last := time.Duration(0)
	for _, a := range s.world.Record.Arrivals(time.Time{}) {
		if !a.Leaving.IsZero() {
			last = max(last, a.Time.Sub(a.Leaving))
		}
	}
	ts.Logf("last new work to a leaving endpoint: %v after the mark", last.Round(time.Millisecond))
	if last > leavingLimit {
		ts.Fatalf("a leaving endpoint was sent new work %v after the mark", last)
	}
}

// expectOneGroup checks the table's rows, and that no engine took orders of two
// groups whose epochs overlap.
func (s *session) expectOneGroup(ts *testscript.TestScript) {
	members := map[string]string{}
	for _, key := range s.world.Platform.Keys("control/group/") {
		var g struct {
			Members []string `json:"members"`
		}
		s.world.Platform.Value(key, &g)
		for _, vm := range g.Members {
			if other, taken := members[vm]; taken {
				ts.Fatalf("%s is in %s and in %s", vm, other, key)
			}
			members[vm] = key
		}
	}
	for _, key := range s.world.Platform.Keys("control/vm/") {
		vm := strings.TrimPrefix(key, "control/vm/")
		var row struct {
			Group string `json:"group"`
		}
		s.world.Platform.Value(key, &row)
		if members[vm] != "control/group/"+row.Group {
			ts.Fatalf("%s stands in %q, its row says %q", vm, members[vm], row.Group)
		}
		delete(members, vm)
	}
	if len(members) > 0 {
		ts.Fatalf("members of groups without a row of their own: %v", members)
	}
	newest := map[string]uint64{}
	for _, o := range s.world.Record.Orders() {
		if !o.Taken {
			continue
		}
		if o.Epoch < newest[o.VM] {
			ts.Fatalf("%s took an order of epoch %d after one of epoch %d", o.VM, o.Epoch, newest[o.VM])
		}
		newest[o.VM] = o.Epoch
	}
}
