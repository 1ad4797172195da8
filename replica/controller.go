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

// Options configures a controller.
type Options struct {
	Lease    *Lease
	Orders   Orders
	Prober   Prober
	Reporter Reporter
	Workers  func() *workers.View
	Catalogs *catalog.Holder
	// Ceiling returns the limit on loads. It may change at any time.
	Ceiling func() LoadCeiling
	// Fenced reports whether workers reject orders with an old fencing token. It may change at
	// any time.
	Fenced func() bool
	// Idle reports whether no request has been served yet, so that loads disturb none.
	Idle func() bool
	// Failing reports whether a group has failed requests since it last sent anything.
	Failing func(group string) bool
	// OnMemberDead is called with each group in which a member was found dead.
	OnMemberDead func(group string)
	// StoreBack returns when the store last answered again after an outage.
	StoreBack func() time.Time
	// Load returns the load that callers offer, as far as it is known.
	Load func() load.Sum
	// Halls returns which data halls are open to requests.
	Halls func() Halls
	// Region returns the region of a data hall, "" if it isn't known.
	Region func(hall string) string
	// ColdLeft returns for how much longer a worker has reduced capacity, 0 if it is warm.
	ColdLeft func(worker string) time.Duration
	Metrics  *metrics.Set
	Now      func() time.Time
	Log      *log.Logger
}

// Controller sends the orders that a planner decides on while the lease is held.
type Controller struct {
	opts    Options
	wake    chan struct{}
	results chan result
	planner *Planner
	// queue holds the orders that wait for room in the window.
	queue  queue
	window window
	gauges orderGauges
	// nextPlan is when the next plan may be made, and planDue is set while there is a reason
	// for one.
	nextPlan   time.Time
	planDue    bool
	orders     *metrics.Counter
	unanswered *metrics.Counter
	probes     *metrics.Counter
	rejoins    *metrics.Counter

	probeResults chan probeResult
	lastProbed   map[workers.GroupID]time.Time
	suspects     suspects
}

type result struct {
	term    uint64
	order   Order
	outcome Outcome
	sent    time.Time
}

// Intervals at which the controller runs when nothing happens, and limits on orders and plans.
const (
	holderInterval  = 250 * time.Millisecond
	standbyInterval = 500 * time.Millisecond
	minInterval     = time.Millisecond
	orderTimeout    = 400 * time.Millisecond
	resultBuffer    = 1024
	// planRestFactor is how long the controller rests after a plan, as a multiple of the time
	// that the plan took: planning uses at most a quarter of the processor, even when each of
	// thousands of answers triggers a plan. A plan for 2,800 workers takes about 50 ms before
	// there is traffic; without a rest it delays the renewal of the lease.
	planRestFactor = 3
	maxPlanRest    = time.Second
)

// NewController returns a controller, which does nothing before Run.
func NewController(opts Options) *Controller {
	c := &Controller{
		opts:       opts,
		wake:       make(chan struct{}, 1),
		results:    make(chan result, resultBuffer),
		window:     newWindow(),
		orders:     opts.Metrics.NewCounter("pointpass_orders_total"),
		unanswered: opts.Metrics.NewCounter("pointpass_orders_unanswered_total"),
		probes:     opts.Metrics.NewCounter("pointpass_probes_total"),
		rejoins:    opts.Metrics.NewCounter("pointpass_workers_rejoined_total"),

		probeResults: make(chan probeResult, resultBuffer),
		lastProbed:   map[workers.GroupID]time.Time{},
	}
	opts.Metrics.NewGauge("pointpass_orders_under_way", func() float64 { return float64(c.gauges.inFlight.Load()) })
	opts.Metrics.NewGauge("pointpass_orders_waiting", func() float64 { return float64(c.gauges.waiting.Load()) })
	opts.Metrics.NewGauge("pointpass_orders_window", func() float64 { return float64(c.gauges.window.Load()) })
	return c
}

// Wake makes the controller run soon.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(standbyInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		case r := <-c.results:
			c.handleResult(r)
		case a := <-c.probeResults:
			c.handleProbeResult(a)
		}
		c.drainResults()
		c.planDue = true
		timer.Reset(c.step(ctx))
	}
}

// drainResults handles all results that have arrived.
func (c *Controller) drainResults() {
	for {
		select {
		case r := <-c.results:
			c.handleResult(r)
		default:
			return
		}
	}
}

// handleProbeResult passes on whether a probed worker answered.
func (c *Controller) handleProbeResult(a probeResult) {
	switch {
	case c.planner == nil || c.planner.Term() != a.term || c.restarted(a.worker):
	case a.answered:
		c.planner.MarkAnswered(c.opts.Now(), a.worker.ID)
	default:
		c.planner.MarkUnreachable(c.opts.Now(), a.worker.ID)
	}
}

// restarted reports whether a worker has restarted under its ID since it was probed.
func (c *Controller) restarted(probed workers.Worker) bool {
	now, listed := c.opts.Workers().Worker(probed.ID)
	return listed && workers.Restarted(probed, now)
}

func (c *Controller) handleResult(r result) {
	c.window.finish(r.sent, c.opts.Now(), r.outcome != Unanswered)
	if outranked(r.order, r.outcome) {
		c.opts.Lease.StepDown(r.term)
	}
	if c.planner != nil && c.planner.Term() == r.term {
		c.planner.Result(c.opts.Now(), r.order, r.outcome)
	}
}

// step makes a plan if one is due, sends orders, and returns the delay until the next step.
func (c *Controller) step(ctx context.Context) time.Duration {
	term, held := c.opts.Lease.Held()
	if !held {
		return standbyInterval
	}
	if now := c.opts.Now(); !now.Before(c.nextPlan) {
		c.planAndQueue(ctx, term, now)
	}
	c.sendQueued(ctx, term)
	if !c.planDue {
		return holderInterval
	}
	return max(c.nextPlan.Sub(c.opts.Now()), minInterval)
}

// planAndQueue queues the orders of a new plan, and sets when the next plan may be made.
func (c *Controller) planAndQueue(ctx context.Context, term uint64, now time.Time) {
	c.planDue = false
	for _, o := range c.plan(ctx, term) {
		c.queue.add(o, c.planner.lastOrderUnanswered(o.Worker.ID), now)
	}
	took := c.opts.Now().Sub(now)
	c.nextPlan = now.Add(took + min(planRestFactor*took, maxPlanRest))
}

// sendQueued sends queued orders as far as the window allows.
func (c *Controller) sendQueued(ctx context.Context, term uint64) {
	for _, o := range c.queue.expired(c.opts.Now()) {
		c.opts.Log.Info().Str("event", "order_withheld").Str("op", o.Op.String()).Str("group", o.Group.Name).Str("worker", o.Worker.ID).Uint64("term", term).Msg("")
		c.planner.Result(c.opts.Now(), o, Expired)
	}
	for c.window.hasRoom() {
		next, ok := c.queue.next()
		if !ok {
			break
		}
		c.window.start()
		go c.sendOrder(ctx, term, next.order)
	}
	c.gauges.update(&c.window, &c.queue)
}

// plan returns the orders to send now under a term of the lease. The planner of a term is kept
// while the lease counts as lapsed here: a late renewal continues the term, and a second
// planner of the term would reuse the names of the first one's groups.
func (c *Controller) plan(ctx context.Context, term uint64) []Order {
	current := c.opts.Catalogs.Current().Catalog
	if current == nil {
		return nil
	}
	if c.planner == nil || c.planner.Term() != term {
		c.planner = NewPlanner(term, c.opts.Ceiling())
	}
	c.queue.startTerm(term)
	c.planner.SetCeiling(c.opts.Ceiling())
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
	c.probeGroups(ctx, term, s)
	orders := c.planner.Plan(s)
	c.logPlan(term)
	return orders
}

// logPlan logs why groups are dissolved and how the shares of the models change.
func (c *Controller) logPlan(term uint64) {
	for _, e := range c.planner.Endings() {
		c.opts.Log.Info().Str("event", "group_dissolved").Str("group", e.Group.Name).Str("reason", string(e.Reason)).
			Int("members", e.Members).Int("lost", e.Lost).Bool("serving", e.Serving).Uint64("term", term).Msg("")
	}
	for _, j := range c.planner.Rejoins() {
		c.rejoins.Inc()
		c.opts.Log.Warn().Str("event", "worker_rejoined").Str("worker", j.Worker.ID).Str("group", j.Group.Name).Int("rank", j.Worker.Membership.Rank).
			Str("state", string(j.Worker.Membership.State)).Uint64("store_version", j.Worker.At.Version()).Uint64("term", term).Msg("")
	}
	for _, s := range c.planner.ShareChanges() {
		c.opts.Log.Info().Str("event", "model_shares").Str("service", s.Service).Str("region", s.Region).Any("shares", s.Shares).Any("asked", s.Offered).
			Dur("memory", s.TimeConstant).Bool("measured", s.Measured).Uint64("term", term).Msg("")
	}
}

// sendOrder sends an order unless the lease has ended in the meantime.
func (c *Controller) sendOrder(ctx context.Context, term uint64, o Order) {
	started := c.opts.Now()
	if c.opts.Fenced() {
		o.Fence = term
	}
	outcome, err := c.deliver(ctx, term, o)
	c.orders.Inc()
	if outcome == Unanswered {
		c.unanswered.Inc()
	}
	c.opts.Log.Info().Str("event", "order").Str("op", o.Op.String()).Str("group", o.Group.Name).Uint64("epoch", o.Group.Epoch).
		Str("worker", o.Worker.ID).Str("model", o.Model).Str("outcome", outcome.String()).Bool("guarded", o.Guarded).Dur("took", c.opts.Now().Sub(started)).Uint64("term", term).Err(err).Msg("")
	select {
	case c.results <- result{term: term, order: o, outcome: outcome, sent: started}:
	case <-ctx.Done():
	}
}

// deliver sends an order to its worker, if its guard allows that and the lease hasn't ended.
func (c *Controller) deliver(ctx context.Context, term uint64, o Order) (Outcome, error) {
	if o.Guarded {
		if outcome, err := c.guard(ctx, term, &o); outcome != Started {
			return outcome, err
		}
	}
	if held, ok := c.opts.Lease.Held(); !ok || held != term {
		return NotDelivered, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.opts.Orders.Send(ctx, o)
}
