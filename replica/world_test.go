package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// Times of the simulated workers.
const (
	worldTick    = 100 * time.Millisecond
	worldStall   = 5 * time.Second
	worldForm    = 300 * time.Millisecond
	worldSilence = 3600 * time.Millisecond // a crashed worker's row stays that long
)

// engine is a simulated worker. It follows the published order protocol.
type engine struct {
	worker    workers.Worker
	last      string
	seenEpoch uint64
	list      []string // members of its group, as its join named them
	readyAt   time.Time
	openAt    time.Time // when an open head serves
	dead      time.Time
	cut       time.Time // since when it can't reach the store
	lapsed    bool      // its row went since it is cut
	written   time.Time // when its last row arrives
	staging   string
	stagedAt  time.Time
	// brokenFrom is since when the group it heads lacks a member.
	brokenFrom time.Time
}

// delayedOrder is an order that is carried out later.
type delayedOrder struct {
	at    time.Time
	order Order
}

// delayedRow is a row on its way to the store's readers.
type delayedRow struct {
	at     time.Time
	worker workers.Worker
	gone   bool
}

// world simulates workers, their rows, and orders that are lost, late or doubled.
type world struct {
	now     time.Time
	service *catalog.Service
	engines map[string]*engine
	next    int
	births  int64 // starts under ids that were there before
	late    []delayedOrder
	rows    []delayedRow
	view    *workers.View
	reg     *workers.Registry
	// wasReady are the members that were ready under a group, by id and list.
	wasReady map[string]bool
	lists    map[workers.GroupID]string
	loads    []time.Time
	// joinLoads are the loads that members of groups waited for.
	joinLoads int
	broken    []string // violations
}

func newWorld(domains, perDomain int) *world {
	w := &world{
		now: time.Unix(1000, 0),
		service: &catalog.Service{Name: "llm", Runtime: &catalog.Runtime{
			Slots: 26, LoadsPerSecond: 4, LoadsAtOnce: 6, Form: worldForm,
			Models: []catalog.Model{
				{Name: "m.large", Size: 4, Share: 0.67, Pace: 1, Load: 16 * time.Second, Warmup: 1600 * time.Millisecond},
				{Name: "small", Size: 2, Share: 0.33, Pace: 0.6, Load: 12 * time.Second, Warmup: 1100 * time.Millisecond},
			},
		}},
		engines:  map[string]*engine{},
		wasReady: map[string]bool{},
		lists:    map[workers.GroupID]string{},
	}
	w.reg = workers.NewRegistry(func(v *workers.View) { w.view = v })
	w.view = w.reg.View()
	for d := range domains {
		for range perDomain {
			w.add(fmt.Sprint("d", d), 0)
		}
	}
	return w
}

// add starts an empty worker in a domain; its row comes after a lag.
func (w *world) add(domain string, lag time.Duration) {
	w.next++
	e := &engine{worker: workers.Worker{ID: fmt.Sprint("i", w.next), Born: 1_000_000, Service: "llm", Domain: domain, Hall: domain}}
	w.engines[e.worker.ID] = e
	w.tell(e, lag)
}

// restart has a worker start again under its id: it knows nothing of before but what is on
// its host. Back tells that its clock has stepped back meanwhile.
func (w *world) restart(e *engine, back bool, lag time.Duration) {
	w.births++
	e.worker.Born = 1_000_000 + w.births
	if back {
		e.worker.Born = 1_000_000 - w.births
	}
	e.worker.Membership = workers.Membership{}
	e.worker.Models = nil
	e.worker.Draining = false
	e.last = ""
	e.seenEpoch = 0
	e.list = nil
	e.staging = ""
	e.brokenFrom = time.Time{}
	w.tell(e, lag)
}

// tell has a worker write its row. The writes of one worker arrive in order.
func (w *world) tell(e *engine, lag time.Duration) {
	at := w.now.Add(lag)
	if at.Before(e.written) {
		at = e.written
	}
	e.written = at
	w.rows = append(w.rows, delayedRow{at: at, worker: e.worker})
}

func (w *world) violate(format string, args ...any) {
	w.broken = append(w.broken, w.now.Format("05.0 ")+fmt.Sprintf(format, args...))
}

// step moves time on by one tick.
func (w *world) step() {
	w.now = w.now.Add(worldTick)
	for _, id := range w.ids() {
		w.advance(w.engines[id])
	}
	w.deliverOrders()
	w.deliverRows()
}

func (w *world) ids() []string {
	var ids []string
	for id := range w.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// advance lets joins, staging and opening take effect, and groups break.
func (w *world) advance(e *engine) {
	if !e.dead.IsZero() {
		if w.now.Sub(e.dead) > worldSilence {
			delete(w.engines, e.worker.ID)
			w.rows = append(w.rows, delayedRow{at: w.now, worker: e.worker, gone: true})
		}
		return
	}
	if !e.cut.IsZero() && !e.lapsed && w.now.Sub(e.cut) > worldSilence {
		e.lapsed = true
		w.rows = append(w.rows, delayedRow{at: w.now, worker: e.worker, gone: true})
	}
	m := &e.worker.Membership
	if e.staging != "" && !w.now.Before(e.stagedAt) {
		e.worker.Staged = []string{e.staging}
		e.staging = ""
		w.tell(e, 0)
	}
	if m.State == workers.Joining && !w.now.Before(e.readyAt) {
		m.State = workers.Ready
		e.last = m.Group.Model()
		e.worker.Models = []string{e.last}
		e.worker.Staged = []string{e.last}
		w.wasReady[e.worker.ID+"@"+m.Group.Name+"@"+fmt.Sprint(e.list)] = true
		w.tell(e, 0)
	}
	if m.Rank == 0 && (m.State == workers.Open || m.State == workers.Closing) {
		w.checkHead(e)
	}
}

// checkHead breaks a head that has lacked a member for long, and ends a close.
func (w *world) checkHead(e *engine) {
	m := &e.worker.Membership
	if w.lacksMember(e) {
		if e.brokenFrom.IsZero() {
			e.brokenFrom = w.now
		}
		if w.now.Sub(e.brokenFrom) >= worldStall {
			m.State = workers.Broken
			w.tell(e, 0)
		}
		return
	}
	e.brokenFrom = time.Time{}
	if m.State == workers.Closing {
		m.State = workers.Ready
		w.tell(e, 0)
	}
}

// lacksMember tells whether a member of the group that a worker heads is dead or
// elsewhere.
func (w *world) lacksMember(head *engine) bool {
	for _, id := range head.list {
		e, ok := w.engines[id]
		if !ok || !e.dead.IsZero() || e.worker.Membership.Group != head.worker.Membership.Group || e.worker.Membership.State == workers.Joining {
			return true
		}
	}
	return false
}

// failing tells whether requests at a group would hear nothing.
func (w *world) failing(group string) bool {
	for _, e := range w.engines {
		m := e.worker.Membership
		if m.Group.Name == group && m.Rank == 0 && e.dead.IsZero() {
			return w.lacksMember(e)
		}
	}
	return true
}

// fate is what becomes of an order on its way.
type fate int

const (
	fateTaken fate = iota
	fateAnswerLost
	fateLate
	fateLost
	fateDoubled // taken now and once more later
)

// send gives an order its fate and returns its outcome.
func (w *world) send(o Order, f fate, delay time.Duration) Outcome {
	switch f {
	case fateLost:
		return Unanswered
	case fateLate:
		w.late = append(w.late, delayedOrder{at: w.now.Add(delay), order: o})
		return Unanswered
	case fateDoubled:
		w.late = append(w.late, delayedOrder{at: w.now.Add(delay), order: o})
	}
	outcome := w.take(o)
	if f == fateAnswerLost {
		return Unanswered
	}
	return outcome
}

func (w *world) deliverOrders() {
	due := w.late
	w.late = nil
	for _, d := range due {
		if d.at.After(w.now) {
			w.late = append(w.late, d)
			continue
		}
		w.take(d.order)
	}
}

func (w *world) deliverRows() {
	due := w.rows
	w.rows = nil
	for _, r := range due {
		switch {
		case r.at.After(w.now):
			w.rows = append(w.rows, r)
		case r.gone:
			w.reg.Apply(nil, []string{r.worker.ID}, false)
		default:
			w.reg.Apply([]workers.Worker{r.worker}, nil, false)
		}
	}
}

// take has a worker carry out an order as the protocol says.
func (w *world) take(o Order) Outcome {
	e, ok := w.engines[o.Worker.ID]
	if !ok || !e.dead.IsZero() {
		return Unanswered
	}
	m := &e.worker.Membership
	switch o.Op {
	case Join:
		return w.takeJoin(e, o)
	case Stage:
		e.staging = o.Model
		e.stagedAt = w.now.Add(w.model(o.Model).Load)
		w.loads = append(w.loads, w.now)
		return Begun
	}
	if m.Group != o.Group {
		return Unfit
	}
	switch o.Op {
	case Leave:
		*m = workers.Membership{}
		e.worker.Models = nil
		e.list = nil
	case Open:
		if m.Rank != 0 || m.State == workers.Joining || m.State == workers.Broken {
			return Unfit
		}
		m.State = workers.Open
		e.openAt = w.now.Add(worldForm)
	case Close:
		if m.State != workers.Open {
			return Unfit
		}
		m.State = workers.Closing
	}
	w.tell(e, 0)
	return Holds
}

func (w *world) model(name string) catalog.Model {
	m, _ := w.service.Runtime.Model(name)
	return m
}

func (w *world) takeJoin(e *engine, o Order) Outcome {
	m := &e.worker.Membership
	if o.Group.Epoch < e.seenEpoch {
		return Outdated
	}
	if m.Group == o.Group {
		if slices.Equal(e.list, o.Members) {
			return Holds
		}
		return Outdated
	}
	list := fmt.Sprint(o.Members)
	if known, ok := w.lists[o.Group]; ok && known != list {
		w.violate("LISTS: %s has two lists", o.Group.Name)
	}
	w.lists[o.Group] = list
	w.checkTwo(e, o)
	e.seenEpoch = o.Group.Epoch
	*m = workers.Membership{Group: o.Group, Rank: slices.Index(o.Members, e.worker.ID), State: workers.Joining}
	e.list = o.Members
	e.worker.Models = nil
	e.brokenFrom = time.Time{}
	e.readyAt = w.now.Add(w.joinTime(e, o.Model))
	w.tell(e, 0)
	return Begun
}

// checkTwo breaks TWO if the worker's own group may still serve.
func (w *world) checkTwo(e *engine, o Order) {
	own := e.worker.Membership.Group
	if own.Name == "" || len(e.list) == 0 {
		return
	}
	head, ok := w.engines[e.list[0]]
	if !ok || !head.dead.IsZero() || head.worker.Membership.Group != own {
		return
	}
	if s := head.worker.Membership.State; s == workers.Open || s == workers.Closing {
		w.violate("TWO: %s joins %s while the head of its %s is %s", e.worker.ID, o.Group.Name, own.Name, s)
	}
}

func (w *world) joinTime(e *engine, model string) time.Duration {
	switch {
	case e.last == model:
		return 200 * time.Millisecond
	case slices.Contains(e.worker.Staged, model):
		return w.model(model).Warmup
	}
	w.loads = append(w.loads, w.now)
	w.joinLoads++
	return w.model(model).Load
}

// request has a request run at a head that routing may choose, and breaks
// PARTIAL if a member was never ready under the group's name, epoch and list.
func (w *world) request(id string) {
	e, ok := w.engines[id]
	if !ok || !e.dead.IsZero() || e.worker.Membership.State != workers.Open || w.now.Before(e.openAt) {
		return
	}
	group := e.worker.Membership.Group
	if len(e.list) != w.model(group.Model()).Size {
		w.violate("PARTIAL: %s has %d members", group.Name, len(e.list))
	}
	for _, member := range e.list {
		if !w.wasReady[member+"@"+group.Name+"@"+fmt.Sprint(e.list)] {
			w.violate("PARTIAL: %s was never ready in %s", member, group.Name)
		}
	}
}
