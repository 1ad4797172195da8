package replica

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// assumedNodes is the number of nodes that is assumed before the table was read.
const assumedNodes = 50

// leaseState is the last seen state of the lease. It is safe for concurrent use.
type leaseState struct {
	mu      sync.Mutex
	current leaseRow
	at      store.Position // of current
	until   time.Time      // when this node stops holding the lease
	nodes   []Node         // those that announced themselves, sorted by name
	// read reports whether the table was read. table is the position of the last read, and
	// firstEra the era of the first one.
	read     bool
	table    store.Position
	firstEra uint64
	// stale reports that the store is in a later era than the row that this node read.
	stale bool
	// free is since when the lease has been seen free with its row at the position freeAt.
	free   time.Time
	freeAt store.Position

	// storeClock is what the store's clock showed at some time after sent.
	storeClock time.Duration
	sent       time.Time
}

// held returns the last term that this node held, and when it stops holding it.
func (s *leaseState) held() (term uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Term, s.until
}

// nodeCount returns how many nodes announced themselves, or assumedNodes before that is known.
func (s *leaseState) nodeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nodes) == 0 {
		return assumedNodes
	}
	return len(s.nodes)
}

// isListed reports whether a node's row is in the table and current, and whether the table was
// read.
func (s *leaseState) isListed(self Node) (listed, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, found := Control{Nodes: s.nodes}.Node(self.Name)
	return found && n == self, s.read
}

// row returns the row of the last renewal and its position.
func (s *leaseState) row() (leaseRow, store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.at
}

// clock returns what the store's clock showed at some time after the second value.
func (s *leaseState) clock() (time.Duration, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeClock, s.sent
}

// update applies the table's contents, and returns the position of the read before.
func (s *leaseState) update(known TableSnapshot) (before store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.table
	if !s.read {
		s.read = true
		s.firstEra = known.At.Era()
	}
	s.nodes = known.Nodes
	s.table = known.At
	return before
}

// restored reports whether the store was restored from an older copy since the first read of the
// table.
func (s *leaseState) restored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Era() != s.firstEra
}

// markStale notes that the store is in a later era than the lease's row as last read.
func (s *leaseState) markStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = true
}

// isStale reports whether the store is in a later era than the lease's row as last read.
func (s *leaseState) isStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// freeSince returns since when the lease has been seen free with its row at a position.
func (s *leaseState) freeSince(at store.Position, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeAt != at || s.free.IsZero() {
		s.freeAt = at
		s.free = now
	}
	return s.free
}

// resetFree discards the time since which the lease has been seen free.
func (s *leaseState) resetFree() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free = time.Time{}
}

// renewed stores the result of a renewal.
func (s *leaseState) renewed(row leaseRow, snapshot store.Snapshot, sent, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = row
	s.at = snapshot.At
	s.stale = false
	s.until = until
	s.storeClock = snapshot.Clock
	s.sent = sent
}

// drop ends the holding of the lease.
func (s *leaseState) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
}
