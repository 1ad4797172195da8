package replica

import (
	"context"
	"time"
)

// reportInterval is the time before a worker is asked again for a report that is too old to show its
// last order.
const (
	reportInterval = 60 * time.Millisecond
	// guardTimeout bounds how long a guarded join waits for a report that allows it.
	guardTimeout = 400 * time.Millisecond
)

// guard sets the condition of a guarded join by the worker's own report. It returns an outcome other than
// Started if the order must not be sent. A worker that has just left a group may still report it, so that it
// is asked for guardTimeout. One that doesn't count its orders can't check a condition: it is made to leave
// the group that it may have joined right before.
func (c *Controller) guard(ctx context.Context, term uint64, o *Order) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, guardTimeout)
	defer cancel()
	for {
		report, err := c.opts.Reporter.Report(ctx, o.Worker)
		if err != nil {
			return NotDelivered, err
		}
		if report.Group.Name == "" || report.Group == o.Group {
			if !report.Counted {
				return c.leaveEarlier(ctx, term, *o)
			}
			o.Conditional, o.Condition = true, report.Orders
			return Started, nil
		}
		select {
		case <-ctx.Done():
			return WrongState, nil
		case <-time.After(reportInterval):
		}
	}
}

// leaveEarlier orders a worker to leave the group that an earlier order may have brought it into. It returns
// Started once the worker is certainly not in it.
func (c *Controller) leaveEarlier(ctx context.Context, term uint64, join Order) (Outcome, error) {
	if join.Earlier.Name == "" || join.Earlier == join.Group {
		return Started, nil
	}
	if held, ok := c.opts.Lease.Held(); !ok || held != term {
		return NotDelivered, nil
	}
	outcome, err := c.opts.Orders.Send(ctx, Order{Worker: join.Worker, Op: Leave, Group: join.Earlier, Fence: join.Fence})
	if outcome == Satisfied || outcome == Started || outcome == WrongState {
		return Started, nil
	}
	return NotDelivered, err
}
