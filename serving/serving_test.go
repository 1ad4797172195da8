package serving

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

var noon = time.Unix(1_000_000, 0)

func target(key, hall string) Target {
	return Target{Key: key, Worker: workers.Worker{ID: key, Hall: hall}, Pace: 1, Weight: 1}
}

func TestChoose_LeastWorkThenOwnHall(t *testing.T) {
	b := NewBalancer("z1")
	targets := []Target{target("far", "z2"), target("near", "z1")}
	first, _ := b.Choose(targets, nil, false, noon)
	must.EqOp(t, "near", first.Key)
	second, _ := b.Choose(targets, nil, false, noon)
	must.EqOp(t, "far", second.Key)
	b.Done("near")
	third, _ := b.Choose(targets, nil, false, noon)
	must.EqOp(t, "near", third.Key)
}

// TestChoose_WorkWhereFewMaySendCountsLess: a daemon that sends to a cold worker for three
// others gives it four of five requests, wherever it is.
func TestChoose_WorkWhereFewMaySendCountsLess(t *testing.T) {
	b := NewBalancer("z1")
	cold := target("cold", "z2")
	cold.Weight = 0.25
	targets := []Target{target("warm", "z1"), cold}
	n := map[string]int{}
	for range 50 {
		chosen, _ := b.Choose(targets, nil, false, noon)
		n[chosen.Key]++
	}
	must.Between(t, 38, n["cold"], 42)
	b.Fail("cold", noon)
	chosen, _ := b.Choose(targets, nil, false, noon)
	must.EqOp(t, "warm", chosen.Key, must.Sprint("suspicion counts in full"))
}

func TestChoose_LeavesOutTriedAndSuspectTargets(t *testing.T) {
	b := NewBalancer("z1")
	targets := []Target{target("a", "z1"), target("b", "z1")}
	b.Fail("a", noon)
	for range 10 {
		chosen, ok := b.Choose(targets, nil, false, noon)
		must.True(t, ok)
		must.EqOp(t, "b", chosen.Key)
	}
	chosen, ok := b.Choose(targets, []string{"b"}, false, noon)
	must.True(t, ok)
	must.EqOp(t, "a", chosen.Key, must.Sprint("a suspect is better than none"))
	_, ok = b.Choose(targets, []string{"a", "b"}, false, noon)
	must.False(t, ok)
	chosen, _ = b.Choose(targets, nil, false, noon.Add(mostSuspicion))
	must.EqOp(t, "a", chosen.Key, must.Sprint("suspicion ends"))
}

// TestChoose_AStartUnderTheSameIDIsNotSuspect of what the earlier one failed at.
func TestChoose_AStartUnderTheSameIDIsNotSuspect(t *testing.T) {
	b := NewBalancer("z1")
	before, after, other := target("a", "z1"), target("a", "z1"), target("b", "z2")
	before.Worker.Born = 2000
	after.Worker.Born = 1000 // its clock has stepped back
	_, ok := b.Choose([]Target{before}, nil, false, noon)
	must.True(t, ok)
	b.Fail("a", noon)
	b.Done("a")
	chosen, _ := b.Choose([]Target{before, other}, nil, false, noon)
	must.EqOp(t, "b", chosen.Key)
	b.Done("b")
	chosen, _ = b.Choose([]Target{after, other}, nil, false, noon)
	must.EqOp(t, "a", chosen.Key)
	must.SliceEmpty(t, b.Suspects(noon))
}

func TestFail_SuspicionGrowsAndEndsWithASign(t *testing.T) {
	b := NewBalancer("z1")
	now := noon
	for _, want := range []time.Duration{1, 2, 4, 4} {
		b.Fail("a", now)
		must.Eq(t, []string{"a"}, b.Suspects(now.Add(want*time.Second-time.Millisecond)))
		now = now.Add(want * time.Second)
		must.SliceEmpty(t, b.Suspects(now))
	}
	b.Sign("a", now, time.Millisecond, false)
	b.Fail("a", now)
	must.SliceEmpty(t, b.Suspects(now.Add(firstSuspicion)))
}

// TestRefused_ARefusingTargetIsNotTheLeastBusy: others have much under way, which a target
// that refuses never has.
func TestRefused_ARefusingTargetIsNotTheLeastBusy(t *testing.T) {
	b := NewBalancer("h1")
	targets := []Target{{Key: "refuses", Weight: 1}, {Key: "works", Weight: 1}}
	for range 10 {
		b.Choose(targets, []string{"refuses"}, true, noon)
	}
	const asked = 100
	refused := 0
	for i := range asked { // for ten seconds
		now := noon.Add(time.Duration(i) * 100 * time.Millisecond)
		target, _ := b.Choose(targets, nil, true, now)
		b.Done(target.Key)
		if target.Key == "refuses" {
			b.Refused(target.Key, now)
			refused++
		}
	}
	must.Between(t, 1, refused, asked/10)
	b.Accepted("refuses")
	now := noon.Add(time.Minute)
	target, _ := b.Choose(targets, nil, true, now)
	must.EqOp(t, "refuses", target.Key, must.Sprint("it is tried again"))
	b.Refused(target.Key, now)
	target, _ = b.Choose(targets, nil, true, now.Add(fullRetry))
	must.EqOp(t, "refuses", target.Key, must.Sprint("one refusal after it took some counts little"))
	_, found := b.Choose(targets[:1], nil, true, now)
	must.True(t, found, must.Sprint("trying one is better than refusing"))
}

func TestError_FailuresInARowMakeSuspect(t *testing.T) {
	b := NewBalancer("z1")
	b.Error("a", 3, noon)
	b.Error("a", 3, noon)
	b.Answered("a")
	b.Error("a", 3, noon)
	b.Error("a", 3, noon)
	must.SliceEmpty(t, b.Suspects(noon))
	now := noon
	for _, want := range []time.Duration{2, 4, 8, 8} {
		b.Error("a", 3, now)
		must.Eq(t, []string{"a"}, b.Suspects(now.Add(want*time.Second-time.Millisecond)))
		now = now.Add(want * time.Second)
		must.SliceEmpty(t, b.Suspects(now))
	}
	b.Sign("a", now, time.Millisecond, false)
	b.Error("a", 3, now)
	must.SliceEmpty(t, b.Suspects(now))
}

func TestPatience_FollowsWhatIsUsual(t *testing.T) {
	b := NewBalancer("z1")
	_, between := b.Patience("a")
	must.EqOp(t, leastSilence, between)
	for range 100 {
		b.Sign("a", noon, 100*time.Millisecond, false)
		b.Sign("a", noon, 440*time.Millisecond, true)
	}
	start, between := b.Patience("a")
	must.Between(t, 380*time.Millisecond, between, 400*time.Millisecond)
	must.Between(t, 1050*time.Millisecond, start, 1100*time.Millisecond)
}

// TestPatience_IsLongWithTargetsThatAreSlow: groups that all have too much to do send
// an event every 250 ms. They are not dead, and moving their streams has the prompts
// read again elsewhere.
func TestPatience_IsLongWithTargetsThatAreSlow(t *testing.T) {
	b := NewBalancer("z1")
	for range 100 {
		b.Sign("a", noon, 250*time.Millisecond, false)
		b.Sign("a", noon, time.Second, true)
	}
	start, between := b.Patience("a")
	must.Between(t, 950*time.Millisecond, between, time.Second)
	must.Between(t, 2400*time.Millisecond, start, 2500*time.Millisecond)
	for range 100 {
		b.Sign("a", noon, time.Minute, false)
		b.Sign("a", noon, time.Minute, true)
	}
	start, between = b.Patience("a")
	must.EqOp(t, mostSilence, between)
	must.EqOp(t, mostStart, start)
}

func group(model string, epoch uint64, headState workers.GroupState, size int) []workers.Worker {
	var list []workers.Worker
	for rank := range size {
		state := workers.Ready
		if rank == 0 {
			state = headState
		}
		id := workers.NewGroupID(model, epoch)
		list = append(list, workers.Worker{ID: id.Name + string(rune('a'+rank)), Service: "llm", Membership: workers.Membership{Group: id, Rank: rank, State: state}})
	}
	return list
}

func TestTargets_OnlyWholeOpenGroupsOfTheModel(t *testing.T) {
	service := &catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{{Name: "m", Size: 2}, {Name: "n", Size: 2}}}}
	var all []workers.Worker
	all = append(all, group("m", 1, workers.Open, 2)...)
	all = append(all, group("m", 2, workers.Ready, 2)...)
	all = append(all, group("m", 3, workers.Open, 1)...)
	all = append(all, group("n", 4, workers.Open, 2)...)
	draining := group("m", 5, workers.Open, 2)
	draining[1].Draining = true
	all = append(all, draining...)
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply(all, nil, true)
	targets := Targets(registry.View(), service, "m")
	must.Len(t, 1, targets)
	must.EqOp(t, "m.1", targets[0].Key)
	must.SliceEmpty(t, Targets(registry.View(), service, "unknown"))
}

func TestTargets_PlainWorkersThatStay(t *testing.T) {
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply([]workers.Worker{{ID: "a", Service: "app"}, {ID: "b", Service: "app", Draining: true}, {ID: "c", Service: "other"}}, nil, true)
	targets := Targets(registry.View(), &catalog.Service{Name: "app"}, "")
	must.Len(t, 1, targets)
	must.EqOp(t, "a", targets[0].Key)
}

func TestFollows(t *testing.T) {
	for _, c := range []struct {
		last, next string
		want       bool
	}{{"", "1", true}, {"1", "2", true}, {"1", "3", false}, {"2", "2", false}, {"2", "1", false}, {"9", "x", false}, {"a", "b", true}, {"a", "a", false}} {
		must.EqOp(t, c.want, follows(c.last, c.next), must.Sprint(c))
	}
}

func TestAllowed_TheShorterCounts(t *testing.T) {
	must.EqOp(t, 2*time.Second, allowed(5*time.Second, 2*time.Second))
	must.EqOp(t, time.Second, allowed(time.Second, 2*time.Second))
	must.EqOp(t, longest, allowed(0, 0))
}

// FuzzSplitEvent checks that events come out as they went in, however the bytes
// are cut, and that a stream that ends within an event is an error.
func FuzzSplitEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3)
	f.Add([]byte("data\r\n\r\n\n\nrest"), 1)
	f.Fuzz(func(t *testing.T, data []byte, chunk int) {
		reader := &chunked{data: data, size: max(1, chunk%64)}
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, maxEvent)
		scanner.Split(splitEvent)
		var whole []byte
		for scanner.Scan() {
			event := scanner.Bytes()
			must.True(t, bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")))
			must.StrNotContains(t, eventID(event), "\n")
			whole = append(whole, event...)
		}
		must.True(t, bytes.HasPrefix(data, whole))
		must.EqOp(t, len(whole) == len(data), scanner.Err() == nil)
	})
}

// chunked hands out bytes in pieces.
type chunked struct {
	data []byte
	size int
}

func (c *chunked) Read(into []byte) (int, error) {
	n := min(c.size, len(into), len(c.data))
	if n == 0 {
		return strings.NewReader("").Read(into)
	}
	copy(into, c.data[:n])
	c.data = c.data[n:]
	return n, nil
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 500, 12000} {
		balancer := NewBalancer("z1")
		var targets []Target
		for i := range n {
			targets = append(targets, target(string(rune(i)), "z1"))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				chosen, _ := balancer.Choose(targets, nil, false, noon)
				balancer.Done(chosen.Key)
			}
		})
	}
}
