package store

import "cmp"

// Position is a moment in a store's history: a version within an era. Versions rise within an
// era. A store that comes back from an older copy begins the next era, in which it gives out
// versions again, so that only positions tell which of two answers is the later one. The zero
// value comes before all others.
type Position struct{ era, version uint64 }

// At returns the position of a version in an era, which is 0 for a store that doesn't tell it.
func At(era, version uint64) Position { return Position{era: era, version: version} }

// Era counts how often the store has come back from an older copy.
func (p Position) Era() uint64 { return p.era }

// Version is the store's transaction counter in the era.
func (p Position) Version() uint64 { return p.version }

// Known tells whether anything was read as of the position.
func (p Position) Known() bool { return p.version > 0 }

// Compare is negative if the position comes before another one, positive if it comes after it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.version, other.version))
}

// Before tells whether the position comes before another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
