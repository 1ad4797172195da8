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

// proxies are the fault-injecting proxies of a world, by the name of the link.
type proxies struct {
	server *toxiproxy.ApiServer

	mu  sync.Mutex
	all map[string]*toxiproxy.Proxy
}

func newProxies() *proxies {
	return &proxies{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		all:    map[string]*toxiproxy.Proxy{},
	}
}

func platformLink(node string) string { return node + "-platform" }
func controlLink(node string) string  { return node + "-control" }

// add puts a proxy before an address and returns the proxy's.
func (p *proxies) add(name, upstream string) (string, error) {
	proxy := toxiproxy.NewProxy(p.server, name, "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[name] = proxy
	return proxy.Listen, nil
}

func (p *proxies) get(name string) (*toxiproxy.Proxy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.all[name]
	if !ok {
		return nil, fmt.Errorf("no link named %q", name)
	}
	return proxy, nil
}

func (p *proxies) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.all {
		proxy.Stop()
	}
}

// blackHole is the toxic that lets nothing through and tells nobody.
const blackHole = `{"name": "cut-%[1]s", "type": "timeout", "stream": "%[1]s", "attributes": {"timeout": 0}}`

// Link is one of a daemon's connections that a proxy stands in.
type Link int

const (
	// PlatformLink is between a daemon and the platform.
	PlatformLink Link = iota
	// ControlLink is between all others and a daemon's control address.
	ControlLink
)

// Cut makes a daemon's link swallow everything.
func (w *World) Cut(d *Daemon, link Link) error {
	return w.onLink(d, link, func(c *toxiproxy.ToxicCollection) error {
		for _, stream := range []string{"upstream", "downstream"} {
			if _, err := c.AddToxicJson(strings.NewReader(fmt.Sprintf(blackHole, stream))); err != nil {
				return err
			}
		}
		return nil
	})
}

// Delay makes what a daemon sends over a link arrive late.
func (w *World) Delay(d *Daemon, link Link, by time.Duration) error {
	toxic := fmt.Sprintf(`{"name": "late", "type": "latency", "stream": "upstream", "attributes": {"latency": %d}}`, by.Milliseconds())
	return w.onLink(d, link, func(c *toxiproxy.ToxicCollection) error {
		_, err := c.AddToxicJson(strings.NewReader(toxic))
		return err
	})
}

// Heal takes cuts and delays back.
func (w *World) Heal(d *Daemon, link Link) error {
	return w.onLink(d, link, func(c *toxiproxy.ToxicCollection) error {
		c.ResetToxics(context.Background())
		return nil
	})
}

func (w *World) onLink(d *Daemon, link Link, f func(*toxiproxy.ToxicCollection) error) error {
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
