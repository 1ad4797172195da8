package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/testbed/standin"
)

// Figures of the platform's pages.
const (
	heartbeat      = 1200 * time.Millisecond
	stallTime      = 5 * time.Second
	rejoinTime     = 200 * time.Millisecond
	tokensPerEvent = 5
	workersTable   = "servers"
)

// model is a model that workers run.
type model struct {
	name                string
	size                int
	load, warmup, forms time.Duration
	// firstEvent and eventInterval are the times of a stream's events.
	firstEvent, eventInterval time.Duration
}

// fleet is all workers of a deployment, and their path to the store.
type fleet struct {
	store  *standin.Store
	record *record
	models map[string]model
	// away is set while the store is away.
	away atomic.Bool
	// served is set by the first request of a client.
	served atomic.Bool

	mu  sync.Mutex
	all map[string]*worker
}

func newFleet(store *standin.Store, r *record, models ...model) *fleet {
	f := &fleet{store: store, record: r, models: map[string]model{}, all: map[string]*worker{}}
	for _, m := range models {
		f.models[m.name] = m
	}
	return f
}

// membership is a worker's place in a group. A new one replaces it as a whole, but for its state.
type membership struct {
	name    string
	epoch   uint64
	rank    int
	members []string
	model   string
	state   string
	// brokenSince is since when the head stands still, zero while the group is whole.
	brokenSince time.Time
}

func (m *membership) String() string {
	return fmt.Sprintf("%s/%d rank %d %s", m.name, m.epoch, m.rank, m.state)
}

// worker is a worker of the platform that runs a model in a group, by the platform's pages. Its
// fields are guarded by the fleet's lock, so that a group's state is read as of one moment.
type worker struct {
	fleet             *fleet
	id, service       string
	domain, zone      string
	addr              string
	born              int64
	staged, lastModel string
	stagedAt          time.Time
	epoch             uint64
	orders            int
	group             *membership
	runs              int
	server            *http.Server
	// late holds the operations whose next order is left unanswered and carried out later, with how
	// much later.
	late map[string]time.Duration
	// silentUntil is until when the worker sends nothing to anybody.
	silentUntil time.Time
}

// add starts a worker.
func (f *fleet) add(id, service, domain, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &worker{fleet: f, id: id, service: service, domain: domain, zone: zone, addr: listener.Addr().String(), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(listener)
	f.mu.Lock()
	f.all[id] = w
	f.mu.Unlock()
	f.record.add("worker %s starts at %s in domain %s", id, w.addr, domain)
	w.publish()
	go w.beat()
	return nil
}

// beat writes the worker's entry at each heartbeat.
func (w *worker) beat() {
	time.Sleep(rand.N(heartbeat))
	for {
		w.publish()
		time.Sleep(heartbeat)
	}
}

// silence makes the worker send nothing for a while and then go on.
func (w *worker) silence(d time.Duration) {
	w.fleet.record.add("worker %s falls silent for %v", w.id, d)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silentUntil = time.Now().Add(d)
}

// awaitVoice waits until the worker isn't silent any more.
func (w *worker) awaitVoice() {
	w.fleet.mu.Lock()
	d := time.Until(w.silentUntil)
	w.fleet.mu.Unlock()
	time.Sleep(d)
}

// publish writes the worker's entry. The store counts it as changed only if its content differs.
func (w *worker) publish() {
	f := w.fleet
	if f.away.Load() {
		return // the store is away; the next heartbeat writes it
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	value := w.entry()
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers can't fail
	}
	for _, row := range f.store.Rows(workersTable) {
		if row.Key == w.id && string(row.Value) == string(text) {
			return
		}
	}
	f.store.Put(workersTable, w.id, value)
}

// entry returns the worker's entry. The caller holds the fleet's lock.
func (w *worker) entry() map[string]any {
	n := wire.Entry
	e := map[string]any{
		n["service"]: w.service, n["address"]: w.addr, n["zone"]: w.zone, n["domain"]: w.domain, n["version"]: "v1",
		n["slots"]: 26, n["state"]: "ready", n["cold"]: 0, n["orders"]: w.orders, n["born"]: w.born,
	}
	if w.staged != "" && !time.Now().Before(w.stagedAt) {
		e[n["staged"]] = []string{w.staged}
	}
	if w.group != nil {
		e[n["group"]] = map[string]any{n["name"]: w.group.name, n["epoch"]: w.group.epoch, n["rank"]: w.group.rank, n["state"]: w.group.state}
		if w.group.state != "joining" {
			e[n["models"]] = []map[string]any{{n["name"]: w.group.model, n["version"]: 1}}
		}
	}
	return e
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.awaitVoice()
	if expected := r.Header.Get(wire.Header["expect"]); expected != "" && expected != w.id {
		rw.Header().Set(wire.Header["instance"], w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/order":
		w.serveOrder(rw, r)
	case r.URL.Path == "/report":
		fmt.Fprintf(rw, `{"%s":%d}`, wire.Entry["born"], w.born)
	default:
		w.serveRequest(rw, r)
	}
}

// order is an order to a worker.
type order struct {
	op, group, model string
	epoch            uint64
	members          []string
}

func readOrder(r *http.Request) (order, error) {
	fields := map[string]json.RawMessage{}
	if err := json.NewDecoder(r.Body).Decode(&fields); err != nil {
		return order{}, err
	}
	var o order
	for name, target := range map[string]any{"op": &o.op, "group": &o.group, "model": &o.model, "epoch": &o.epoch, "members": &o.members} {
		if raw, given := fields[wire.Order[name]]; given {
			if err := json.Unmarshal(raw, target); err != nil {
				return order{}, err
			}
		}
	}
	return o, nil
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if d := w.takeLate(o.op); d > 0 {
		w.fleet.record.add("order to %s: %s %s/%d %s gets no answer and is carried out %v later", w.id, o.op, o.group, o.epoch, o.model, d)
		time.AfterFunc(d, func() { w.carryOut(o, "carried out late with") })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(w.carryOut(o, "answered"))
}

// takeLate returns how much later an order is carried out, 0 if it is answered at once.
func (w *worker) takeLate(op string) time.Duration {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	d := w.late[op]
	delete(w.late, op)
	return d
}

// carryOut carries out an order and returns its status.
func (w *worker) carryOut(o order, how string) int {
	w.fleet.mu.Lock()
	status := w.apply(o)
	if status == http.StatusAccepted || o.op == "leave" && status == http.StatusOK {
		w.orders++
	}
	w.fleet.mu.Unlock()
	w.fleet.record.add("order to %s: %s %s/%d %s %s %d", w.id, o.op, o.group, o.epoch, o.model, how, status)
	w.publish()
	return status
}

// apply carries out an order and returns the status of the answer. The caller holds the fleet's lock.
func (w *worker) apply(o order) int {
	switch o.op {
	case "phase":
		return w.stage(o.model)
	case "join":
		return w.join(o)
	case "open", "close", "leave":
	default:
		return http.StatusBadRequest
	}
	g := w.group
	if g == nil || g.name != o.group || g.epoch != o.epoch {
		return http.StatusConflict
	}
	switch o.op {
	case "leave":
		w.group = nil
		return http.StatusOK
	case "close":
		if g.state == "open" {
			g.state = "closing"
			w.whenIdle(g)
			return http.StatusAccepted
		}
		return http.StatusOK
	}
	switch {
	case g.rank != 0 || g.state != "ready" && g.state != "open":
		return http.StatusConflict
	case g.state == "open":
		return http.StatusOK
	}
	w.after(w.fleet.models[g.model].forms, g, "ready", "open")
	return http.StatusAccepted
}

// whenIdle brings a closing head back to ready once it has no more requests.
func (w *worker) whenIdle(g *membership) {
	time.AfterFunc(50*time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		switch {
		case w.group != g || g.state != "closing":
		case w.runs > 0:
			w.whenIdle(g)
		default:
			g.state = "ready"
			go w.publish()
		}
	})
}

// after changes the state of a membership after a time, if it still has the state that it had.
func (w *worker) after(d time.Duration, g *membership, from, to string) {
	time.AfterFunc(d, func() {
		w.fleet.mu.Lock()
		changed := w.group == g && g.state == from
		if changed {
			g.state = to
			w.lastModel = g.model
		}
		w.fleet.mu.Unlock()
		if changed {
			w.fleet.record.add("worker %s is %s", w.id, g)
			w.publish()
		}
	})
}

// loadTime returns the time of a load. Before the first request it takes a tenth.
func (f *fleet) loadTime(m model) time.Duration {
	if f.served.Load() {
		return m.load
	}
	return m.load / 10
}

// stage loads a model to the worker's host. The caller holds the fleet's lock.
func (w *worker) stage(name string) int {
	m, known := w.fleet.models[name]
	switch {
	case !known:
		return http.StatusBadRequest
	case w.staged == name:
		return http.StatusOK
	}
	w.staged = name
	d := w.fleet.loadTime(m)
	w.stagedAt = time.Now().Add(d)
	time.AfterFunc(d, w.publish)
	return http.StatusAccepted
}

// join makes the worker a member of a group. The caller holds the fleet's lock.
func (w *worker) join(o order) int {
	m, known := w.fleet.models[o.model]
	rank := slices.Index(o.members, w.id)
	if !known || rank < 0 {
		return http.StatusBadRequest
	}
	if o.epoch < w.epoch {
		return http.StatusPreconditionFailed
	}
	if g := w.group; g != nil && g.name == o.group && g.epoch == o.epoch {
		if slices.Equal(g.members, o.members) {
			return http.StatusOK
		}
		return http.StatusPreconditionFailed
	}
	w.checkTwo(o)
	w.epoch = o.epoch
	g := &membership{name: o.group, epoch: o.epoch, rank: rank, members: o.members, model: o.model, state: "joining"}
	w.group = g
	d := rejoinTime
	if w.lastModel != o.model {
		d = m.warmup
		switch {
		case w.staged != o.model:
			d += w.fleet.loadTime(m)
			w.staged, w.stagedAt = o.model, time.Now().Add(w.fleet.loadTime(m))
		case time.Now().Before(w.stagedAt):
			d += time.Until(w.stagedAt)
		}
	}
	w.after(d, g, "joining", "ready")
	return http.StatusAccepted
}

// checkTwo checks rule TWO for a join that is about to be accepted. The caller holds the fleet's lock.
func (w *worker) checkTwo(o order) {
	g := w.group
	if g == nil {
		return
	}
	head := w.fleet.all[g.members[0]]
	h := head.group
	if h == nil || h.name != g.name || h.epoch != g.epoch || h.state != "open" && h.state != "closing" {
		return
	}
	w.fleet.record.fail("TWO: %s accepts the join to %s/%d while the head %s of its own group %s/%d is %s with %d requests", w.id, o.group, o.epoch, head.id, g.name, g.epoch, h.state, head.runs)
}

// whole reports whether all members of a head's group are in it and none is silent. The caller holds the fleet's lock.
func (w *worker) whole() bool {
	g := w.group
	for _, id := range g.members {
		member := w.fleet.all[id]
		other := member.group
		if time.Now().Before(member.silentUntil) || other == nil || other.name != g.name || other.epoch != g.epoch || other.state == "joining" {
			return false
		}
	}
	return true
}

// state returns whether the head of a membership may go on with its requests, and whether its group
// is over.
func (w *worker) state(g *membership) (goes, over bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch {
	case w.group != g:
		return false, true
	case w.whole():
		g.brokenSince = time.Time{}
		return true, false
	case g.brokenSince.IsZero():
		g.brokenSince = time.Now()
	case time.Since(g.brokenSince) > stallTime:
		g.state = "broken"
		go w.publish()
		return false, true
	}
	return false, false
}

// awaitProgress returns once the group goes on, after d at the earliest. It returns false if the
// group is over or the caller has gone.
func (w *worker) awaitProgress(r *http.Request, g *membership, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	for r.Context().Err() == nil {
		goes, over := w.state(g)
		if goes || over {
			return goes
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// serveRequest runs a request of a client as a stream, if the worker is the head of an open group.
func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	f := w.fleet
	f.served.Store(true)
	id := r.Header.Get(wire.Header["attempt"])
	rw.Header().Set(wire.Header["attempt"], id)
	f.mu.Lock()
	g := w.group
	open := g != nil && g.rank == 0 && (g.state == "open" || g.state == "broken")
	broken := open && g.state == "broken"
	if open && !broken {
		w.runs++
	}
	f.mu.Unlock()
	if !open {
		f.record.add("%s rejects %s: it is no open head", w.id, id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if broken {
		rw.Header().Set(wire.Header["not_run"], "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		f.mu.Lock()
		w.runs--
		f.mu.Unlock()
	}()
	m := f.models[g.model]
	if !w.awaitProgress(r, g, m.firstEvent) {
		rw.Header().Set(wire.Header["not_run"], "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, tokens, _ := strings.Cut(r.Header.Get(wire.Header["tokens"]), ",")
	answer, _ := strconv.Atoi(tokens)
	last, _ := strconv.Atoi(r.Header.Get(wire.Header["last_event"]))
	f.record.add("%s runs %s from event %d", w.id, id, last+1)
	rw.Header().Set(wire.Header["signature"], "sig-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for event := last + 1; event <= answer/tokensPerEvent; event++ {
		if event > last+1 && !w.awaitProgress(r, g, m.eventInterval) {
			f.record.add("%s breaks %s off after event %d, its caller gone: %t", w.id, id, event-1, r.Context().Err() != nil)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", event, id, event)
		control.Flush()
	}
	f.record.add("%s ends %s", w.id, id)
}

// openHeads returns the open heads among workers whose id starts with a prefix.
func (f *fleet) openHeads(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id, w := range f.all {
		if strings.HasPrefix(id, prefix) && w.group != nil && w.group.rank == 0 && w.group.state == "open" {
			n++
		}
	}
	return n
}
