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
// is asked for guardTimeout.
func (c *Controller) guard(ctx context.Context, o *Order) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, guardTimeout)
	defer cancel()
	for {
		report, err := c.opts.Reporter.Report(ctx, o.Worker)
		if err != nil {
			return NotDelivered, err
		}
		if report.Group.Name == "" || report.Group == o.Group {
			o.Condition = report.Orders
			return Started, nil
		}
		select {
		case <-ctx.Done():
			return WrongState, nil
		case <-time.After(reportInterval):
		}
	}
}
