// Package catalog holds the current configuration: how requests are routed to services,
// which customers may send them, and how models run.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request may be repeated.
type Kind int

const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request whose answer is a stream of events.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route determines how requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the duration of a request, 0 for no bound.
	Timeout time.Duration
	// LatencyGoal is the time to the answer, or its first event, up to which a request
	// earns full credit.
	LatencyGoal time.Duration
	// MaxEventGap is the longest gap between events that still counts as in time.
	MaxEventGap time.Duration
	Priority    int
	Shares      []Share
	// Attempts is the maximum number of workers to which one request is sent.
	Attempts int
	// Public routes need no credential.
	Public    bool
	Resumable bool
	// Regions are where the route's requests may run.
	Regions Regions
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// ServiceFor returns the service at a point of the route's cumulative weights, scaled to
// the range from 0 to 1.
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

// Service is a set of interchangeable workers.
type Service struct {
	Name           string
	MaxConnections int
	// Cold configures the slow start of its workers.
	Cold Cold
	// Runtime is nil for services whose workers serve alone, without groups.
	Runtime *Runtime
}

// Cold configures the slow start of workers. The zero value disables it.
type Cold struct {
	// Duration is how long a worker stays cold after a start, unless its entry contains a
	// time.
	Duration time.Duration
	// RequestsPerSecond is the rate of requests from all daemons that a cold worker can
	// take.
	RequestsPerSecond float64
}

// NoPriority is the priority of a customer without one: that of the route applies.
const NoPriority = -1

// Customer is a sender of requests.
type Customer struct {
	Name string
	// Priority overrides that of the route unless it is NoPriority; 0 is the most urgent.
	Priority int
	Keys     []string
	// Regions are where the customer's requests may run.
	Regions Regions
}

// Limits bounds the size and the timing of requests.
type Limits struct {
	HeaderBytes, BodyBytes  int
	HeaderTimeout, IdleTime time.Duration
}

// Catalog is one version of the configuration. It is immutable.
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

// Newer reports whether the catalog has a higher version than another one, which may be
// nil.
func (c *Catalog) Newer(other *Catalog) bool { return other == nil || c.version > other.version }

// Limits returns the limits of requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Route returns the route with the longest matching prefix of a host and path.
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

// HasColdStart reports whether a service configures a slow start.
func (c *Catalog) HasColdStart() bool {
	for _, s := range c.services {
		if s.Cold.RequestsPerSecond > 0 {
			return true
		}
	}
	return false
}

// NeedsCredential reports whether requests need a credential.
func (c *Catalog) NeedsCredential() bool { return len(c.customers) > 0 }

// Customer returns the customer of a key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.customers[key]
	return customer, ok
}
