package store

import "cmp"

// Position is a point in a store's history: a version within an era. Versions increase
// within an era. A store restored from an older copy starts the next era and reuses
// versions, so that only positions tell which of two answers is later. The zero value comes
// before all others.
type Position struct{ era, version uint64 }

// At returns the position of a version in an era. The era is 0 for a store without eras.
func At(era, version uint64) Position { return Position{era: era, version: version} }

// Era counts how often the store was restored from an older copy.
func (p Position) Era() uint64 { return p.era }

// Version is the store's transaction counter within the era.
func (p Position) Version() uint64 { return p.version }

// IsSet reports whether the position has a version. The zero position means that nothing
// was read yet.
func (p Position) IsSet() bool { return p.version > 0 }

// Compare returns a negative number if the position comes before another one, a positive
// number if it comes after it, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.version, other.version))
}

// Before reports whether the position comes before another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
