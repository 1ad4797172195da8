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
	orders  *metrics.Counter
	lost    *metrics.Counter
	probes  *metrics.Counter

	probeAnswers chan probeAnswer
	probed       map[workers.GroupID]time.Time
	suspects     suspects
}

type result struct {
	term    uint64
	order   Order
	outcome Outcome
}

// How often the controller looks around when nothing happens, and how long one
// order may take.
const (
	holderTick   = 250 * time.Millisecond
	standbyTick  = 500 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
	mostResults  = 1024
)

// NewController returns a controller. Nothing runs before Run.
func NewController(opts Options) *Controller {
	return &Controller{
		opts:    opts,
		wake:    make(chan struct{}, 1),
		results: make(chan result, mostResults),
		orders:  opts.Metrics.NewCounter("pointpass_orders_total"),
		lost:    opts.Metrics.NewCounter("pointpass_orders_unanswered_total"),
		probes:  opts.Metrics.NewCounter("pointpass_probes_total"),

		probeAnswers: make(chan probeAnswer, mostResults),
		probed:       map[workers.GroupID]time.Time{},
	}
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
	for _, o := range c.plan(ctx, term) {
		go c.give(ctx, term, o)
	}
	return holderTick
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
	case c.results <- result{term: term, order: o, outcome: outcome}:
	case <-ctx.Done():
	}
}
