package deps

import (
	"net/http"
	"time"

	"github.com/pointpass/pointpass/connlimit"
)

// Idle times of connections to a daemon.
const (
	CallersIdleTimeout = time.Minute
	ControlIdleTimeout = 2 * time.Minute
)

// controlDescriptorShare is the part of the process's descriptors that connections to the control port may take: those
// of other daemons, operators and monitoring.
const controlDescriptorShare = peersDescriptorShare + othersDescriptorShare

// claimBytes is the length of a claim without its answer in a call that hands over claims.
const claimBytes = 512

// DaemonClients bounds what callers, other daemons, operators and monitoring can make a daemon hold.
type DaemonClients struct {
	*clientBounds
	// Callers and Control track the connections to the two ports.
	Callers, Control *connlimit.Tracker
}

func newDaemonClients(d *Deps) *DaemonClients {
	a := allotment{memory: d.Config.Limits().Memory, descriptors: func() int { return 0 }}
	c := &DaemonClients{clientBounds: newClientBounds(a, d.Metrics, d.Log)}
	c.Callers = c.newTracker("callers", callersDescriptorShare, func() connlimit.Limits { return d.headLimits(CallersIdleTimeout) })
	c.Control = c.newTracker("control", controlDescriptorShare, func() connlimit.Limits { return d.headLimits(ControlIdleTimeout) })
	return c
}

func (d *Deps) headLimits(idle time.Duration) connlimit.Limits {
	return connlimit.Limits{HeadBytes: d.Config.Limits().HeaderBytes, HeadTimeout: d.Config.Timing().HeaderRead, IdleTimeout: idle}
}

// Bodies reads the bodies of requests within the memory for them.
func (c *DaemonClients) Bodies() *connlimit.Bodies { return c.bodies }

// BoundCalls returns a handler that passes calls to the control port to next, a Twirp handler, once their bodies have arrived
// within the memory for them.
func (d *Deps) BoundCalls(next http.Handler) http.Handler {
	limits := d.Config.Limits()
	// The longest call hands over all claims of a slot.
	limit := limits.BodyBytes + limits.ClaimsBytes + claimBytes*int64(limits.Claims)
	return d.Clients.boundCalls(next, limit, d.Config.Timing().BodyRead)
}
