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
	version uint64
	until   time.Time // when this node stops holding the lease
	nodes   []Node    // those that announced themselves, in order of their names
	read    bool      // whether they were read
	// free is since when the lease was seen free at a version of its row.
	free        time.Time
	freeVersion uint64

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

func (s *leaseState) row() (leaseRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.version
}

func (s *leaseState) clock() (time.Duration, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeClock, s.sent
}

// note takes in who has announced themselves.
func (s *leaseState) note(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = c.Nodes
	s.read = true
}

// freeSince returns since when the lease was seen free at a version of its row.
func (s *leaseState) freeSince(version uint64, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeVersion != version || s.free.IsZero() {
		s.freeVersion = version
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
	s.version = snapshot.At.Version()
	s.until = until
	s.storeClock = snapshot.Clock
	s.sent = sent
}

func (s *leaseState) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
}
