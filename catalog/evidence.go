package catalog

import "time"

// Verdict is what may be done with a request on the evidence at hand.
type Verdict int

const (
	// Admit lets the request go on.
	Admit Verdict = iota
	// Deny refuses the request for good: as far as is known it isn't allowed.
	Deny
	// Defer refuses the request for now: what is known is too old to decide.
	Defer
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return [...]string{"admit", "deny", "defer"}[v] }

// EvidencePolicy bounds how old the evidence for the catalog in force may be for
// decisions that rest on it. The zero value defers everything.
type EvidencePolicy struct {
	admit, deny time.Duration
}

// NewEvidencePolicy returns a policy that admits credentials on evidence younger
// than admit, and denies what isn't known on evidence younger than deny.
func NewEvidencePolicy(admit, deny time.Duration) EvidencePolicy {
	return EvidencePolicy{admit: admit, deny: deny}
}

// Credential decides on a request by whether its credential is in the catalog. A
// credential that is there may have been withdrawn since, one that isn't may have
// been added.
func (p EvidencePolicy) Credential(known bool, age time.Duration) Verdict {
	if known {
		return atMost(age, p.admit, Admit)
	}
	return atMost(age, p.deny, Deny)
}

// Route decides on a request by whether a route of the catalog has its host and
// path. Routes are followed at any age: a request that an older route sends to a
// service runs there as it would have before.
func (p EvidencePolicy) Route(known bool, age time.Duration) Verdict {
	if known {
		return Admit
	}
	return atMost(age, p.deny, Deny)
}

// Old tells whether evidence is so old that something unknown wouldn't be denied.
func (p EvidencePolicy) Old(age time.Duration) bool { return age >= p.deny }

func atMost(age, bound time.Duration, v Verdict) Verdict {
	if age < bound {
		return v
	}
	return Defer
}
