package replica

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// assumedNodes stands in for the number of processes before it is known.
const assumedNodes = 50

// leaseState is what a process knows of the lease. It is safe for use by many
// goroutines.
type leaseState struct {
	mu      sync.Mutex
	current leaseRow
	at      store.Position // of the row
	until   time.Time      // when this node stops holding the lease
	nodes   []Node         // those that announced themselves, in order of their names
	// read tells that the table was read, table is as of when it is known, and firstEra the
	// era of its first read.
	read     bool
	table    store.Position
	firstEra uint64
	// lags tells that the store is in a later era than the row, which this node has not read.
	lags bool
	// free is since when the lease was seen free at a position of its row.
	free   time.Time
	freeAt store.Position

	// storeClock is what the store's clock showed at some moment after sent.
	storeClock time.Duration
	sent       time.Time
}

func (s *leaseState) held() (term uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Term, s.until
}

// count returns how many nodes announced themselves, a guess before that is known.
func (s *leaseState) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nodes) == 0 {
		return assumedNodes
	}
	return len(s.nodes)
}

// lists tells whether a node has announced itself as it is, and whether that is known.
func (s *leaseState) lists(self Node) (listed, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, found := Control{Nodes: s.nodes}.Node(self.Name)
	return found && n == self, s.read
}

func (s *leaseState) row() (leaseRow, store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.at
}

func (s *leaseState) clock() (time.Duration, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeClock, s.sent
}

// note takes in what the table says, and returns as of when it was known before.
func (s *leaseState) note(known Known) (before store.Position) {
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

// restored tells whether the store has come back from an older copy since the table was first
// read.
func (s *leaseState) restored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Era() != s.firstEra
}

// fallBehind notes that the store is in a later era than the lease's row is known of.
func (s *leaseState) fallBehind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lags = true
}

func (s *leaseState) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lags
}

// freeSince returns since when the lease was seen free at a position of its row.
func (s *leaseState) freeSince(at store.Position, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeAt != at || s.free.IsZero() {
		s.freeAt = at
		s.free = now
	}
	return s.free
}

// forgetFree forgets since when the lease was seen free.
func (s *leaseState) forgetFree() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free = time.Time{}
}

func (s *leaseState) renewed(row leaseRow, snapshot store.Snapshot, sent, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = row
	s.at = snapshot.At
	s.lags = false
	s.until = until
	s.storeClock = snapshot.Clock
	s.sent = sent
}

func (s *leaseState) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
}
