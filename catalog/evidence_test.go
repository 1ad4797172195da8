package catalog

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEvidencePolicy_Decides(t *testing.T) {
	const admit, deny = 60 * time.Second, 2 * time.Second
	p := NewEvidencePolicy(admit, deny)
	for _, c := range []struct {
		known             bool
		age               time.Duration
		credential, route Verdict
	}{
		{true, 0, Admit, Admit},
		{true, deny, Admit, Admit},
		{true, admit - 1, Admit, Admit},
		{true, admit, Defer, Admit},
		{false, 0, Deny, Deny},
		{false, deny - 1, Deny, Deny},
		{false, deny, Defer, Defer},
		{false, admit, Defer, Defer},
	} {
		must.EqOp(t, c.credential, p.Credential(c.known, c.age), must.Sprint(c))
		must.EqOp(t, c.route, p.Route(c.known, c.age), must.Sprint(c))
	}
	must.EqOp(t, Defer, EvidencePolicy{}.Credential(true, 0))
}

// TestEvidencePolicy_Histories plays configurations that add and withdraw keys
// beside a holder that hears of them late, out of order, or for a while not at all.
// At each request it checks what the holder decides against all that was ever in
// force.
func TestEvidencePolicy_Histories(t *testing.T) {
	const admit, deny = 8 * time.Second, 2 * time.Second
	for seed := range historiesPlayed {
		h := newKeyHistory(uint64(seed), NewEvidencePolicy(admit, deny))
		for range 400 {
			h.step()
			for key := range keysPlayed {
				h.check(t, key, admit, deny)
			}
		}
	}
}

// historiesPlayed is how many histories a run plays, keysPlayed how many keys each has.
const (
	historiesPlayed = 500
	keysPlayed      = 3
)

// keyHistory is a store whose configurations hold some of a few keys, and a holder
// that follows it.
type keyHistory struct {
	rand   *rand.Rand
	policy EvidencePolicy
	now    time.Time
	// written are all configurations with the times they were written.
	written []*Catalog
	at      []time.Time
	holder  *Holder
	// lastVersion is the highest version that the holder had in force.
	lastVersion uint64
	outage      bool
}

func newKeyHistory(seed uint64, policy EvidencePolicy) *keyHistory {
	h := &keyHistory{rand: rand.New(rand.NewPCG(seed, 7)), policy: policy, now: time.Unix(1000, 0), holder: &Holder{}}
	h.write()
	return h
}

// write has the operator write a configuration with any of the keys.
func (h *keyHistory) write() {
	var customers []Customer
	for key := range keysPlayed {
		if h.rand.IntN(2) == 0 {
			customers = append(customers, Customer{Name: keyName(key), Keys: []string{keyName(key)}})
		}
	}
	h.written = append(h.written, New(uint64(len(h.written)+1), Limits{}, nil, nil, customers))
	h.at = append(h.at, h.now)
}

func keyName(key int) string { return string(rune('a' + key)) }

func (h *keyHistory) step() {
	h.now = h.now.Add(time.Duration(h.rand.IntN(500)) * time.Millisecond)
	switch h.rand.IntN(8) {
	case 0:
		h.write()
	case 1:
		h.outage = h.rand.IntN(3) == 0
	case 2, 3, 4, 5:
		if !h.outage {
			h.hear()
		}
	}
}

// hear brings the holder an answer of the store, or of another daemon, that was
// asked up to a second ago.
func (h *keyHistory) hear() {
	asked := h.now.Add(-time.Duration(h.rand.IntN(1000)) * time.Millisecond)
	newest := 0
	for i, at := range h.at {
		if !at.After(asked) {
			newest = i
		}
	}
	if h.rand.IntN(2) == 0 && h.holder.Current().Catalog != nil && h.written[newest].Version() <= h.holder.Current().Catalog.Version() {
		h.holder.Confirm(asked)
		return
	}
	h.holder.Accept(h.written[newest], asked)
}

// check holds a decision against the history.
func (h *keyHistory) check(t *testing.T, key int, admit, deny time.Duration) {
	t.Helper()
	f := h.holder.Current()
	if f.Catalog == nil {
		return
	}
	must.GreaterEq(t, h.lastVersion, f.Catalog.Version(), must.Sprint("an older configuration came back"))
	h.lastVersion = f.Catalog.Version()
	_, known := f.Catalog.Customer(keyName(key))
	switch h.policy.Credential(known, f.Age(h.now)) {
	case Admit:
		must.True(t, h.heldWithin(key, admit, true), must.Sprint("a key was admitted that was in no configuration lately"))
	case Deny:
		must.True(t, h.heldWithin(key, deny, false), must.Sprint("a key was denied that all configurations allowed lately"))
	}
}

// heldWithin tells whether some configuration that was in force within d before now
// held a key, or did not.
func (h *keyHistory) heldWithin(key int, d time.Duration, held bool) bool {
	from := h.now.Add(-d)
	for i, c := range h.written {
		if i+1 < len(h.at) && h.at[i+1].Before(from) {
			continue // replaced before
		}
		if _, known := c.Customer(keyName(key)); known == held {
			return true
		}
	}
	return false
}
