package replica

import (
	"context"

	"github.com/pointpass/pointpass/workers"
)

// Op is the operation that an order asks a worker to do.
type Op int

const (
	// Join makes the worker a member of a group, and ends any other membership.
	Join Op = iota
	// Open makes a head whose members are ready start serving.
	Open
	// Close makes a head finish its requests and accept no new ones.
	Close
	// Leave ends the worker's membership at once.
	Leave
	// Stage loads a model to the worker's host, alongside whatever the worker runs.
	Stage
)

// String returns the operation's name in logs.
func (o Op) String() string { return [...]string{"join", "open", "close", "leave", "stage"}[o] }

// Order is an order to one worker.
type Order struct {
	Worker workers.Worker
	Op     Op
	Group  workers.GroupID
	// Model is set for Join and Stage. Members, the head first, is set for Join.
	Model   string
	Members []string
	// Guarded is set for a join of a worker that an earlier order may still bring into another group. It
	// is sent only if the worker reports to be in none, and under the condition that it has taken no
	// order since. Earlier is that group, if it is known.
	Guarded bool
	Earlier workers.GroupID
	// Condition is the number of orders that the worker must have taken so far, if Conditional is set.
	Conditional bool
	Condition   int64
	// Fence is the fencing token: the term of the lease under which the order is sent. Workers
	// that check it reject orders of earlier terms. Where workers don't check it, it is 0 and
	// isn't sent.
	Fence uint64
}

// Outcome is the result of an order.
type Outcome int

const (
	// Unanswered orders may have been accepted, or may be carried out later.
	Unanswered Outcome = iota
	// Started orders are being carried out.
	Started
	// Satisfied orders are done, or their effect was already in place.
	Satisfied
	// WrongState orders do not fit the state of the worker.
	WrongState
	// Outdated orders carry an epoch or a fencing token that is too low.
	Outdated
	// NotDelivered orders did not reach the intended worker.
	NotDelivered
	// Expired orders were never sent: they waited for too long to be still valid.
	Expired
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "begun", "holds", "unfit", "outdated", "not_taken", "withheld"}[o]
}

// outranked reports whether the outcome of an order shows that another process has sent orders
// under a later term of the lease. That needs a fencing token. A join may also be rejected for
// a higher epoch, even one that the same holder sent earlier and that was carried out late, so
// only the outcome of other orders is conclusive.
func outranked(o Order, outcome Outcome) bool {
	return o.Fence != 0 && outcome == Outdated && o.Op != Join
}

// Orders sends orders to workers.
type Orders interface {
	Send(ctx context.Context, o Order) (Outcome, error)
}

// Prober checks whether workers are alive.
type Prober interface {
	// Answers reports whether a worker answers before the context ends.
	Answers(ctx context.Context, w workers.Worker) bool
	// Accepts reports whether a worker's machine accepts connections before the context ends, even if the
	// process is paused.
	Accepts(ctx context.Context, w workers.Worker) bool
}

// Reporter asks workers for their state.
type Reporter interface {
	// Report returns a worker's own report, which may be some hundred milliseconds old.
	Report(ctx context.Context, w workers.Worker) (Report, error)
}

// Report is the state of a worker by its own account, all of one moment.
type Report struct {
	// Orders is the number of orders that the worker has taken, if Counted is set. Not every worker
	// counts them.
	Orders  int64
	Counted bool
	// Group is the group that it is in, its name "" if it is in none.
	Group workers.GroupID
}
