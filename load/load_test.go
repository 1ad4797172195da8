package load

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
)

var (
	noon = time.Unix(43200, 0)
	chat = Model{Service: "llm", Name: "chat"}
)

// TestMeter_FindsTheRate asks for 30 ms of work ten times a second.
func TestMeter_FindsTheRate(t *testing.T) {
	m := NewMeter()
	now := noon
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		m.Ask(now, chat, 30*time.Millisecond)
	}
	must.Between(t, 0.28, m.Offered(now)[chat], 0.33)
	must.Between(t, 0.10, m.Offered(now.Add(memory))[chat], 0.12) // 0.37 of it
}

func TestMeter_IsBounded(t *testing.T) {
	m := NewMeter()
	for i := range 10 * mostModels {
		m.Ask(noon, Model{Service: "llm", Name: string(rune('a' + i))}, time.Second)
	}
	must.MapLen(t, mostModels, m.Offered(noon))
}

// TestGatherer_AddsUpWhatCounts: a daemon that stopped telling no longer counts.
func TestGatherer_AddsUpWhatCounts(t *testing.T) {
	g := NewGatherer()
	g.Take("a", Sum{Offered: Offered{chat: 1}, Daemons: 1, At: noon}, 40)
	g.Take("b", Sum{Offered: Offered{chat: 5}, Daemons: 29, At: noon.Add(2 * time.Second)}, 40)
	g.Take("b", Sum{Offered: Offered{chat: 6}, Daemons: 30, At: noon.Add(2 * time.Second)}, 40)
	s := g.Total(noon.Add(reportLife), Offered{chat: 0.5})
	must.EqOp(t, 7.5, s.Offered[chat])
	must.EqOp(t, 32, s.Daemons)
	s = g.Total(noon.Add(reportLife+time.Second), Offered{chat: 0.5})
	must.EqOp(t, 6.5, s.Offered[chat])
	must.EqOp(t, 31, s.Daemons)
}

func TestSum_Fresh(t *testing.T) {
	must.False(t, Sum{}.Fresh(noon))
	s := Sum{Daemons: 1, At: noon}
	must.True(t, s.Fresh(noon.Add(reportLife)))
	must.False(t, s.Fresh(noon.Add(reportLife+1)))
}

// TestGatherer_LeavesOutSumsOverTooMany has two daemons tell each other.
func TestGatherer_LeavesOutSumsOverTooMany(t *testing.T) {
	const daemons = 3
	a, b := NewGatherer(), NewGatherer()
	here := Offered{chat: 1}
	for range 20 {
		b.Take("a", a.Total(noon, here), daemons)
		a.Take("b", b.Total(noon, here), daemons)
	}
	must.LessEq(t, daemons+1, a.Total(noon, here).Daemons)
	must.LessEq(t, daemons+1, b.Total(noon, here).Daemons)
}

func TestSum_Covers(t *testing.T) {
	must.False(t, Sum{Daemons: 1}.Covers(89))
	must.False(t, Sum{Daemons: 53}.Covers(89))
	must.True(t, Sum{Daemons: 54}.Covers(89))
	must.True(t, Sum{Daemons: 1}.Covers(1))
}

// TestMeter_SetsOfRegionsComeAndGo: a full meter counts further sets of regions as work
// that may run anywhere, and has room again for those of the day after.
func TestMeter_SetsOfRegionsComeAndGo(t *testing.T) {
	m := NewMeter()
	now := noon
	for day := range 3 {
		m.Ask(now, chat, time.Second)
		for i := range 2 * mostModels {
			m.Ask(now, bound(chat, day*1000+i), time.Second)
		}
		o := m.Offered(now)
		must.MapLen(t, mostModels, o)
		must.Between(t, mostModels, o[chat], mostModels+3)
		now = now.Add(time.Minute)
	}
}

// TestOffered_IsBounded: sums over many daemons hold no more models than one does.
func TestOffered_IsBounded(t *testing.T) {
	g := NewGatherer()
	for daemon := range 10 {
		o := Offered{}
		for i := range mostModels / 2 {
			o[bound(chat, 100*daemon+i)] = 1
		}
		g.Take(strconv.Itoa(daemon), Sum{Offered: o, Daemons: 1, At: noon}, 10)
	}
	total := g.Total(noon, Offered{}).Offered
	must.LessEq(t, mostModels+1, len(total))
	must.EqOp(t, 10*mostModels/2-mostModels, total[chat])
}

func bound(m Model, region int) Model {
	m.Regions = catalog.NewRegionSet([]string{strconv.Itoa(region)})
	return m
}

// TestOffered_BesideIsWhatTheSameGroupsHaveToDo: work bound to other regions doesn't count.
func TestOffered_BesideIsWhatTheSameGroupsHaveToDo(t *testing.T) {
	in := func(regions ...string) Model {
		return Model{Service: "llm", Name: "chat", Regions: catalog.NewRegionSet(regions)}
	}
	o := Offered{in(): 1, in("north"): 2, in("south"): 4, in("north", "south"): 8, {Service: "llm", Name: "draft"}: 100}
	must.EqOp(t, 11, o.Beside(in("north")))
	must.EqOp(t, 13, o.Beside(in("south")))
	must.EqOp(t, 15, o.Beside(in()))
}

// TestGatherer_AmongAddsUpAPart: what one hall's daemons report, and what is asked for here.
func TestGatherer_AmongAddsUpAPart(t *testing.T) {
	g := NewGatherer()
	g.Take("a", Sum{Offered: Offered{chat: 1}, Daemons: 1, At: noon}, 40)
	g.Take("b", Sum{Offered: Offered{chat: 5}, Daemons: 1, At: noon}, 40)
	notB := func(reporter string) bool { return reporter != "b" }
	must.EqOp(t, 1.5, g.Among(noon, Offered{chat: 0.5}, notB)[chat])
	must.EqOp(t, 0.5, g.Among(noon.Add(reportLife+1), Offered{chat: 0.5}, notB)[chat])
}
