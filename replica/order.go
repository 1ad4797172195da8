package replica

import (
	"context"

	"github.com/pointpass/pointpass/workers"
)

// Op is what an order asks of a worker.
type Op int

const (
	// Join makes the worker a member of a group, in place of any other.
	Join Op = iota
	// Open makes a head whose members are ready serve.
	Open
	// Close makes a head end what it has and take nothing new.
	Close
	// Leave ends the worker's membership at once.
	Leave
	// Stage loads a model to the worker's host, beside all else.
	Stage
)

// String returns the operation's name in logs.
func (o Op) String() string { return [...]string{"join", "open", "close", "leave", "stage"}[o] }

// Order is one order to a worker.
type Order struct {
	Worker workers.Worker
	Op     Op
	Group  workers.GroupID
	// Model is set for Join and Stage, Members, the head first, for Join.
	Model   string
	Members []string
	// Fence is the fencing token: the term of the lease that the order is given under.
	// Where workers look at it they refuse orders of earlier terms; where they don't it
	// is 0, and none is sent.
	Fence uint64
}

// Outcome is what came of an order.
type Outcome int

const (
	// Unanswered orders may have been taken, or may be carried out later.
	Unanswered Outcome = iota
	// Begun orders are being carried out.
	Begun
	// Holds means that the order is done, or that it held already.
	Holds
	// Unfit orders do not fit the worker's state.
	Unfit
	// Outdated orders carry an epoch or a fencing token that is too low.
	Outdated
	// NotTaken orders did not reach the worker meant.
	NotTaken
	// Withheld orders were never sent: they waited for too long to be still right.
	Withheld
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "begun", "holds", "unfit", "outdated", "not_taken", "withheld"}[o]
}

// outranked tells whether an order's outcome shows that another process has given
// orders under a later term of the lease, where it was given a fencing token. A join
// may also be refused for a higher epoch, even one that the same holder gave before and
// that was carried out late, so that only that of other orders is sure to show it.
func outranked(o Order, outcome Outcome) bool {
	return o.Fence != 0 && outcome == Outdated && o.Op != Join
}

// Orders gives orders to workers.
type Orders interface {
	Give(ctx context.Context, o Order) (Outcome, error)
}

// Prober asks workers whether they are there.
type Prober interface {
	// Answers tells whether a worker answers within the context's time.
	Answers(ctx context.Context, w workers.Worker) bool
}
