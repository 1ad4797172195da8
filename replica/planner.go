package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// Bounds of the order protocol.
const (
	// rowLag is how long a worker's row may take to tell what an order did.
	rowLag = 2500 * time.Millisecond
	// unansweredPause is how long after an order without an answer it is repeated.
	unansweredPause = 150 * time.Millisecond
	// openAgain is how long an open order may take to show.
	openAgain = 2 * time.Second
	// drainPatience is how long the requests of a closing group may take.
	drainPatience = 9 * time.Second
	// lostPatience is how long a group that goes on serving is kept though the
	// entry of a member is gone, and headPatience how long one whose head's entry
	// is gone, which gets nothing new, may end what it has.
	lostPatience = 15 * time.Second
	headPatience = 2500 * time.Millisecond
	// entriesBack is how long after the store's return the entries of workers that
	// live take to come back. Those still missing then are gone.
	entriesBack = 2500 * time.Millisecond
	// leavePatience is how long workers that were told to leave their group count as
	// free soon.
	leavePatience = 3 * time.Second
	// settlePause is how long no further worker must have been listed before the
	// first groups are formed, and mostSettling how long that is waited for.
	settlePause  = 500 * time.Millisecond
	mostSettling = 5 * time.Second
	// movePause is how long the number of workers must not have changed by more than
	// movePart, as a part of it, before groups are given up for others. The entries of a
	// data hall's 57 VMs went over 1.3 s: midway one model seemed to lack groups and then
	// the other, and three groups of what was left were given up for nothing, in the
	// seconds of the most work. Crashes of single VMs don't count, nor do releases, which
	// replace some at a time.
	movePause = time.Second
	movePart  = 0.1
	// probeWait is how long the members of a failing group may take to be asked: two
	// tries of 300 ms, and as long as a report takes.
	probeWait = 900 * time.Millisecond
	// refusalPause is how long a worker that refused an order is left alone.
	refusalPause = 3 * time.Second
	// unreachablePause is how long a worker that did not answer is left out.
	unreachablePause = 6 * time.Second
	// formSlack is added to how long the members of a group may take to load.
	formSlack = 8 * time.Second
	// mostJoins is how often one member is asked to join one group.
	mostJoins = 8
	// epochsPerTerm is how many groups one term of the lease may form.
	epochsPerTerm = 10000
)

// LoadCeiling bounds how many loads from the weight store may begin within a
// window.
type LoadCeiling struct {
	Window  time.Duration
	Overrun float64
	Extra   int
}

// Planner decides on orders during one term of the lease. It is a state machine:
// it reads no clock, starts nothing and gives no orders itself.
type Planner struct {
	term    uint64
	formed  uint64
	ceiling LoadCeiling

	// known is how many workers were listed last, grown when there came to be more,
	// and begun when the first plan was made.
	known        int
	grown, begun time.Time
	// steady is how many workers were listed when that last changed by much, at moved.
	steady int
	moved  time.Time

	forming map[workers.GroupID]*formation
	records map[string]*record
	seen    map[workers.GroupID]time.Time // when a group was first seen unfinished
	closing map[workers.GroupID]time.Time // when a group was first seen with a leaving member
	loads   []weightLoad
	// retiring are whole groups that give their workers to another model, with
	// the time since when.
	retiring map[workers.GroupID]time.Time
	// demand is what callers ask for now, and lasting what in the longer run.
	demand, lasting *demand
	// plans counts the plans made.
	plans int
	// failingFrom is since when groups with lost members fail requests.
	failingFrom map[workers.GroupID]time.Time
	// dissolving are the groups told to be dissolved, with the time since when, and
	// endings those that are still to be logged.
	dissolving map[workers.GroupID]time.Time
	endings    []Ending
}

// weightLoad is a load of weights that this planner began.
type weightLoad struct {
	worker string
	model  string
	begun  time.Time
	length time.Duration
	// done tells that the worker's host was seen with the model. It may lose it
	// again before the load is forgotten.
	done bool
}

// Situation is what a plan looks at.
type Situation struct {
	Now      time.Time
	View     *workers.View
	Services []*catalog.Service
	// Idle tells that nobody has been served yet, so that loads disturb nobody.
	Idle bool
	// Failing tells whether a group has failed requests of ours since it last sent
	// anything.
	Failing func(group string) bool
	// StoreBack is when the store last answered again after it had not, the zero
	// time if it always has.
	StoreBack time.Time
	// Load is what callers ask for, the zero value if that isn't known.
	Load load.Sum
	// Halls tells which data halls are open to requests. Nil stands for all.
	Halls Halls
	// Region returns the region of a data hall, "" if it isn't known; nil puts all halls
	// in one.
	Region func(hall string) string
	// ColdLeft returns how much longer a worker bears little since it has just started,
	// 0 if it is warm. Nil stands for workers that all are.
	ColdLeft func(worker string) time.Duration
}

// record is what the planner knows of a worker beside its row.
type record struct {
	// born is the start of the worker that this is about, 0 if its entry doesn't tell.
	born int64
	// restarted tells that the worker has started again under its id, and that its host
	// was not asked to load anything since: what is staged there may be for another group
	// than the one that the worker's end left a place in.
	restarted    bool
	inFlight     bool
	last         Order
	lastAt       time.Time
	outcome      Outcome
	missed       int             // how many orders in a row got no answer
	left         workers.GroupID // a leave that was confirmed
	leaveBegun   time.Time       // when the worker was first told to leave its group
	joined       workers.GroupID // a join that was accepted
	blockedUntil time.Time
	// unreachableUntil is until when the worker counts as dead, since it did not
	// answer while its group failed requests.
	unreachableUntil time.Time
	// heardAt is when the worker last answered when it was asked.
	heardAt time.Time
	// staged is the model that the host was last asked to load, and when.
	staged   string
	stagedAt time.Time
}

// NewPlanner returns a planner for a term. It knows nothing of the loads that an
// earlier term began.
func NewPlanner(term uint64, ceiling LoadCeiling) *Planner {
	return &Planner{
		term:    term,
		ceiling: ceiling,
		forming: map[workers.GroupID]*formation{},
		records: map[string]*record{},
		seen:    map[workers.GroupID]time.Time{},
		closing: map[workers.GroupID]time.Time{},

		retiring: map[workers.GroupID]time.Time{},
		demand:   newDemand(demandMemory),
		lasting:  newDemand(lastingMemory),

		failingFrom: map[workers.GroupID]time.Time{},
		dissolving:  map[workers.GroupID]time.Time{},
	}
}

// Bound puts another bound on loads in force, from the next plan on. Loads are known for
// as long as the bounds before asked.
func (p *Planner) Bound(ceiling LoadCeiling) { p.ceiling = ceiling }

// Term returns the planner's term.
func (p *Planner) Term() uint64 { return p.term }

// Plan returns the orders to give now. All of them count as under way until
// Result tells what came of them.
func (p *Planner) Plan(s Situation) []Order {
	r := p.newRound(s)
	p.plans++
	p.forget(s.View, s.Now)
	p.noteStarts(s.View)
	p.forgetRetired(s.View)
	p.forgetEndings(s.Now)
	r.noteLoads()
	p.noteGrowth(s.View, s.Now)
	p.demand.note(s.Now, s.Load)
	p.lasting.note(s.Now, s.Load)
	for _, service := range s.Services {
		r.service = service
		r.advanceFormations()
		r.tendGroups()
		for _, region := range r.regionsOf(service.Name) {
			r.region = region
			r.formGroups()
			r.stage()
		}
	}
	return r.orders
}

// noteGrowth notes when workers were listed that were not before, and when their number
// changed by much.
func (p *Planner) noteGrowth(view *workers.View, now time.Time) {
	if p.begun.IsZero() {
		p.begun = now
	}
	if view.Len() > p.known {
		p.grown = now
	}
	p.known = view.Len()
	if math.Abs(float64(p.known-p.steady)) > movePart*float64(p.steady) {
		p.steady = p.known
		p.moved = now
	}
}

// settled tells whether the list of workers seems complete. Before anybody is
// served it grows for seconds; groups formed of the first that are listed would be
// those that need few workers, and would have to be given up again.
func (r *round) settled() bool {
	return !r.idle || r.now.Sub(r.grown) >= settlePause || r.now.Sub(r.begun) >= mostSettling
}

// Result takes in what came of an order.
func (p *Planner) Result(now time.Time, o Order, outcome Outcome) {
	rec := p.record(o.Worker.ID)
	if workers.Restarted(o.Worker, workers.Worker{Born: rec.born}) {
		return // an earlier start of the worker took the order, or didn't
	}
	rec.inFlight = false
	if outcome == Withheld {
		rec.withhold(o)
		return
	}
	rec.noteAnswer(outcome != Unanswered)
	if o.Op == Stage {
		return
	}
	rec.outcome = outcome
	rec.lastAt = now
	switch {
	case o.Op == Leave && (outcome == Holds || outcome == Unfit || outcome == Begun):
		rec.left = o.Group
	case o.Op == Join && (outcome == Begun || outcome == Holds):
		rec.joined = o.Group
	case o.Op == Join && outcome != Unanswered:
		rec.blockedUntil = now.Add(refusalPause)
		p.abandon(o.Group)
	}
}

// withhold takes back that an order was given, since it was never sent.
func (rec *record) withhold(o Order) {
	if o.Op == Stage {
		rec.staged = ""
		return
	}
	rec.lastAt = time.Time{}
}

func (rec *record) noteAnswer(answered bool) {
	rec.missed++
	if answered {
		rec.missed = 0
	}
}

// doubts tells whether a worker did not answer the last order that it was sent.
func (p *Planner) doubts(worker string) bool { return p.record(worker).missed > 0 }

// Unreachable notes that a worker did not answer though it was asked more than
// once. Its group is dissolved if it fails requests, and the worker joins none for
// a while, before its entry goes.
func (p *Planner) Unreachable(now time.Time, id string) {
	p.record(id).unreachableUntil = now.Add(unreachablePause)
}

// Heard notes that a worker answered when it was asked.
func (p *Planner) Heard(now time.Time, id string) { p.record(id).heardAt = now }

// abandon gives up a group that is being formed. Members that have joined are
// then dealt with as those of any unfinished group.
func (p *Planner) abandon(id workers.GroupID) {
	if _, ok := p.forming[id]; !ok {
		return
	}
	delete(p.forming, id)
	p.seen[id] = time.Time{}
}

// recordLife is how long what is known of a worker that isn't listed is kept after the
// last order or answer.
const recordLife = time.Minute

// noteStarts drops what is known of earlier starts of workers: orders that they took or were
// given, memberships that they left, loads, whether they answered.
func (p *Planner) noteStarts(view *workers.View) {
	for id, rec := range p.records {
		w, listed := view.Worker(id)
		if !listed || !workers.Restarted(workers.Worker{Born: rec.born}, w) {
			continue
		}
		p.records[id] = &record{born: w.Born, restarted: true}
		p.endLoads(id)
	}
}

// endLoads notes that the loads of a worker's host ended with the worker.
func (p *Planner) endLoads(worker string) {
	for i := range p.loads {
		if p.loads[i].worker == worker {
			p.loads[i].done = true
		}
	}
}

// forget drops what is known of workers that are gone.
func (p *Planner) forget(view *workers.View, now time.Time) {
	for id, rec := range p.records {
		if _, listed := view.Worker(id); !listed && !rec.inFlight && now.Sub(rec.latest()) > recordLife {
			delete(p.records, id)
		}
	}
}

// latest returns when the worker was last given an order or asked whether it is there.
func (rec *record) latest() time.Time {
	latest := rec.lastAt
	for _, at := range []time.Time{rec.heardAt, rec.unreachableUntil} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// forgetRetired drops retired groups that are gone.
func (p *Planner) forgetRetired(view *workers.View) {
	for id := range p.retiring {
		if !slices.ContainsFunc(view.Groups(), func(g *workers.Group) bool { return g.ID == id }) {
			delete(p.retiring, id)
		}
	}
}

func (p *Planner) record(id string) *record {
	rec, ok := p.records[id]
	if !ok {
		rec = &record{}
		p.records[id] = rec
	}
	return rec
}
