package quarantine

import "slices"

// withoutExplained returns the suspects whose crashes no part explains, or that are held back nevertheless.
func (b *Board) withoutExplained(suspects []Suspect) []Suspect {
	var list []Suspect
	for _, s := range suspects {
		if s.Charge >= tiedHoldCharge || !b.explainedByPart(s.Fingerprint) {
			list = append(list, s)
		}
	}
	return list
}

// explainedByPart reports whether a part that a request doesn't have explains all crashes that count against the
// request: other requests with the part were lost in each of them, and the part may have caused it. Then the request
// was lost beside those that crash workers, as happens where few workers are left.
func (b *Board) explainedByPart(f Fingerprint) bool {
	var common []Fingerprint
	first := true
	for _, c := range b.crashes {
		r, lost := c.requests[f]
		if !lost || c.isAttributed() {
			continue
		}
		parts := b.partsBeside(c, r)
		if first {
			common = parts
		} else {
			common = slices.DeleteFunc(common, func(p Fingerprint) bool { return !slices.Contains(parts, p) })
		}
		if len(common) == 0 {
			return false
		}
		first = false
	}
	return len(common) > 0
}

// partsBeside returns the parts of requests that were lost beside a request and may have caused the crash, without its
// own parts.
func (b *Board) partsBeside(c *crash, r LostRequest) []Fingerprint {
	othersCompleted := b.anyCompleted(r.Parts)
	var parts []Fingerprint
	for _, other := range c.requests {
		for _, p := range other.Parts {
			if b.mayHaveCaused(c, p, othersCompleted) && !slices.Contains(r.Parts, p) && !slices.Contains(parts, p) {
				parts = append(parts, p)
			}
		}
	}
	return parts
}

// mayHaveCaused reports whether a part may have caused a crash: no request with it was settled since. Those with a part
// that crashes workers late in an answer are settled as well. None of them is known to have been completed ever, while
// others were.
func (b *Board) mayHaveCaused(c *crash, part Fingerprint, othersCompleted bool) bool {
	p := b.parts.outputs[part]
	return c.at.After(p.settled) || othersCompleted && p.completed.IsZero()
}
