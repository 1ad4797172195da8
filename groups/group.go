// Package groups forms, starts and stops groups of VMs that serve a model. The
// platform's table stores the members of each group. Every formation in a domain
// gets the next epoch, which is never reused.
package groups

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pointpass/pointpass/table"
)

// Prefixes of the rows for groups, memberships and the epochs of domains.
const (
	GroupPrefix  = "control/group/"
	MemberPrefix = "control/vm/"
	DomainPrefix = "control/domain/"
)

// State is the state of a group.
type State string

const (
	// Loading groups are formed and wait until all members are ready.
	Loading State = "loading"
	// Serving groups accept requests while all members are present.
	Serving State = "serving"
	// Draining groups finish their requests before a planned stop.
	Draining State = "draining"
)

// Group is one replica of a model: its members and the epoch it was formed in.
type Group struct {
	id      string
	pool    string
	domain  string
	epoch   uint64
	members []string
	state   State
	formed  time.Time
	version uint64
}

// NewGroup returns a newly formed group, which is loading.
func NewGroup(pool, domain string, epoch uint64, members []string, now time.Time) Group {
	return Group{
		id:      groupID(domain, epoch),
		pool:    pool,
		domain:  domain,
		epoch:   epoch,
		members: members,
		state:   Loading,
		formed:  now,
	}
}

func groupID(domain string, epoch uint64) string { return fmt.Sprintf("%s.%d", domain, epoch) }

// ID returns the group's ID: its domain and epoch.
func (g Group) ID() string { return g.id }

// Pool returns the pool that the group serves.
func (g Group) Pool() string { return g.pool }

// Domain returns the fabric domain of all members.
func (g Group) Domain() string { return g.domain }

// Epoch returns the epoch that the group was formed in.
func (g Group) Epoch() uint64 { return g.epoch }

// Members returns the IDs of the member VMs, the leader first.
func (g Group) Members() []string { return g.members }

// Leader returns the VM that receives the group's requests.
func (g Group) Leader() string { return g.members[0] }

// State returns the group's state.
func (g Group) State() State { return g.state }

// Formed returns when the group was formed, by the clock of the daemon that formed it.
func (g Group) Formed() time.Time { return g.formed }

// WithState returns a copy of the group in another state.
func (g Group) WithState(s State) Group {
	g.state = s
	return g
}

type groupRow struct {
	Pool     string   `json:"pool"`
	Domain   string   `json:"domain"`
	Epoch    uint64   `json:"epoch"`
	Members  []string `json:"members"`
	State    State    `json:"state"`
	FormedMS int64    `json:"formed_ms"`
}

func (g Group) row() groupRow {
	return groupRow{Pool: g.pool, Domain: g.domain, Epoch: g.epoch, Members: g.members, State: g.state, FormedMS: g.formed.UnixMilli()}
}

type memberRow struct {
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
}

type domainRow struct {
	Epoch uint64 `json:"epoch"`
}

type domainState struct {
	epoch   uint64
	version uint64
}

type member struct {
	group   string
	version uint64
}

// Registry caches the groups, memberships and domain epochs of the platform's table.
type Registry struct {
	mu      sync.RWMutex
	groups  map[string]Group
	members map[string]member
	domains map[string]domainState
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{groups: map[string]Group{}, members: map[string]member{}, domains: map[string]domainState{}}
}

// ApplyGroups applies changed rows of groups.
func (r *Registry) ApplyGroups(rows []table.Row, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table.Apply(r.groups, GroupPrefix, rows, func(_ string, written groupRow, row table.Row) Group {
		g := NewGroup(written.Pool, written.Domain, written.Epoch, written.Members, time.UnixMilli(written.FormedMS))
		g.state = written.State
		g.version = row.Version()
		return g
	})
}

// ApplyMembers applies changed rows of memberships.
func (r *Registry) ApplyMembers(rows []table.Row, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table.Apply(r.members, MemberPrefix, rows, func(_ string, written memberRow, row table.Row) member {
		return member{group: written.Group, version: row.Version()}
	})
}

// ApplyDomains applies changed rows of domains.
func (r *Registry) ApplyDomains(rows []table.Row, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		var written domainRow
		if row.Decode(&written) == nil {
			r.domains[strings.TrimPrefix(row.Key(), DomainPrefix)] = domainState{epoch: written.Epoch, version: row.Version()}
		}
	}
}

// All returns all groups, sorted by ID.
func (r *Registry) All() []Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var all []Group
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		all = append(all, r.groups[id])
	}
	return all
}

// InDomain returns the groups of one domain, sorted by ID.
func (r *Registry) InDomain(domain string) []Group {
	return slices.DeleteFunc(r.All(), func(g Group) bool { return g.domain != domain })
}

// Group returns the group with an ID.
func (r *Registry) Group(id string) (Group, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	g, ok := r.groups[id]
	return g, ok
}

// GroupOf returns the ID of the group that a VM belongs to, "" if none.
func (r *Registry) GroupOf(vm string) string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.members[vm].group
}

func (r *Registry) domain(name string) domainState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.domains[name]
}

func (r *Registry) member(vm string) member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.members[vm]
}
