package catalog

import "time"

// Verdict is a decision on a request, based on the current evidence.
type Verdict int

const (
	// Admit accepts the request.
	Admit Verdict = iota
	// Deny rejects the request for good: it isn't allowed according to the current catalog.
	Deny
	// Defer rejects the request for now: the evidence is too old to decide.
	Defer
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return [...]string{"admit", "deny", "defer"}[v] }

// EvidencePolicy bounds the age of the evidence for the current catalog in decisions based
// on it. The zero value defers everything.
type EvidencePolicy struct {
	admit, deny time.Duration
}

// NewEvidencePolicy returns a policy that admits credentials on evidence younger than
// admit, and denies unknown ones on evidence younger than deny.
func NewEvidencePolicy(admit, deny time.Duration) EvidencePolicy {
	return EvidencePolicy{admit: admit, deny: deny}
}

// Credential decides on a request by whether its credential is in the catalog. A listed
// credential may have been revoked since, an unlisted one may have been added.
func (p EvidencePolicy) Credential(listed bool, age time.Duration) Verdict {
	if listed {
		return verdictIfYounger(age, p.admit, Admit)
	}
	return verdictIfYounger(age, p.deny, Deny)
}

// Route decides on a request by whether the catalog has a route for its host and path.
// Routes apply at any age: a request that an outdated route sends to a service runs as it
// did before the change.
func (p EvidencePolicy) Route(listed bool, age time.Duration) Verdict {
	if listed {
		return Admit
	}
	return verdictIfYounger(age, p.deny, Deny)
}

// IsStale reports whether evidence is too old to deny unknown items.
func (p EvidencePolicy) IsStale(age time.Duration) bool { return age >= p.deny }

func verdictIfYounger(age, maxAge time.Duration, v Verdict) Verdict {
	if age < maxAge {
		return v
	}
	return Defer
}
