package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// Timeouts, intervals and limits of the order protocol.
const (
	// rowLag is how long a worker's row may take to show the effect of an order.
	rowLag = 2500 * time.Millisecond
	// unansweredRetryInterval is how long after an unanswered order it is repeated.
	unansweredRetryInterval = 150 * time.Millisecond
	// openRetryInterval is how long an open order may take to show in the head's row.
	openRetryInterval = 2 * time.Second
	// drainTimeout is how long the requests of a closing group may take.
	drainTimeout = 9 * time.Second
	// lostMemberTimeout is how long a group that goes on serving is kept although a member's
	// entry is gone. lostHeadTimeout is how long a group whose head's entry is gone may finish
	// its requests; it gets no new ones.
	lostMemberTimeout = 15 * time.Second
	lostHeadTimeout   = 2500 * time.Millisecond
	// entryRestoreTimeout is how long the entries of live workers may take to come back after
	// the store was unreachable. Entries that are still missing then are treated as gone.
	entryRestoreTimeout = 2500 * time.Millisecond
	// leaveTimeout is how long workers that were ordered to leave their group count as soon to
	// be free.
	leaveTimeout = 3 * time.Second
	// settleDebounce is how long no further worker must have been listed before the first groups
	// are formed. maxSettleTime is the longest wait for that.
	settleDebounce = 500 * time.Millisecond
	maxSettleTime  = 5 * time.Second
	// moveDebounce is how long the number of workers must not have changed by more than
	// moveThreshold, relative to their number, before groups are retired for others. The entries
	// of a data hall's 57 VMs went within 1.3 s: during that time first one model seemed to lack
	// groups and then the other, and three of the remaining groups were retired needlessly, in
	// the seconds of the highest load. Crashes of single VMs stay below the threshold, and so do
	// releases, which replace a few VMs at a time.
	moveDebounce  = time.Second
	moveThreshold = 0.1
	// probeDeadline is how long the probe of a failing group's members may take: two tries of
	// 300 ms each, and the time of a report.
	probeDeadline = 900 * time.Millisecond
	// refusalCooldown is how long a worker gets no orders to join after it refused one.
	refusalCooldown = 3 * time.Second
	// unreachableCooldown is how long a worker that did not answer joins no group.
	unreachableCooldown = 6 * time.Second
	// formSlack is added to the time that the members of a group may take to load.
	formSlack = 8 * time.Second
	// maxJoins is how often one member is ordered to join one group.
	maxJoins = 8
	// epochsPerTerm is the maximum number of groups that one term of the lease may form.
	epochsPerTerm = 10000
)

// Planner decides on the orders of one term of the lease. It is a state machine: it reads no
// clock, starts no goroutine and sends no orders itself.
type Planner struct {
	term    uint64
	formed  uint64
	ceiling LoadCeiling

	// workerCount is how many workers were listed at the last plan, grownAt when that number
	// last grew, and startedAt when the first plan was made.
	workerCount        int
	grownAt, startedAt time.Time
	// baselineCount is the number of workers when it last changed by more than moveThreshold, at
	// movedAt.
	baselineCount int
	movedAt       time.Time

	forming map[workers.GroupID]*formation
	records map[string]*record
	seen    map[workers.GroupID]time.Time // when a group was first seen unfinished
	closing map[workers.GroupID]time.Time // when a group was first seen retired or with a leaving member
	loads   []weightLoad
	// retiring are whole groups that give their workers to another model, with the time since
	// when.
	retiring map[workers.GroupID]time.Time
	// demand is the short-term average of the offered work, and longTerm the long-term one.
	demand, longTerm *demand
	// plans counts the plans made.
	plans int
	// failingSince is since when groups with lost members fail requests.
	failingSince map[workers.GroupID]time.Time
	// dissolving are the groups whose dissolution started, with the time since when. endings are
	// those that are still to be logged.
	dissolving map[workers.GroupID]time.Time
	endings    []Ending
	// rejoins are the workers that came back into a group that they had left, still to be logged.
	rejoins []Rejoin
}

// Situation is the input of a plan.
type Situation struct {
	Now      time.Time
	View     *workers.View
	Services []*catalog.Service
	// Idle reports that no request has been served yet, so that loads slow down no request.
	Idle bool
	// Failing reports whether a group has failed requests of this node since its last response.
	Failing func(group string) bool
	// StoreBack is when the store last became reachable again, the zero time if it always was
	// reachable.
	StoreBack time.Time
	// Load is the work that callers offer, the zero value if it isn't known.
	Load load.Sum
	// Halls reports which data halls are open to requests. If nil, all are open.
	Halls Halls
	// Region returns the region of a data hall, "" if it isn't known. If nil, all halls are in
	// one region.
	Region func(hall string) string
	// ColdLeft returns how much longer a worker has reduced capacity after its start, 0 if it is
	// warm. If nil, all workers are warm.
	ColdLeft func(worker string) time.Duration
}

// record is the planner's state of a worker beside the worker's row.
type record struct {
	// born is the start of the worker that this record is about, 0 if its entry doesn't contain
	// it.
	born int64
	// restarted reports that the worker started again under its id, and that its host was not
	// ordered to load a model since: what is staged there may be for another group than the one
	// that lacks a member since the worker ended.
	restarted    bool
	inFlight     bool
	last         Order
	lastAt       time.Time
	outcome      Outcome
	unanswered   int             // consecutive orders without an answer
	left         workers.GroupID // the group of a confirmed leave, until a newer entry names it
	leftEntry    store.Position  // of the entry by which the worker was ordered to leave
	leaveStarted time.Time       // when the worker was first ordered to leave its group
	joined       workers.GroupID // the group of an accepted join
	// unansweredJoin is the group of the last join that got no answer. It may be carried out later.
	unansweredJoin workers.GroupID
	blockedUntil   time.Time
	// unreachableUntil is until when the worker is treated as dead, since it did not answer
	// while its group failed requests.
	unreachableUntil time.Time
	// answeredAt is when the worker last answered a probe.
	answeredAt time.Time
	// staged is the model that the host was last ordered to load, at stagedAt.
	staged   string
	stagedAt time.Time
}

// NewPlanner returns a planner for a term. It does not know the loads that an earlier term
// started.
func NewPlanner(term uint64, ceiling LoadCeiling) *Planner {
	return &Planner{
		term:    term,
		ceiling: ceiling,
		forming: map[workers.GroupID]*formation{},
		records: map[string]*record{},
		seen:    map[workers.GroupID]time.Time{},
		closing: map[workers.GroupID]time.Time{},

		retiring: map[workers.GroupID]time.Time{},
		demand:   newDemand(demandTimeConstant),
		longTerm: newDemand(longTermTimeConstant),

		failingSince: map[workers.GroupID]time.Time{},
		dissolving:   map[workers.GroupID]time.Time{},
	}
}

// SetCeiling replaces the limit on loads from the next plan on. Loads that are older than the
// previous ceilings required are no longer known.
func (p *Planner) SetCeiling(ceiling LoadCeiling) { p.ceiling = ceiling }

// Term returns the planner's term.
func (p *Planner) Term() uint64 { return p.term }

// Plan returns the orders to give now. All of them count as in flight until Result is called
// with their outcomes.
func (p *Planner) Plan(s Situation) []Order {
	r := p.newRound(s)
	p.plans++
	p.pruneRecords(s.View, s.Now)
	p.dropRestarted(s.View)
	p.trackRejoins(s.View)
	p.pruneRetired(s.View)
	p.pruneEndings(s.Now)
	r.markFinishedLoads()
	p.trackWorkerCount(s.View, s.Now)
	p.demand.observe(s.Now, s.Load)
	p.longTerm.observe(s.Now, s.Load)
	for _, service := range s.Services {
		r.service = service
		r.advanceFormations()
		r.maintainGroups()
		for _, region := range r.regionsOf(service.Name) {
			r.region = region
			r.formGroups()
			r.stage()
		}
	}
	return r.orders
}

// trackWorkerCount notes when the number of workers grew, and when it changed by more than
// moveThreshold.
func (p *Planner) trackWorkerCount(view *workers.View, now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if view.Len() > p.workerCount {
		p.grownAt = now
	}
	p.workerCount = view.Len()
	if math.Abs(float64(p.workerCount-p.baselineCount)) > moveThreshold*float64(p.baselineCount) {
		p.baselineCount = p.workerCount
		p.movedAt = now
	}
}

// settled reports whether the list of workers seems complete. Before traffic it grows for
// seconds; groups of the first workers listed would be those of models that need few workers,
// and would have to be dissolved again.
func (r *round) settled() bool {
	return !r.idle || r.now.Sub(r.grownAt) >= settleDebounce || r.now.Sub(r.startedAt) >= maxSettleTime
}

// Result applies the outcome of an order.
func (p *Planner) Result(now time.Time, o Order, outcome Outcome) {
	p.settleLoad(now, o, outcome)
	rec := p.record(o.Worker.ID)
	if workers.Restarted(o.Worker, workers.Worker{StartMs: rec.born}) {
		return // the order was sent to an earlier start of the worker
	}
	rec.inFlight = false
	if outcome == Expired {
		rec.revert(o)
		return
	}
	rec.countUnanswered(outcome != Unanswered)
	if o.Op == Stage {
		return
	}
	rec.outcome = outcome
	rec.lastAt = now
	switch {
	case o.Op == Leave && (outcome == Satisfied || outcome == WrongState || outcome == Started):
		rec.left = o.Group
		rec.leftEntry = o.Worker.At
	case o.Op == Join && (outcome == Started || outcome == Satisfied):
		rec.joined = o.Group
	case o.Op == Join && outcome == Unanswered:
		rec.unansweredJoin = o.Group
	case o.Op == Join:
		rec.blockedUntil = now.Add(refusalCooldown)
		p.abandon(o.Group)
	}
}

// revert undoes that an order was given, since it was never sent.
func (rec *record) revert(o Order) {
	if o.Op == Stage {
		rec.staged = ""
		return
	}
	rec.lastAt = time.Time{}
}

// countUnanswered counts the consecutive orders without an answer.
func (rec *record) countUnanswered(answered bool) {
	rec.unanswered++
	if answered {
		rec.unanswered = 0
	}
}

// lastOrderUnanswered reports whether a worker did not answer the last order sent to it.
func (p *Planner) lastOrderUnanswered(worker string) bool { return p.record(worker).unanswered > 0 }

// MarkUnreachable notes that a worker answered none of several probes. Its group is dissolved if
// it fails requests, and the worker joins no group for a while, even before its entry goes.
func (p *Planner) MarkUnreachable(now time.Time, id string) {
	p.record(id).unreachableUntil = now.Add(unreachableCooldown)
}

// MarkAnswered notes that a worker answered a probe.
func (p *Planner) MarkAnswered(now time.Time, id string) { p.record(id).answeredAt = now }

// abandon stops forming a group. Members that have joined it are then handled like those of any
// unfinished group.
func (p *Planner) abandon(id workers.GroupID) {
	if _, ok := p.forming[id]; !ok {
		return
	}
	delete(p.forming, id)
	p.seen[id] = time.Time{}
}

// recordRetention is how long the record of a worker that isn't listed is kept after its last
// order or answer.
const recordRetention = time.Minute

// dropRestarted drops the records of earlier starts of workers: their orders, memberships, loads
// and answers.
func (p *Planner) dropRestarted(view *workers.View) {
	for id, rec := range p.records {
		w, listed := view.Worker(id)
		if !listed || !workers.Restarted(workers.Worker{StartMs: rec.born}, w) {
			continue
		}
		p.records[id] = &record{born: w.StartMs, restarted: true}
		p.markLoadsDone(id)
	}
}

// pruneRecords removes the records of workers that are gone.
func (p *Planner) pruneRecords(view *workers.View, now time.Time) {
	for id, rec := range p.records {
		if _, listed := view.Worker(id); !listed && !rec.inFlight && now.Sub(rec.lastContact()) > recordRetention {
			delete(p.records, id)
		}
	}
}

// lastContact returns when the worker was last given an order or probed.
func (rec *record) lastContact() time.Time {
	latest := rec.lastAt
	for _, at := range []time.Time{rec.answeredAt, rec.unreachableUntil} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// pruneRetired removes retired groups that are gone.
func (p *Planner) pruneRetired(view *workers.View) {
	for id := range p.retiring {
		if !slices.ContainsFunc(view.Groups(), func(g *workers.Group) bool { return g.ID == id }) {
			delete(p.retiring, id)
		}
	}
}

// record returns a worker's record, a new one if it has none.
func (p *Planner) record(id string) *record {
	rec, ok := p.records[id]
	if !ok {
		rec = &record{}
		p.records[id] = rec
	}
	return rec
}
