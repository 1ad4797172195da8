// Package peer implements the calls between daemons: it converts their arguments
// and results to and from the messages of package rpc.
package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/groups"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/tree"
)

// Client calls other daemons.
type Client struct {
	http    *http.Client
	timeout time.Duration
	self    string
	seeds   []string
	fleet   *fleet.Registry
	now     func() time.Time
	log     *log.Logger

	mu    sync.Mutex
	stubs map[string]rpc.Peer
}

// NewClient returns a client for the daemon whose own control address is self.
func NewClient(client *http.Client, timeout time.Duration, self string, seeds []string, registry *fleet.Registry, now func() time.Time, logger *log.Logger) *Client {
	return &Client{http: client, timeout: timeout, self: self, seeds: seeds, fleet: registry, now: now, log: logger, stubs: map[string]rpc.Peer{}}
}

func (c *Client) stub(addr string) rpc.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		stub = rpc.NewPeerProtobufClient("http://"+addr, c.http)
		c.stubs[addr] = stub
	}
	return stub
}

// Addrs returns the addresses of all other daemons in the seeds and the VM list.
func (c *Client) Addrs() []string {
	addrs := slices.Clone(c.seeds)
	for _, vm := range c.fleet.InPool(fleet.EntryPool) {
		addrs = append(addrs, vm.Addr())
	}
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == c.self })
}

// Claim claims a key at the owner of its slot.
func (c *Client) Claim(ctx context.Context, addr string, req claims.Request) (claims.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.stub(addr).Claim(ctx, claimRequest(req))
	if err != nil {
		return claims.Result{}, &CallError{addr: addr, err: err}
	}
	return claimResult(reply)
}

// Settle reports an attempt's outcome to the owner of the key's slot.
func (c *Client) Settle(ctx context.Context, addr string, customer, key, attempt string, s claims.Settlement, answer *claims.Answer) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.stub(addr).Settle(ctx, &rpc.SettleRequest{
		Customer:   customer,
		Key:        key,
		Attempt:    attempt,
		Settlement: rpc.Settlement(s),
		Answer:     answerMessage(answer),
	})
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	return nil
}

// Transfer sends the claims of a slot to the daemon that will own it next.
func (c *Client) Transfer(ctx context.Context, addr string, t claims.Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if _, err := c.stub(addr).Transfer(ctx, transferMessage(t)); err != nil {
		return &CallError{addr: addr, err: err}
	}
	return nil
}

// Presence queries a daemon's reports. It converts the age of their evidence to
// this daemon's clock, counted from before the query was sent, so that evidence
// never appears newer than it is.
func (c *Client) Presence(ctx context.Context, addr string) ([]groups.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sent := c.now()
	reply, err := c.stub(addr).Presence(ctx, &rpc.PresenceRequest{})
	if err != nil {
		return nil, &CallError{addr: addr, err: err}
	}
	reports := make([]groups.Report, 0, len(reply.Domains))
	for _, d := range reply.Domains {
		age := max(units.Millis(d.EvidenceAgeMs), 0)
		present := groups.Presence{Epochs: d.Present, Plain: d.Plain, Evidence: sent.Add(-age)}
		reports = append(reports, groups.NewReport(d.Domain, d.DutyEpoch, present))
	}
	return reports, nil
}

// GroupStopped announces to all daemons, in the background, that a group has
// stopped.
func (c *Client) GroupStopped(g groups.Group) {
	message := &rpc.AnnounceRequest{Stopped: []*rpc.GroupEpoch{{Group: g.ID(), Epoch: g.Epoch()}}}
	for _, addr := range c.Addrs() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			if _, err := c.stub(addr).Announce(ctx, message); err != nil {
				c.log.Debug().Err(err).Str("peer", addr).Msg("announcement not delivered")
			}
		}()
	}
}

// settingsFanout is the number of peers that one query for newer settings goes to.
const settingsFanout = 2

// Settings queries a few random peers and returns the newest tree above revision
// after, or nil. A daemon without settings queries all peers.
func (c *Client) Settings(ctx context.Context, after uint64) *tree.Tree {
	addrs := c.Addrs()
	if after > 0 {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		addrs = addrs[:min(settingsFanout, len(addrs))]
	}
	var newest *tree.Tree
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			t, err := c.fetchSettings(ctx, addr, after)
			if err != nil || t == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if newest == nil || t.Revision() > newest.Revision() {
				newest = t
			}
		})
	}
	wg.Wait()
	return newest
}

func (c *Client) fetchSettings(ctx context.Context, addr string, after uint64) (*tree.Tree, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.stub(addr).Settings(ctx, &rpc.SettingsRequest{AfterRevision: after})
	if err != nil {
		return nil, &CallError{addr: addr, err: err}
	}
	if reply.Revision <= after {
		return nil, nil
	}
	nodes := map[tree.Path][]byte{}
	for _, n := range reply.Nodes {
		nodes[tree.Path(n.Path)] = n.FieldsJson
	}
	return tree.Import(reply.Revision, nodes)
}

// CallError reports that a call to a peer failed.
type CallError struct {
	addr string
	err  error
}

// Error returns the message with the peer's address.
func (e *CallError) Error() string { return fmt.Sprintf("peer %s: %v", e.addr, e.err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.err }
