package deps

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/workers"
)

// Times of the checks of a worker whose responses broke off.
const (
	// lossDebounce is how long broken responses of a worker accumulate before it is checked.
	// All requests that a crash breaks are lost within 10 ms.
	lossDebounce = 30 * time.Millisecond
	// silenceRecheckDelay is how long after the first probe a worker that hasn't answered it is probed again.
	silenceRecheckDelay = 150 * time.Millisecond
	// probeTimeout is how long a worker may take to answer a probe.
	probeTimeout = 300 * time.Millisecond
	// cancellationWatch is how long after a request was canceled at a worker a crash counts against it: a worker
	// that doesn't heed the cancellation begins the request within that time.
	cancellationWatch = 2 * time.Second
	// refusalPollInterval is how often a worker is asked for that time. Others report the crash 30 ms after it, and
	// it is judged 150 ms later.
	refusalPollInterval = 100 * time.Millisecond
)

// livenessRechecks are the delays of further checks of a worker that answers: a process that crashes may accept
// connections for some time after its responses broke off.
var livenessRechecks = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond}

// workerProber probes workers.
type workerProber interface {
	// Refuses reports whether a worker refuses connections.
	Refuses(ctx context.Context, w workers.Worker) bool
	// Answers reports whether a worker answers, and hasn't started again since its entry was written.
	Answers(ctx context.Context, w workers.Worker) bool
}

// prober probes workers on the users' platform.
type prober struct {
	*platform.Upstream
	*platform.Orders
}

// crashChecker finds out whether a worker has ended after its responses broke off.
type crashChecker struct {
	prober workerProber
	// others returns the other workers of the group that a worker is the head of.
	others func(w workers.Worker) []workers.Worker
	// cut reports whether this daemon can't reach the workers of a service.
	cut func(service string) bool
}

// checkOutcome is what the checks of a worker showed.
type checkOutcome string

const (
	workerAlive   checkOutcome = "alive"
	workerRefuses checkOutcome = "refuses"
	// workerSilent means that it doesn't answer, though it may accept connections.
	workerSilent checkOutcome = "silent"
	// memberRefuses means that another worker of its group refuses connections.
	memberRefuses checkOutcome = "member_refuses"
	// workersCut means that this daemon can't reach other workers of the service either.
	workersCut checkOutcome = "cut"
)

// ended reports whether the worker has ended.
func (o checkOutcome) ended() bool { return o != workerAlive && o != workersCut }

// check checks a worker until it is known to have ended, or has been alive for some time.
func (c *crashChecker) check(ctx context.Context, w workers.Worker) checkOutcome {
	outcome := c.probe(ctx, w)
	for _, delay := range livenessRechecks {
		if outcome != workerAlive {
			break
		}
		sleep(ctx, delay)
		if c.prober.Refuses(ctx, w) {
			outcome = workerRefuses
		}
	}
	if outcome == workerSilent && c.cut(w.Service) {
		return workersCut
	}
	return outcome
}

// awaitRefusal reports whether a worker begins to refuse connections before ctx ends.
func (c *crashChecker) awaitRefusal(ctx context.Context, w workers.Worker) bool {
	for ctx.Err() == nil {
		if c.prober.Refuses(ctx, w) && ctx.Err() == nil {
			return true
		}
		sleep(ctx, refusalPollInterval)
	}
	return false
}

// probe checks a worker. Only members of groups are probed: others may take a probe for a request.
func (c *crashChecker) probe(ctx context.Context, w workers.Worker) checkOutcome {
	if c.prober.Refuses(ctx, w) {
		return workerRefuses
	}
	if w.Membership.Group.Name == "" {
		return workerAlive
	}
	if !c.answers(ctx, w) {
		return workerSilent
	}
	for _, other := range c.others(w) {
		if c.prober.Refuses(ctx, other) {
			return memberRefuses
		}
	}
	return workerAlive
}

// answers reports whether a worker answers one of two probes. The second one doesn't wait for the outcome of the
// first, as each probe of a worker that is silent takes probeTimeout.
func (c *crashChecker) answers(ctx context.Context, w workers.Worker) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delays := []time.Duration{0, silenceRecheckDelay}
	answered := make(chan bool, len(delays))
	for _, delay := range delays {
		go func() {
			sleep(ctx, delay)
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			answered <- ctx.Err() == nil && c.prober.Answers(ctx, w)
		}()
	}
	for range delays {
		if <-answered {
			return true
		}
	}
	return false
}
