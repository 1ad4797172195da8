package replica

import (
	"encoding/json"
	"strings"
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
	known   int       // processes that announced themselves

	// storeClock is what the store's clock showed at some moment after sent.
	storeClock time.Duration
	sent       time.Time
}

func (s *leaseState) held() (term uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Term, s.until
}

func (s *leaseState) nodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == 0 {
		return assumedNodes
	}
	return s.known
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

// read takes in all rows of the table and returns the lease as it stands.
func (s *leaseState) read(snapshot store.Snapshot) (leaseRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = 0
	var row leaseRow
	var version uint64
	for _, r := range snapshot.Rows {
		if strings.HasPrefix(r.Key, nodePrefix) {
			s.known++
		}
		if r.Key == leaseKey {
			version = r.Version
			json.Unmarshal(r.Value, &row) // a row that can't be read is a lease that ended
		}
	}
	return row, version
}

func (s *leaseState) renewed(row leaseRow, snapshot store.Snapshot, sent, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = row
	s.version = snapshot.Version
	s.until = until
	s.storeClock = snapshot.Clock
	s.sent = sent
}

func (s *leaseState) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
}
