package serving

import (
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quarantine"
)

// fingerprint returns what names the request wherever and whenever it comes, false while
// the key of fingerprints isn't known. It is made at most once.
func (e *exchange) fingerprint() (quarantine.Fingerprint, bool) {
	if e.print != "" {
		return e.print, true
	}
	c := quarantine.Content{Host: e.req.Host, Target: e.req.Target, Body: e.req.Body}
	if e.customer != nil {
		c.Customer = e.customer.Name
	}
	f, known := e.server.opts.Guard.Fingerprint(c)
	e.print = f
	return f, known
}

// firstStage is how far a worker is with a request that was just sent. Plain services
// don't tell when they begin: theirs count as begun at once.
func (e *exchange) firstStage() quarantine.Stage {
	if e.service.Runtime == nil || e.route.Kind != catalog.Stream {
		return quarantine.Begun
	}
	return quarantine.Queued
}
