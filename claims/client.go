package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/duty"
)

// maxTries is how often a claim or settlement is sent for one attempt. With the
// delay in between, the tries outlast the handover of a slot.
const maxTries = 5

// Directory looks up the daemon that owns a slot.
type Directory interface {
	HolderOf(name string) (duty.Holder, bool)
	Name() string
}

// Remote calls the owner of a slot on another daemon.
type Remote interface {
	Claim(ctx context.Context, addr string, req Request) (Result, error)
	Settle(ctx context.Context, addr string, customer, key, attempt string, s Settlement, answer *Answer) error
}

// Durable stores the claims of keys that carry no timestamp.
type Durable interface {
	Claim(ctx context.Context, req Request) (Result, error)
	Settle(ctx context.Context, req Request, s Settlement, answer *Answer) error
}

// Client claims keys at the daemon that owns their slot, local or remote.
type Client struct {
	owner      *Owner
	directory  Directory
	remote     Remote
	durable    Durable
	slots      int
	retryDelay time.Duration
}

// NewClient returns a client. Between tries it waits for retryDelay, so that the
// directory or the owner can catch up.
func NewClient(owner *Owner, directory Directory, remote Remote, durable Durable, slots int, retryDelay time.Duration) *Client {
	return &Client{owner: owner, directory: directory, remote: remote, durable: durable, slots: slots, retryDelay: retryDelay}
}

// Claim requests a key for one attempt. An error means that it is unknown whether
// an earlier attempt ran; this attempt must not run.
func (c *Client) Claim(ctx context.Context, req Request) (Result, error) {
	if _, dated := reqkey.Time(req.key); !dated {
		return c.durable.Claim(ctx, req)
	}
	var last error
	for try := range maxTries {
		result, err := c.claimOnce(ctx, req)
		if err == nil && result.state != NotOwner {
			return result, nil
		}
		last = err
		if err == nil {
			last = &OwnerError{text: "the slot is being handed over"}
		}
		if try+1 < maxTries && !sleep(ctx, c.retryDelay) {
			break
		}
	}
	return Result{}, last
}

func (c *Client) claimOnce(ctx context.Context, req Request) (Result, error) {
	name := c.dutyOf(req.customer, req.key)
	holder, ok := c.directory.HolderOf(name)
	if !ok {
		return Result{}, &OwnerError{text: name + " has no owner"}
	}
	if holder.Name() == c.directory.Name() {
		return c.owner.Claim(req), nil
	}
	result, err := c.remote.Claim(ctx, holder.Addr(), req)
	if err != nil {
		return Result{}, &OwnerError{text: name + " at " + holder.Name(), err: err}
	}
	return result, nil
}

// Settle reports to the owner how an attempt ended. It retries, since a lost
// settlement turns a stored answer into "unknown".
func (c *Client) Settle(ctx context.Context, req Request, s Settlement, answer *Answer) error {
	if _, dated := reqkey.Time(req.key); !dated {
		return c.durable.Settle(ctx, req, s, answer)
	}
	var last error
	for range maxTries {
		last = c.settleOnce(ctx, req, s, answer)
		if last == nil || !sleep(ctx, c.retryDelay) {
			return last
		}
	}
	return last
}

func (c *Client) settleOnce(ctx context.Context, req Request, s Settlement, answer *Answer) error {
	name := c.dutyOf(req.customer, req.key)
	holder, ok := c.directory.HolderOf(name)
	if !ok {
		return &OwnerError{text: name + " has no owner"}
	}
	if holder.Name() == c.directory.Name() {
		c.owner.Settle(req.customer, req.key, req.attempt, s, answer)
		return nil
	}
	return c.remote.Settle(ctx, holder.Addr(), req.customer, req.key, req.attempt, s, answer)
}

func (c *Client) dutyOf(customer, key string) string {
	return duty.SlotDuty(reqkey.Slot(customer, key, c.slots))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// OwnerError means that the owner of a key's slot could not be reached.
type OwnerError struct {
	text string
	err  error
}

// Error returns the message with the slot or row.
func (e *OwnerError) Error() string {
	if e.err == nil {
		return "claims: " + e.text
	}
	return fmt.Sprintf("claims: %s: %v", e.text, e.err)
}

// Unwrap returns the underlying error.
func (e *OwnerError) Unwrap() error { return e.err }
