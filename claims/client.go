package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/duty"
)

// claimTries is how often an owner is asked under the same attempt. With the
// wait between them they outlast a slot's handing over.
const claimTries = 5

// Directory tells who owns a slot.
type Directory interface {
	HolderOf(name string) (duty.Holder, bool)
	Name() string
}

// Remote is the owner's side at another daemon.
type Remote interface {
	Claim(ctx context.Context, addr string, req Request) (Result, error)
	Settle(ctx context.Context, addr string, customer, key, attempt string, s Settlement, answer *Answer) error
}

// Durable keeps the claims of keys that carry no time.
type Durable interface {
	Claim(ctx context.Context, req Request) (Result, error)
	Settle(ctx context.Context, req Request, s Settlement, answer *Answer) error
}

// Client claims keys wherever their owner is.
type Client struct {
	owner     *Owner
	directory Directory
	remote    Remote
	durable   Durable
	slots     int
	wait      time.Duration
}

// NewClient returns a client. Between tries it waits for the directory or the
// owner to catch up.
func NewClient(owner *Owner, directory Directory, remote Remote, durable Durable, slots int, wait time.Duration) *Client {
	return &Client{owner: owner, directory: directory, remote: remote, durable: durable, slots: slots, wait: wait}
}

// Claim asks for a key on behalf of one attempt. An error means that nobody
// can say whether an earlier attempt ran; this attempt must not.
func (c *Client) Claim(ctx context.Context, req Request) (Result, error) {
	if _, dated := reqkey.Time(req.key); !dated {
		return c.durable.Claim(ctx, req)
	}
	var last error
	for try := range claimTries {
		result, err := c.ask(ctx, req)
		if err == nil && result.state != NotOwner {
			return result, nil
		}
		last = err
		if err == nil {
			last = &OwnerError{text: "the slot is changing hands"}
		}
		if try+1 < claimTries && !sleep(ctx, c.wait) {
			break
		}
	}
	return Result{}, last
}

func (c *Client) ask(ctx context.Context, req Request) (Result, error) {
	name := c.slotDuty(req.customer, req.key)
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

// Settle tells the owner how an attempt ended. It tries again for a while: a
// lost settlement turns a kept answer into "unknown".
func (c *Client) Settle(ctx context.Context, req Request, s Settlement, answer *Answer) error {
	if _, dated := reqkey.Time(req.key); !dated {
		return c.durable.Settle(ctx, req, s, answer)
	}
	var last error
	for range claimTries {
		last = c.settleOnce(ctx, req, s, answer)
		if last == nil || !sleep(ctx, c.wait) {
			return last
		}
	}
	return last
}

func (c *Client) settleOnce(ctx context.Context, req Request, s Settlement, answer *Answer) error {
	name := c.slotDuty(req.customer, req.key)
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

func (c *Client) slotDuty(customer, key string) string {
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

// OwnerError says that the owner of a key's slot could not be asked.
type OwnerError struct {
	text string
	err  error
}

// Error names the slot.
func (e *OwnerError) Error() string {
	if e.err == nil {
		return "claims: " + e.text
	}
	return fmt.Sprintf("claims: %s: %v", e.text, e.err)
}

// Unwrap returns the cause.
func (e *OwnerError) Unwrap() error { return e.err }
