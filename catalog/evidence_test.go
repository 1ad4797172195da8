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
		listed            bool
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
		must.EqOp(t, c.credential, p.Credential(c.listed, c.age), must.Sprint(c))
		must.EqOp(t, c.route, p.Route(c.listed, c.age), must.Sprint(c))
	}
	must.EqOp(t, Defer, EvidencePolicy{}.Credential(true, 0))
}

// TestEvidencePolicy_Histories simulates configurations that add and revoke keys, and a
// holder that receives them late, out of order, or not at all for a while. At each request
// it checks the holder's decision against all configurations so far.
func TestEvidencePolicy_Histories(t *testing.T) {
	const admit, deny = 8 * time.Second, 2 * time.Second
	for seed := range historyRuns {
		h := newKeyHistory(uint64(seed), NewEvidencePolicy(admit, deny))
		for range 400 {
			h.step()
			for key := range historyKeys {
				h.check(t, key, admit, deny)
			}
		}
	}
}

// historyRuns is the number of simulated histories, historyKeys the number of keys in each.
const (
	historyRuns = 500
	historyKeys = 3
)

// keyHistory simulates a store whose configurations contain some of a few keys, and a
// holder that follows it.
type keyHistory struct {
	rand   *rand.Rand
	policy EvidencePolicy
	now    time.Time
	// written are all configurations, at the times they were written.
	written []*Catalog
	at      []time.Time
	holder  *Holder
	// lastVersion is the highest version that the holder had.
	lastVersion uint64
	outage      bool
}

func newKeyHistory(seed uint64, policy EvidencePolicy) *keyHistory {
	h := &keyHistory{rand: rand.New(rand.NewPCG(seed, 7)), policy: policy, now: time.Unix(1000, 0), holder: &Holder{}}
	h.write()
	return h
}

// write writes a configuration with a random subset of the keys.
func (h *keyHistory) write() {
	var customers []Customer
	for key := range historyKeys {
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
			h.deliver()
		}
	}
}

// deliver passes the holder an answer of the store, or of another daemon, from a call sent
// up to a second ago.
func (h *keyHistory) deliver() {
	sent := h.now.Add(-time.Duration(h.rand.IntN(1000)) * time.Millisecond)
	newest := 0
	for i, at := range h.at {
		if !at.After(sent) {
			newest = i
		}
	}
	if h.rand.IntN(2) == 0 && h.holder.Current().Catalog != nil && h.written[newest].Version() <= h.holder.Current().Catalog.Version() {
		h.holder.Confirm(sent)
		return
	}
	h.holder.Accept(h.written[newest], sent)
}

// check checks a decision against the history.
func (h *keyHistory) check(t *testing.T, key int, admit, deny time.Duration) {
	t.Helper()
	f := h.holder.Current()
	if f.Catalog == nil {
		return
	}
	must.GreaterEq(t, h.lastVersion, f.Catalog.Version(), must.Sprint("the configuration went back to an older version"))
	h.lastVersion = f.Catalog.Version()
	_, listed := f.Catalog.Customer(keyName(key))
	switch h.policy.Credential(listed, f.Age(h.now)) {
	case Admit:
		must.True(t, h.heldWithin(key, admit, true), must.Sprint("admitted a key that no recent configuration contains"))
	case Deny:
		must.True(t, h.heldWithin(key, deny, false), must.Sprint("denied a key that all recent configurations contain"))
	}
}

// heldWithin reports whether some configuration that was current within d before now
// contained a key, or didn't if held is false.
func (h *keyHistory) heldWithin(key int, d time.Duration, held bool) bool {
	from := h.now.Add(-d)
	for i, c := range h.written {
		if i+1 < len(h.at) && h.at[i+1].Before(from) {
			continue // replaced earlier
		}
		if _, listed := c.Customer(keyName(key)); listed == held {
			return true
		}
	}
	return false
}
