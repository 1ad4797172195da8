package scenarios

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/world"
)

// maxTailBytes bounds the part of a daemon's log that a failed scenario prints.
const maxTailBytes = 6000

func logTail(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxTailBytes):])
}

// cmdUntil waits for a condition, or with "!" until it no longer holds:
//
//	until groups DAEMON N           the daemon may send to exactly N groups of arbiter-lm
//	until table DAEMON true|false   the daemon reaches the platform's table, or doesn't
//	until revision DAEMON N         the daemon applies revision N of the settings
//	until ready DAEMON              the daemon is ready
//	until duties                    every holder of a duty that live daemons see is live
//	until joined VM                 the engine has taken an order to join a group
//	until grouped VM                the VM's row is in the table
//	until group ID                  the group's row is in the table
//	until arrived MARK [N]          N requests reached endpoints since MARK
//	until refused                   a request of a flood was rejected
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	s := sessionOf(ts)
	condition := s.condition(ts, args)
	failOn(ts, world.Wait(strings.Join(args, " "), func() bool { return condition() != neg }))
}

func (s *session) condition(ts *testscript.TestScript, args []string) func() bool {
	switch args[0] {
	case "groups":
		d := s.daemon(ts, args[1])
		want := parseInt(ts, args[2], 0)
		return func() bool { return d.PresentGroups("arbiter-lm") == want }
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
			want = parseInt(ts, args[2], 1)
		}
		return func() bool { return len(s.world.Record.Arrivals(s.marks[args[1]])) >= want }
	case "refused":
		return s.floodRejected.Load
	case "duties":
		return s.dutyHoldersLive
	}
	ts.Fatalf("until: unknown condition %q", args)
	return nil
}

// dutyHoldersLive reports whether live daemons see duties held, and none of them by a
// daemon that is down.
func (s *session) dutyHoldersLive() bool {
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

// cmdExpect checks what the stand-ins recorded:
//
//	expect runs NAME N          the request with the key ran N times
//	expect nothing-doubled      no key ran twice
//	expect whole-since MARK     no request reached an incomplete group later than
//	                            maxInFlight after MARK
//	expect quiet VM MARK AFTER  no request reached the VM later than AFTER past MARK
//	expect left-alone           no request reached a VM later than maxLeavingDelay
//	                            after it was marked as leaving
//	expect one-group            no VM is in two groups, neither by the table's rows nor
//	                            by the orders that engines accepted
//	expect fast MARK DURATION   MARK is at most DURATION ago
//	expect some-sent MARK       at least one request reached an endpoint since MARK
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	record := s.world.Record
	switch args[0] {
	case "runs":
		if got := record.RunCount(s.key(args[1])); got != parseInt(ts, args[2], 0) {
			ts.Fatalf("%s ran %d times, want %s", args[1], got, args[2])
		}
	case "nothing-doubled":
		if doubled := record.RepeatedKeys(); len(doubled) > 0 {
			ts.Fatalf("keys that ran more than once: %v", doubled)
		}
	case "whole-since":
		s.expectWhole(ts, args[1])
	case "quiet":
		s.expectQuiet(ts, args[1], s.marks[args[2]].Add(parseDuration(ts, args[3])))
	case "left-alone":
		s.expectLeftAlone(ts)
	case "one-group":
		s.expectOneGroup(ts)
	case "fast":
		if took := time.Since(s.marks[args[1]]); took > parseDuration(ts, args[2]) {
			ts.Fatalf("took %v, want %s at most", took, args[2])
		}
	case "some-sent":
		if len(record.Arrivals(s.marks[args[1]])) == 0 {
			ts.Fatalf("no request reached an endpoint")
		}
	default:
		ts.Fatalf("expect: unknown check %q", args)
	}
}

// maxInFlight is how long after the loss of a member requests may still reach its
// group: daemons need that long to detect the loss, and requests to arrive.
const maxInFlight = 2500 * time.Millisecond

func (s *session) expectWhole(ts *testscript.TestScript, mark string) {
	since := s.marks[mark]
	latest := time.Duration(0)
	for _, a := range s.world.Record.Arrivals(since) {
		if a.Complete || a.Group == "" {
			continue
		}
		latest = max(latest, a.Time.Sub(since))
	}
	ts.Logf("last request to an incomplete group: %v after %s", latest.Round(time.Millisecond), mark)
	if latest > maxInFlight {
		ts.Fatalf("an incomplete group was sent a request %v after %s", latest, mark)
	}
}

func (s *session) expectQuiet(ts *testscript.TestScript, vm string, after time.Time) {
	for _, a := range s.world.Record.Arrivals(after) {
		if a.VM == vm {
			ts.Fatalf("%s was sent a request %v too late", vm, a.Time.Sub(after))
		}
	}
}

// maxLeavingDelay is how long after an endpoint was marked as leaving it may still be
// sent new requests.
const maxLeavingDelay = 3 * time.Second

func (s *session) expectLeftAlone(ts *testscript.TestScript) {
	latest := time.Duration(0)
	for _, a := range s.world.Record.Arrivals(time.Time{}) {
		if !a.LeavingSince.IsZero() {
			latest = max(latest, a.Time.Sub(a.LeavingSince))
		}
	}
	ts.Logf("last new request to a leaving endpoint: %v after it was marked", latest.Round(time.Millisecond))
	if latest > maxLeavingDelay {
		ts.Fatalf("a leaving endpoint was sent a new request %v after it was marked", latest)
	}
}

// expectOneGroup checks that the rows of groups and VMs agree, and that no engine
// accepted an order with an older epoch than one before.
func (s *session) expectOneGroup(ts *testscript.TestScript) {
	groupOf := map[string]string{}
	for _, key := range s.world.Platform.Keys("control/group/") {
		var g struct {
			Members []string `json:"members"`
		}
		s.world.Platform.Value(key, &g)
		for _, vm := range g.Members {
			if other, taken := groupOf[vm]; taken {
				ts.Fatalf("%s is a member of %s and of %s", vm, other, key)
			}
			groupOf[vm] = key
		}
	}
	for _, key := range s.world.Platform.Keys("control/vm/") {
		vm := strings.TrimPrefix(key, "control/vm/")
		var row struct {
			Group string `json:"group"`
		}
		s.world.Platform.Value(key, &row)
		if groupOf[vm] != "control/group/"+row.Group {
			ts.Fatalf("%s is a member of %q, but its row names group %q", vm, groupOf[vm], row.Group)
		}
		delete(groupOf, vm)
	}
	if len(groupOf) > 0 {
		ts.Fatalf("members of groups that have no VM row: %v", groupOf)
	}
	lastEpoch := map[string]uint64{}
	for _, o := range s.world.Record.Orders() {
		if !o.Accepted {
			continue
		}
		if o.Epoch < lastEpoch[o.VM] {
			ts.Fatalf("%s accepted an order of epoch %d after one of epoch %d", o.VM, o.Epoch, lastEpoch[o.VM])
		}
		lastEpoch[o.VM] = o.Epoch
	}
}
