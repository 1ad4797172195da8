package groups

import (
	"context"
	"fmt"
	"strings"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/table"
)

func (c *Controller) guardedTxn(domain string) *table.Txn {
	txn := &table.Txn{}
	c.opts.Duties.Guard(txn, duty.DomainDuty(domain))
	return txn
}

// form writes the rows of the group and of all members in one transaction. It fails
// if a member has a row already, since a VM can't be in two groups.
func (c *Controller) form(ctx context.Context, domain string, f Form) error {
	state := c.opts.Groups.domain(domain)
	g := NewGroup(f.Pool, domain, state.epoch+1, f.Members, c.opts.Now())
	txn := c.guardedTxn(domain)
	txn.Check(DomainPrefix+domain, state.version)
	txn.Put(DomainPrefix+domain, domainRow{Epoch: g.epoch})
	txn.Check(GroupPrefix+g.id, 0)
	txn.Put(GroupPrefix+g.id, g.row())
	for _, vm := range g.members {
		txn.Check(MemberPrefix+vm, 0)
		txn.Put(MemberPrefix+vm, memberRow{Group: g.id, Epoch: g.epoch})
	}
	reason := fmt.Sprintf("%d free VMs of %s", len(f.Members), f.Pool)
	c.record(txn, "group.form", g, reason, "", strings.Join(g.members, " "))
	return c.commit(ctx, "form "+g.id, txn)
}

func (c *Controller) advance(ctx context.Context, domain string, a Advance) error {
	txn := c.guardedTxn(domain)
	txn.Check(GroupPrefix+a.Group.id, a.Group.version)
	txn.Put(GroupPrefix+a.Group.id, a.Group.WithState(a.State).row())
	c.record(txn, "group."+string(a.State), a.Group, "", string(a.Group.state), string(a.State))
	if err := c.commit(ctx, "advance "+a.Group.id, txn); err != nil {
		return err
	}
	c.opts.Log.Info().Str("group", a.Group.id).Str("from", string(a.Group.state)).Str("to", string(a.State)).Dur("probe_age", a.ProbeAge).Msg("group changed its state")
	return nil
}

func (c *Controller) dissolve(ctx context.Context, domain string, d Dissolve) error {
	txn := c.guardedTxn(domain)
	txn.Check(GroupPrefix+d.Group.id, d.Group.version)
	txn.Delete(GroupPrefix + d.Group.id)
	for _, vm := range d.Group.members {
		m := c.opts.Groups.member(vm)
		if m.group == d.Group.id {
			txn.Check(MemberPrefix+vm, m.version)
			txn.Delete(MemberPrefix + vm)
		}
	}
	c.record(txn, "group.dissolve", d.Group, d.Reason, string(d.Group.state), "")
	return c.commit(ctx, "dissolve "+d.Group.id, txn)
}

func (c *Controller) record(txn *table.Txn, op string, g Group, reason, before, after string) {
	entry := audit.NewEntry(c.opts.Now(), c.opts.Node, op, g.id, reason)
	audit.Append(txn, entry.WithChange(before, after))
}

func (c *Controller) commit(ctx context.Context, op string, txn *table.Txn) error {
	if _, err := c.opts.Store.Commit(ctx, *txn); err != nil {
		return &WriteError{op: op, err: err}
	}
	return nil
}

// WriteError means that a change of a group was not written to the table.
type WriteError struct {
	op  string
	err error
}

// Error returns the message with the failed change.
func (e *WriteError) Error() string { return "groups: " + e.op + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *WriteError) Unwrap() error { return e.err }
