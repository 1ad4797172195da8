package replica

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/histories"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// checksFlag asks for more histories than CI plays.
var checksFlag = flag.String("histories", "", "number of random histories of the order protocol")

func TestMain(m *testing.M) {
	flag.Parse()
	if *checksFlag != "" {
		flag.Set("rapid.checks", *checksFlag)
		os.Exit(m.Run())
	}
	os.Exit(histories.Run(m))
}

// holder is one process that gives orders in the world.
type holder struct {
	planner *Planner
	pending []reply
	// pausedUntil is until when the process stands still; its orders that were
	// decided before go out when it wakes.
	pausedUntil time.Time
	frozen      []Order
	// storeBack is when the store came back.
	storeBack time.Time
	// halls are those that are closed.
	halls closedHalls
	// offered is what callers ask for, nil if nobody tells, and region tells where halls are.
	offered load.Offered
	region  func(hall string) string
	// fate, if set, draws what becomes of orders where all else is calm.
	fate func(o Order) fate
}

// sum is what daemons tell of the work that callers ask for.
func (h *holder) sum(now time.Time) load.Sum {
	if h.offered == nil {
		return load.Sum{}
	}
	return load.Sum{Offered: h.offered, Daemons: 1, At: now}
}

// takeResults tells the planner what came of orders by now.
func (h *holder) takeResults(now time.Time) {
	var rest []reply
	for _, r := range h.pending {
		if r.at.After(now) {
			rest = append(rest, r)
			continue
		}
		h.planner.Result(now, r.order, r.outcome)
	}
	h.pending = rest
}

// order sends an order to its worker.
func (h *holder) order(w *world, o Order) reply {
	if h.fate == nil {
		return reply{order: o, outcome: w.send(o, fateTaken, 0)}
	}
	r := reply{at: w.now.Add(worldTick), order: o, outcome: w.send(o, h.fate(o), 5*time.Second)}
	if r.outcome == Unanswered {
		r.at = w.now.Add(orderTimeout)
	}
	return r
}

type reply struct {
	at      time.Time
	order   Order
	outcome Outcome
}

// play is one random history.
type play struct {
	t       *rapid.T
	w       *world
	term    uint64
	holders []*holder // the last one holds the lease
	idle    bool
	halls   closedHalls
}

var testCeiling = LoadCeiling{Window: 5 * time.Second, Overrun: 1.1}

func (p *play) newHolder() {
	p.term++
	p.holders = append(p.holders, &holder{planner: NewPlanner(p.term, testCeiling)})
}

// trouble makes something go wrong in about percent of the ticks.
func (p *play) trouble(percent int) {
	if rapid.IntRange(0, 99).Draw(p.t, "luck") >= percent {
		return
	}
	ids := p.w.ids()
	if len(ids) == 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(p.t, "who")]
	e := p.w.engines[id]
	switch rapid.IntRange(0, 8).Draw(p.t, "what") {
	case 8: // the operator closes the worker's hall, or opens it again
		p.halls[e.worker.Hall] = !p.halls[e.worker.Hall]
	case 7: // a worker did not answer, dead or not
		p.holders[len(p.holders)-1].planner.Unreachable(p.w.now, id)
	case 0:
		if len(ids) > 6 && e.dead.IsZero() {
			e.dead = p.w.now
		}
	case 1:
		if e.dead.IsZero() {
			e.worker.Draining = true
			p.w.tell(e, p.lag())
		}
	case 2:
		p.w.add(e.worker.Domain, p.lag())
	case 3: // the lease moves; the last holder ends
		p.holders = nil
		p.newHolder()
	case 4: // the lease moves while the holder is paused; it wakes later
		h := p.holders[len(p.holders)-1]
		h.pausedUntil = p.w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(p.t, "pause")) * time.Second)
		h.frozen = p.plan(h)
		p.holders = []*holder{h}
		p.newHolder()
	case 5:
		p.idle = false
	case 6: // a row comes late
		p.w.tell(e, p.lag())
	}
}

// restarts has a worker start again under its id in about percent of the ticks.
func (p *play) restarts(percent int) {
	if rapid.IntRange(0, 99).Draw(p.t, "restart") >= percent {
		return
	}
	ids := p.w.ids()
	e := p.w.engines[ids[rapid.IntRange(0, len(ids)-1).Draw(p.t, "which")]]
	if e.dead.IsZero() {
		p.w.restart(e, rapid.Bool().Draw(p.t, "back"), p.lag())
	}
}

func (p *play) lag() time.Duration {
	return time.Duration(rapid.IntRange(0, 12).Draw(p.t, "lag")) * worldTick
}

// act lets a process take in replies and give its orders.
func (p *play) act(h *holder) {
	if p.w.now.Before(h.pausedUntil) {
		return
	}
	if h != p.holders[len(p.holders)-1] { // woken without the lease: what was decided goes out, then it ends
		p.give(h, h.frozen)
		p.holders = p.holders[1:]
		return
	}
	h.takeResults(p.w.now)
	p.give(h, p.plan(h))
}

func (p *play) plan(h *holder) []Order {
	return h.planner.Plan(Situation{Now: p.w.now, View: p.w.view, Services: []*catalog.Service{p.w.service}, Idle: p.idle, Failing: p.failing, Halls: p.halls})
}

// failing draws whether the holder has requests at a group that fail.
func (p *play) failing(group string) bool {
	return p.w.failing(group) && rapid.Bool().Draw(p.t, "noticed")
}

func (p *play) give(h *holder, orders []Order) {
	for _, o := range orders {
		f := fateTaken
		if rapid.IntRange(0, 9).Draw(p.t, "ordered") == 0 {
			f = fate(rapid.IntRange(0, 4).Draw(p.t, "fate"))
		}
		delay := time.Duration(rapid.IntRange(2000, 12000).Draw(p.t, "late")) * time.Millisecond
		outcome := p.w.send(o, f, delay)
		wait := worldTick
		if outcome == Unanswered {
			wait = orderTimeout
		}
		h.pending = append(h.pending, reply{at: p.w.now.Add(wait), order: o, outcome: outcome})
	}
}

// requests has requests run wherever a reader of the rows would send them.
func (p *play) requests() {
	for _, g := range p.w.view.Groups() {
		model, known := p.w.service.Runtime.Model(g.ID.Model())
		head, found := g.Head()
		if known && found && g.Whole && g.Size() == model.Size && head.Membership.State == workers.Open {
			p.w.request(head.ID)
		}
	}
}

func stages(orders []Order) []Order {
	return slices.DeleteFunc(orders, func(o Order) bool { return o.Op != Stage })
}
