package commands

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/rpc"
)

// printTable prints rows in aligned columns.
func (c *client) printTable(header string, rows [][]string) error {
	w := tabwriter.NewWriter(c.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (c *client) status(ctx context.Context, _ []string) error {
	s, err := c.operator.Status(ctx, &rpc.StatusRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.stdout, "node      %s in %s, version %s\n", s.Node, s.Hall, s.Version)
	fmt.Fprintf(c.stdout, "ready     %t\n", s.Ready)
	fmt.Fprintf(c.stdout, "settings  revision %d\n", s.SettingsRevision)
	fmt.Fprintf(c.stdout, "table     reachable %t\n", s.StoreReachable)
	fmt.Fprintf(c.stdout, "groups    %d, %d of them present\n", len(s.Groups), countPresent(s.Groups))
	holders := map[string]int{}
	for _, d := range s.Duties {
		holders[d.Holder]++
	}
	for holder, n := range holders {
		fmt.Fprintf(c.stdout, "duties    %d held by %s\n", n, firstNonEmpty(holder, "nobody"))
	}
	return nil
}

func countPresent(list []*rpc.GroupStatus) int {
	n := 0
	for _, g := range list {
		if g.Present {
			n++
		}
	}
	return n
}

func (c *client) groups(ctx context.Context, _ []string) error {
	s, err := c.operator.Status(ctx, &rpc.StatusRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(s.Groups)
	}
	var rows [][]string
	for _, g := range s.Groups {
		rows = append(rows, []string{g.Id, g.Pool, g.State, fmt.Sprint(g.Present), fmt.Sprint(g.InFlight), strings.Join(g.Vms, " ")})
	}
	return c.printTable("GROUP\tPOOL\tSTATE\tPRESENT\tIN FLIGHT\tVMS", rows)
}

func (c *client) vms(ctx context.Context, _ []string) error {
	s, err := c.operator.Status(ctx, &rpc.StatusRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(s.Vms)
	}
	var rows [][]string
	for _, vm := range s.Vms {
		rows = append(rows, []string{vm.Id, vm.Addr, vm.Hall, vm.Domain, vm.Pool, vm.State, firstNonEmpty(vm.Group, "-")})
	}
	return c.printTable("VM\tADDRESS\tHALL\tDOMAIN\tPOOL\tSTATE\tGROUP", rows)
}

func (c *client) audit(ctx context.Context, _ []string) error {
	return c.showAudit(ctx, func(*rpc.AuditEntry) bool { return true })
}

func (c *client) showAudit(ctx context.Context, match func(*rpc.AuditEntry) bool) error {
	reply, err := c.operator.Audit(ctx, &rpc.AuditRequest{Limit: int32(c.limit)})
	if err != nil {
		return err
	}
	var entries []*rpc.AuditEntry
	for _, e := range reply.Entries {
		if match(e) {
			entries = append(entries, e)
		}
	}
	if c.json {
		return c.printJSON(entries)
	}
	var rows [][]string
	for _, e := range entries {
		when := time.UnixMilli(e.TimeUnixMs).UTC().Format("2006-01-02 15:04:05.000")
		rows = append(rows, []string{when, e.Who, e.What, e.Subject, firstNonEmpty(e.Before, "-"), firstNonEmpty(e.After, "-"), e.Why})
	}
	return c.printTable("TIME (UTC)\tWHO\tWHAT\tSUBJECT\tFROM\tTO\tWHY", rows)
}

func (c *client) stopList(ctx context.Context, _ []string) error {
	reply, err := c.operator.StopList(ctx, &rpc.StopListRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(reply.Stops)
	}
	var rows [][]string
	for _, s := range reply.Stops {
		when := time.UnixMilli(s.TimeUnixMs).UTC().Format(time.DateTime)
		rows = append(rows, []string{s.Id, when, s.Who, firstNonEmpty(s.Vm, "-"), firstNonEmpty(s.Group, "-"), s.Why})
	}
	return c.printTable("ID\tTIME (UTC)\tWHO\tVM\tGROUP\tWHY", rows)
}

func (c *client) stopAnnounce(ctx context.Context, _ []string) error {
	if (c.vm == "") == (c.group == "") {
		return &usageError{text: "stop announce: want either -vm or -group"}
	}
	if c.id == "" {
		c.id = uuid.NewString()[:8]
	}
	request := &rpc.StopAnnounceRequest{Id: c.id, Who: c.who, Why: c.why, Vm: c.vm, Group: c.group}
	if _, err := c.operator.StopAnnounce(ctx, request); err != nil {
		return fmt.Errorf("%w\nIf the response was lost, repeat the command with -id %s", err, c.id)
	}
	fmt.Fprintf(c.stdout, "announced as %s\n", c.id)
	return nil
}

func (c *client) stopCancel(ctx context.Context, args []string) error {
	if _, err := c.operator.StopCancel(ctx, &rpc.StopCancelRequest{Id: args[0], Who: c.who}); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "cancelled %s\n", args[0])
	return nil
}
