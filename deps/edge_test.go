package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/replica"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/node"
)

// TestConfigWait_KeepsEvidenceYoungEnough checks that a daemon whose store answers
// never takes its own evidence for too old, whatever bound it was given.
func TestConfigWait_KeepsEvidenceYoungEnough(t *testing.T) {
	for revoke := time.Second; revoke <= time.Minute; revoke += 250 * time.Millisecond {
		age := mostAge(revoke)
		must.Less(t, revoke, age, must.Sprint(revoke))
		must.LessEq(t, age, 2*configWait(age)+storeAnswer, must.Sprint(revoke))
	}
	must.EqOp(t, mostConfigWait, configWait(mostAge(5*time.Second)))
	const slowAnswer = 200 * time.Millisecond // a store that takes fifty times as long
	must.LessEq(t, denyAge, 2*(configWait(denyAge)+slowAnswer), must.Sprint("who isn't known is denied, not put off"))
}

// storeAnswer is what a sound store takes for an answer.
const storeAnswer = 100 * time.Millisecond

// TestEvidencePolicy_FollowsTheBounds checks that withdrawn keys are taken for no
// longer than was promised, and only longer than that where nothing was.
func TestEvidencePolicy_FollowsTheBounds(t *testing.T) {
	strict := evidencePolicy(node.Bounds{RevokeStrict: true, Revoke: 5 * time.Second, Admit: time.Minute})
	must.EqOp(t, catalog.Admit, strict.Credential(true, 3700*time.Millisecond))
	must.EqOp(t, catalog.Defer, strict.Credential(true, 3800*time.Millisecond))
	loose := evidencePolicy(node.Bounds{Revoke: 5 * time.Second, Admit: time.Minute})
	must.EqOp(t, catalog.Admit, loose.Credential(true, 59*time.Second))
	must.EqOp(t, catalog.Defer, loose.Credential(true, time.Minute))
	for _, p := range []catalog.EvidencePolicy{strict, loose} {
		must.EqOp(t, catalog.Deny, p.Credential(false, time.Second))
		must.EqOp(t, catalog.Defer, p.Credential(false, denyAge))
		must.EqOp(t, catalog.Defer, p.Route(false, denyAge))
	}
}

// TestPaces_WhatIsRelayedIsYoungEnough follows how old evidence gets where all answers
// come: at a daemon that relays, before its next answer, after two questions held in a
// row; behind it after one more. A root's is passed on once more by the relays of its region.
func TestPaces_WhatIsRelayedIsYoungEnough(t *testing.T) {
	const answer = 100 * time.Millisecond // twice what a slow store takes at the sites known
	for _, table := range []string{platform.ConfigTable, platform.WorkersTable, replica.LeaseTable} {
		p := paceOf(table)
		relaying := 2*p.hold.relaying + p.gather.relaying + answer
		must.Less(t, p.mostAge, relaying, must.Sprint(table))
		passing := 2*p.hold.root + p.gather.root + answer + p.hold.passing + p.gather.passing + answer
		must.Less(t, p.mostAge, passing, must.Sprint(table))
		behind := p.mostAge + p.hold.relayed + p.gather.relayed + answer
		switch table {
		case platform.ConfigTable:
			must.Less(t, denyAge, max(relaying, passing)+p.hold.relayed+answer, must.Sprint("what isn't known is told from what is old"))
			must.Less(t, configInForce, p.mostAge+answer, must.Sprint("a relay that lost the store is noticed in time"))
		case replica.LeaseTable:
			must.Less(t, mostControlAge, behind)
			must.Less(t, quota.EvidenceAge, behind, must.Sprint("views for the ramp come without a gap"))
		}
	}
}

// configInForce is the shortest time that the sites known leave a configuration to be
// in force at a daemon that the store serves.
const configInForce = 2 * time.Second
