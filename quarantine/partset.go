package quarantine

import (
	"crypto/sha256"
	"slices"
)

// PartSet is a set of parts of prompts, sorted. Prompts that have all of them are held back
// together: one of the parts crashes workers, and it is not known yet which one.
type PartSet []Fingerprint

// NewPartSet returns the set of some parts.
func NewPartSet(parts ...Fingerprint) PartSet {
	s := slices.Clone(parts)
	slices.SortFunc(s, compare)
	return slices.Compact(s)
}

func compare(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

// Fingerprint identifies the set. That of a single part is the part's own.
func (s PartSet) Fingerprint() Fingerprint {
	if len(s) == 1 {
		return s[0]
	}
	h := sha256.New()
	for _, f := range s {
		h.Write(f[:])
	}
	return Fingerprint(h.Sum(nil)[:FingerprintBytes])
}

// In reports whether a prompt with the given parts has all parts of the set. No prompt has all
// of none.
func (s PartSet) In(parts []Fingerprint) bool {
	for _, f := range s {
		if !slices.Contains(parts, f) {
			return false
		}
	}
	return len(s) > 0
}

// MarshalText encodes a fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText decodes a fingerprint in hexadecimal.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, ok := ParseFingerprint(string(text))
	if !ok {
		return errDigits
	}
	*f = parsed
	return nil
}
