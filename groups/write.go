package groups

import (
	"context"
	"fmt"
	"strings"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/table"
)

func (c *Controller) begun(domain string) *table.Txn {
	txn := &table.Txn{}
	c.opts.Duties.Guard(txn, duty.DomainDuty(domain))
	return txn
}

// form writes the group's row and all members' rows in one transaction, on the
// condition that no member is in a group: a VM can't be in two.
func (c *Controller) form(ctx context.Context, domain string, f Form) error {
	state := c.opts.Groups.domain(domain)
	g := NewGroup(f.Pool, domain, state.epoch+1, f.Members, c.opts.Now())
	txn := c.begun(domain)
	txn.Check(DomainPrefix+domain, state.version)
	txn.Put(DomainPrefix+domain, domainRow{Epoch: g.epoch})
	txn.Check(GroupPrefix+g.id, 0)
	txn.Put(GroupPrefix+g.id, g.row())
	for _, vm := range g.members {
		txn.Check(MemberPrefix+vm, 0)
		txn.Put(MemberPrefix+vm, memberRow{Group: g.id, Epoch: g.epoch})
	}
	why := fmt.Sprintf("%d free VMs of %s", len(f.Members), f.Pool)
	c.record(txn, "group.form", g, why, "", strings.Join(g.members, " "))
	return c.commit(ctx, "form "+g.id, txn)
}

func (c *Controller) advance(ctx context.Context, domain string, a Advance) error {
	txn := c.begun(domain)
	txn.Check(GroupPrefix+a.Group.id, a.Group.version)
	txn.Put(GroupPrefix+a.Group.id, a.Group.WithState(a.State).row())
	c.record(txn, "group."+string(a.State), a.Group, "", string(a.Group.state), string(a.State))
	return c.commit(ctx, "advance "+a.Group.id, txn)
}

func (c *Controller) dissolve(ctx context.Context, domain string, d Dissolve) error {
	txn := c.begun(domain)
	txn.Check(GroupPrefix+d.Group.id, d.Group.version)
	txn.Delete(GroupPrefix + d.Group.id)
	for _, vm := range d.Group.members {
		m := c.opts.Groups.member(vm)
		if m.group == d.Group.id {
			txn.Check(MemberPrefix+vm, m.version)
			txn.Delete(MemberPrefix + vm)
		}
	}
	c.record(txn, "group.dissolve", d.Group, d.Why, string(d.Group.state), "")
	return c.commit(ctx, "dissolve "+d.Group.id, txn)
}

func (c *Controller) record(txn *table.Txn, what string, g Group, why, before, after string) {
	entry := audit.NewEntry(c.opts.Now(), c.opts.Node, what, g.id, why)
	audit.Append(txn, entry.WithChange(before, after))
}

func (c *Controller) commit(ctx context.Context, what string, txn *table.Txn) error {
	if _, err := c.opts.Store.Commit(ctx, *txn); err != nil {
		return &WriteError{what: what, err: err}
	}
	return nil
}

// WriteError says that a change of a group was not written.
type WriteError struct {
	what string
	err  error
}

// Error names the change.
func (e *WriteError) Error() string { return "groups: " + e.what + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.err }
