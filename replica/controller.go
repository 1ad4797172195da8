package replica

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// Options wires a controller.
type Options struct {
	Lease    *Lease
	Orders   Orders
	Prober   Prober
	Workers  func() *workers.View
	Catalogs *catalog.Holder
	// Ceiling returns the bound on loads. It may change at any time.
	Ceiling func() LoadCeiling
	// Fenced tells whether workers refuse orders with an old fencing token. It may change
	// at any time.
	Fenced func() bool
	// Idle tells that nobody has been served yet, so that loads disturb nobody.
	Idle func() bool
	// Failing tells whether a group has failed requests since it last sent
	// anything.
	Failing func(group string) bool
	// Dead is told each group that a member of was found dead.
	Dead func(group string)
	// StoreBack returns when the store last answered again after it had not.
	StoreBack func() time.Time
	// Load returns what callers ask for, as far as it is known.
	Load func() load.Sum
	// Halls returns which data halls are open to requests.
	Halls func() Halls
	// Region returns the region of a data hall, "" if it isn't known.
	Region func(hall string) string
	// ColdLeft returns how much longer a worker bears little, 0 if it is warm.
	ColdLeft func(worker string) time.Duration
	Metrics  *metrics.Set
	Now      func() time.Time
	Log      *log.Logger
}

// Controller gives the orders that a planner decides on while the lease is held.
type Controller struct {
	opts    Options
	wake    chan struct{}
	results chan result
	planner *Planner
	// queue holds the orders that wait until the window has room.
	queue   queue
	window  window
	figures windowFigures
	// rested is when the next plan may be made, and due tells that there is reason for one.
	rested time.Time
	due    bool
	orders *metrics.Counter
	lost   *metrics.Counter
	probes *metrics.Counter

	probeAnswers chan probeAnswer
	probed       map[workers.GroupID]time.Time
	suspects     suspects
}

type result struct {
	term    uint64
	order   Order
	outcome Outcome
	// sent is when the order was sent.
	sent time.Time
}

// How often the controller looks around when nothing happens, and how long one
// order may take.
const (
	holderTick   = 250 * time.Millisecond
	standbyTick  = 500 * time.Millisecond
	leastTick    = time.Millisecond
	orderTimeout = 400 * time.Millisecond
	mostResults  = 1024
	// planRest is how long a holder rests after a plan, in times of what the plan took:
	// planning takes a quarter of the processor at most, also where each of thousands of
	// answers is a reason to plan. A plan for 2,800 workers takes some 50 ms before traffic;
	// without a rest the renewal of the lease waits behind it.
	planRest = 3
	mostRest = time.Second
)

// NewController returns a controller. Nothing runs before Run.
func NewController(opts Options) *Controller {
	c := &Controller{
		opts:    opts,
		wake:    make(chan struct{}, 1),
		results: make(chan result, mostResults),
		window:  newWindow(),
		orders:  opts.Metrics.NewCounter("pointpass_orders_total"),
		lost:    opts.Metrics.NewCounter("pointpass_orders_unanswered_total"),
		probes:  opts.Metrics.NewCounter("pointpass_probes_total"),

		probeAnswers: make(chan probeAnswer, mostResults),
		probed:       map[workers.GroupID]time.Time{},
	}
	opts.Metrics.NewGauge("pointpass_orders_under_way", func() float64 { return float64(c.figures.underWay.Load()) })
	opts.Metrics.NewGauge("pointpass_orders_waiting", func() float64 { return float64(c.figures.waiting.Load()) })
	opts.Metrics.NewGauge("pointpass_orders_window", func() float64 { return float64(c.figures.window.Load()) })
	return c
}

// Wake has the controller look around soon.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run gives orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(standbyTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		case r := <-c.results:
			c.take(r)
		case a := <-c.probeAnswers:
			c.takeAnswer(a)
		}
		c.takeAll()
		c.due = true
		timer.Reset(c.step(ctx))
	}
}

func (c *Controller) takeAll() {
	for {
		select {
		case r := <-c.results:
			c.take(r)
		default:
			return
		}
	}
}

// takeAnswer takes in whether a worker answered when it was asked.
func (c *Controller) takeAnswer(a probeAnswer) {
	switch {
	case c.planner == nil || c.planner.Term() != a.term || c.restarted(a.worker):
	case a.heard:
		c.planner.Heard(c.opts.Now(), a.worker.ID)
	default:
		c.planner.Unreachable(c.opts.Now(), a.worker.ID)
	}
}

// restarted tells whether a worker has started again under its id since it was asked.
func (c *Controller) restarted(asked workers.Worker) bool {
	now, listed := c.opts.Workers().Worker(asked.ID)
	return listed && workers.Restarted(asked, now)
}

func (c *Controller) take(r result) {
	c.window.end(r.sent, c.opts.Now(), r.outcome != Unanswered)
	if outranked(r.order, r.outcome) {
		c.opts.Lease.Outranked(r.term)
	}
	if c.planner != nil && c.planner.Term() == r.term {
		c.planner.Result(c.opts.Now(), r.order, r.outcome)
	}
}

// step gives the orders of the moment, and returns when to look again.
func (c *Controller) step(ctx context.Context) time.Duration {
	term, held := c.opts.Lease.Held()
	if !held {
		return standbyTick
	}
	if now := c.opts.Now(); !now.Before(c.rested) {
		c.planAt(ctx, term, now)
	}
	c.send(ctx, term)
	if !c.due {
		return holderTick
	}
	return max(c.rested.Sub(c.opts.Now()), leastTick)
}

// planAt has the orders of a plan wait to be sent, and notes when the next may be made.
func (c *Controller) planAt(ctx context.Context, term uint64, now time.Time) {
	c.due = false
	for _, o := range c.plan(ctx, term) {
		c.queue.add(o, c.planner.doubts(o.Worker.ID), now)
	}
	took := c.opts.Now().Sub(now)
	c.rested = now.Add(took + min(planRest*took, mostRest))
}

// send sends the orders that wait, as far as the window lets them.
func (c *Controller) send(ctx context.Context, term uint64) {
	for _, o := range c.queue.expired(c.opts.Now()) {
		c.opts.Log.Info().Str("event", "order_withheld").Str("op", o.Op.String()).Str("group", o.Group.Name).Str("worker", o.Worker.ID).Uint64("term", term).Msg("")
		c.planner.Result(c.opts.Now(), o, Withheld)
	}
	for c.window.open() {
		next, waits := c.queue.next()
		if !waits {
			break
		}
		c.window.begin()
		go c.give(ctx, term, next.order)
	}
	c.figures.note(&c.window, &c.queue)
}

// plan returns the orders to give now under a term of the lease. The planner of a
// term is kept while the lease counts as lapsed here: a renewal that comes late lets
// the term go on, and a second planner would use the names of the first one's groups
// again.
func (c *Controller) plan(ctx context.Context, term uint64) []Order {
	current := c.opts.Catalogs.Current().Catalog
	if current == nil {
		return nil
	}
	if c.planner == nil || c.planner.Term() != term {
		c.planner = NewPlanner(term, c.opts.Ceiling())
	}
	c.queue.begin(term)
	c.planner.Bound(c.opts.Ceiling())
	s := Situation{
		Now:       c.opts.Now(),
		View:      c.opts.Workers(),
		Services:  current.Services(),
		Idle:      c.opts.Idle(),
		Failing:   c.failing,
		StoreBack: c.opts.StoreBack(),
		Load:      c.opts.Load(),
		Halls:     c.opts.Halls(),
		Region:    c.opts.Region,
		ColdLeft:  c.opts.ColdLeft,
	}
	c.probeDoubtful(ctx, term, s)
	orders := c.planner.Plan(s)
	c.logPlan(term)
	return orders
}

// logPlan tells why groups are dissolved and what the models are to have.
func (c *Controller) logPlan(term uint64) {
	for _, e := range c.planner.Endings() {
		c.opts.Log.Info().Str("event", "group_dissolved").Str("group", e.Group.Name).Str("reason", string(e.Reason)).
			Int("members", e.Members).Int("lost", e.Lost).Bool("serving", e.Serving).Uint64("term", term).Msg("")
	}
	for _, s := range c.planner.ShareChanges() {
		c.opts.Log.Info().Str("event", "model_shares").Str("service", s.Service).Str("region", s.Region).Any("shares", s.Shares).Any("asked", s.Asked).
			Dur("memory", s.Memory).Bool("measured", s.Measured).Uint64("term", term).Msg("")
	}
}

// give gives one order, unless the lease has ended in the meantime.
func (c *Controller) give(ctx context.Context, term uint64, o Order) {
	outcome := NotTaken
	var err error
	begun := c.opts.Now()
	if held, ok := c.opts.Lease.Held(); ok && held == term {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if c.opts.Fenced() {
			o.Fence = term
		}
		outcome, err = c.opts.Orders.Give(ctx, o)
	}
	c.orders.Inc()
	if outcome == Unanswered {
		c.lost.Inc()
	}
	c.opts.Log.Info().Str("event", "order").Str("op", o.Op.String()).Str("group", o.Group.Name).Uint64("epoch", o.Group.Epoch).
		Str("worker", o.Worker.ID).Str("model", o.Model).Str("outcome", outcome.String()).Dur("took", c.opts.Now().Sub(begun)).Uint64("term", term).Err(err).Msg("")
	select {
	case c.results <- result{term: term, order: o, outcome: outcome, sent: begun}:
	case <-ctx.Done():
	}
}
