package world

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// proxies holds the fault-injecting proxies of a world, keyed by the name of the link.
type proxies struct {
	server *toxiproxy.ApiServer

	mu     sync.Mutex
	byLink map[string]*toxiproxy.Proxy
}

func newProxies() *proxies {
	return &proxies{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		byLink: map[string]*toxiproxy.Proxy{},
	}
}

func platformLink(node string) string { return node + "-platform" }
func controlLink(node string) string  { return node + "-control" }

// add starts a proxy for an upstream address and returns the proxy's own address.
func (p *proxies) add(name, upstream string) (string, error) {
	proxy := toxiproxy.NewProxy(p.server, name, "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byLink[name] = proxy
	return proxy.Listen, nil
}

func (p *proxies) get(name string) (*toxiproxy.Proxy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.byLink[name]
	if !ok {
		return nil, fmt.Errorf("no proxy for link %q", name)
	}
	return proxy, nil
}

func (p *proxies) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byLink {
		proxy.Stop()
	}
}

// blackholeToxic drops all data in one direction and keeps the connections open.
const blackholeToxic = `{"name": "cut-%[1]s", "type": "timeout", "stream": "%[1]s", "attributes": {"timeout": 0}}`

// Link is a network path of a daemon that runs through a proxy.
type Link int

const (
	// PlatformLink is between a daemon and the platform.
	PlatformLink Link = iota
	// ControlLink is between a daemon's control address and all its clients.
	ControlLink
)

// Cut drops all data on a daemon's link in both directions.
func (w *World) Cut(d *Daemon, link Link) error {
	return w.withToxics(d, link, func(c *toxiproxy.ToxicCollection) error {
		for _, stream := range []string{"upstream", "downstream"} {
			if _, err := c.AddToxicJson(strings.NewReader(fmt.Sprintf(blackholeToxic, stream))); err != nil {
				return err
			}
		}
		return nil
	})
}

// Delay adds latency to the upstream direction of a daemon's link.
func (w *World) Delay(d *Daemon, link Link, by time.Duration) error {
	latencyToxic := fmt.Sprintf(`{"name": "late", "type": "latency", "stream": "upstream", "attributes": {"latency": %d}}`, by.Milliseconds())
	return w.withToxics(d, link, func(c *toxiproxy.ToxicCollection) error {
		_, err := c.AddToxicJson(strings.NewReader(latencyToxic))
		return err
	})
}

// Heal removes all cuts and delays from a daemon's link.
func (w *World) Heal(d *Daemon, link Link) error {
	return w.withToxics(d, link, func(c *toxiproxy.ToxicCollection) error {
		c.ResetToxics(context.Background())
		return nil
	})
}

func (w *World) withToxics(d *Daemon, link Link, f func(*toxiproxy.ToxicCollection) error) error {
	name := platformLink(d.Node)
	if link == ControlLink {
		name = controlLink(d.Node)
	}
	proxy, err := w.proxies.get(name)
	if err != nil {
		return err
	}
	return f(proxy.Toxics)
}
