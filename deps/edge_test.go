package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/retry"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/node"
)

// TestConfigWait_KeepsEvidenceFresh guards against a daemon that rejects its own evidence as too
// old while its store responds. It covers all bounds on withdrawn keys from 1 s to 1 min.
func TestConfigWait_KeepsEvidenceFresh(t *testing.T) {
	for revoke := time.Second; revoke <= time.Minute; revoke += 250 * time.Millisecond {
		age := maxEvidenceAge(revoke)
		must.Less(t, revoke, age, must.Sprint(revoke))
		must.LessEq(t, age, 2*configWait(age)+storeLatency, must.Sprint(revoke))
	}
	must.EqOp(t, maxConfigWait, configWait(maxEvidenceAge(5*time.Second)))
	const slowLatency = 200 * time.Millisecond // fifty times the usual latency
	must.LessEq(t, maxDenyAge, 2*(configWait(maxDenyAge)+slowLatency), must.Sprint("unknown credentials are denied, not deferred"))
}

// storeLatency is the maximum response time of a healthy store.
const storeLatency = 100 * time.Millisecond

// TestEvidencePolicy_RespectsBounds guards against withdrawn keys that are accepted for longer than
// a strict bound allows, and against keys that are rejected early where no strict bound is set.
func TestEvidencePolicy_RespectsBounds(t *testing.T) {
	strict := evidencePolicy(node.Bounds{StrictRevocation: true, MaxRevocationDelay: 5 * time.Second, MaxEvidenceAge: time.Minute})
	must.EqOp(t, catalog.Admit, strict.Credential(true, 3700*time.Millisecond))
	must.EqOp(t, catalog.Defer, strict.Credential(true, 3800*time.Millisecond))
	loose := evidencePolicy(node.Bounds{MaxRevocationDelay: 5 * time.Second, MaxEvidenceAge: time.Minute})
	must.EqOp(t, catalog.Admit, loose.Credential(true, 59*time.Second))
	must.EqOp(t, catalog.Defer, loose.Credential(true, time.Minute))
	for _, p := range []catalog.EvidencePolicy{strict, loose} {
		must.EqOp(t, catalog.Deny, p.Credential(false, time.Second))
		must.EqOp(t, catalog.Defer, p.Credential(false, maxDenyAge))
		must.EqOp(t, catalog.Defer, p.Route(false, maxDenyAge))
	}
}

// TestPollTiming_RelayedEvidenceIsFresh guards against relayed evidence that gets too old while all
// daemons get responses. At a relay, evidence is oldest just before a response, after two
// consecutive long polls; behind a root or relay it is older by one more. The relays of a region
// pass on the root's evidence.
func TestPollTiming_RelayedEvidenceIsFresh(t *testing.T) {
	const latency = 100 * time.Millisecond // twice the latency of a slow store
	for _, table := range []string{platform.ConfigTable, platform.WorkersTable, replica.LeaseTable} {
		p := timingOf(table)
		relayAge := 2*p.longPoll.directRelay + p.debounce.directRelay + latency
		must.Less(t, p.maxAge, relayAge, must.Sprint(table))
		behindRootAge := 2*p.longPoll.root + p.debounce.root + latency + p.longPoll.relayBehindRoot + p.debounce.relayBehindRoot + latency
		must.Less(t, p.maxAge, behindRootAge, must.Sprint(table))
		leafAge := p.maxAge + p.longPoll.leaf + p.debounce.leaf + latency
		switch table {
		case platform.ConfigTable:
			must.Less(t, maxDenyAge, max(relayAge, behindRootAge)+p.longPoll.leaf+latency, must.Sprint("evidence behind a relay is fresh enough to deny unknown credentials"))
			must.Less(t, minConfigPropagation, p.maxAge+latency, must.Sprint("a relay that lost the store is detected in time"))
		case replica.LeaseTable:
			must.Less(t, maxControlAge, leafAge)
			must.Less(t, quota.MaxEvidenceAge, leafAge, must.Sprint("the ramp has a valid view at all times"))
			standaloneAge := 2*p.longPoll.standalone + p.debounce.standalone + latency
			must.Less(t, retry.MaxViewAge, max(standaloneAge, leafAge), must.Sprint("the retries are shared at all times"))
		}
	}
}

// minConfigPropagation is the shortest time that a site allows for a configuration to take effect
// at a daemon that reads the store directly.
const minConfigPropagation = 2 * time.Second
