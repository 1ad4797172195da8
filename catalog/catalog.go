// Package catalog holds the configuration in force: which requests are routed to
// which services, who may send them, and how models are run.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind int

const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request whose answer is a series of events.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held, 0 for no bound.
	Timeout time.Duration
	// Goal is the time to the answer, or its first event, that earns full credit.
	Goal time.Duration
	// Gap is the longest pause between events that is still in time.
	Gap      time.Duration
	Priority int
	Shares   []Share
	// Attempts is how many workers one request may be sent to.
	Attempts int
	// Public routes need no credential.
	Public    bool
	Resumable bool
	// Regions are where requests of the route may run.
	Regions Regions
}

// Repeats tells whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// ServiceFor returns the service at a point of the route's weights, from 0 to 1.
func (r *Route) ServiceFor(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a set of workers that serve alike.
type Service struct {
	Name           string
	MaxConnections int
	// Cold is how its workers are to be used when they have just started.
	Cold Cold
	// Runtime is nil for services whose workers each serve alone.
	Runtime *Runtime
}

// Cold says how workers are to be used that have just started. The zero value means that
// they need no care.
type Cold struct {
	// For is how long a worker stays cold after a start, where nothing tells otherwise.
	For time.Duration
	// PerSecond is how many requests a second a cold worker bears from all daemons.
	PerSecond float64
}

// NoPriority is the priority of a customer that leaves it to the route.
const NoPriority = -1

// Customer is somebody who sends requests.
type Customer struct {
	Name string
	// Priority outranks that of the route unless it is NoPriority; 0 is the
	// most urgent.
	Priority int
	Keys     []string
	// Regions are where the customer's requests may run.
	Regions Regions
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes, BodyBytes  int
	HeaderTimeout, IdleTime time.Duration
}

// Catalog is one version of the configuration. It never changes.
type Catalog struct {
	version   uint64
	limits    Limits
	hosts     map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
}

// New returns a catalog.
func New(version uint64, limits Limits, routes []Route, services []Service, customers []Customer) *Catalog {
	c := &Catalog{version: version, limits: limits, hosts: map[string][]*Route{}, services: map[string]*Service{}, customers: map[string]*Customer{}}
	for i := range routes {
		r := &routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range customers {
		for _, key := range customers[i].Keys {
			c.customers[key] = &customers[i]
		}
	}
	return c
}

// Version returns the configuration's version.
func (c *Catalog) Version() uint64 { return c.version }

// Newer tells whether a catalog has a higher version than another one, which may be nil.
func (c *Catalog) Newer(than *Catalog) bool { return than == nil || c.version > than.version }

// Limits returns what callers may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Route returns the route of a host and path: that with the longest prefix.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services that run models, in order of their names.
func (c *Catalog) Services() []*Service {
	var list []*Service
	for _, s := range c.services {
		if s.Runtime != nil {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// StartsCold tells whether the workers of some service need care when they have just
// started.
func (c *Catalog) StartsCold() bool {
	for _, s := range c.services {
		if s.Cold.PerSecond > 0 {
			return true
		}
	}
	return false
}

// NeedsCredential tells whether requests must name their customer.
func (c *Catalog) NeedsCredential() bool { return len(c.customers) > 0 }

// Customer returns the customer that holds a key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	t, ok := c.customers[key]
	return t, ok
}
