package standin

import (
	"net/http"
	"strconv"
)

// headerEra tells in each answer of the store how often it came back from an older copy.
const headerEra = "Store-Era"

// Version returns the store's newest version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Restore has the store stand as it did at a version. What was written since is gone, and
// versions above it are given out again.
func (s *Store) Restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = min(version, s.version)
	s.era++
	s.log = upTo(s.log, version)
	s.history = upTo(s.history, version)
	s.floor = min(s.floor, version)
	s.rows = map[string]Row{}
	for _, r := range s.log {
		key := r.Table + "\x00" + r.Key
		if r.Deleted {
			delete(s.rows, key)
		} else {
			s.rows[key] = r
		}
	}
	s.wake()
}

// upTo returns the changes up to a version.
func upTo(changes []Row, version uint64) []Row {
	var kept []Row
	for _, r := range changes {
		if r.Version <= version {
			kept = append(kept, r)
		}
	}
	return kept
}

// tellEra puts the era into an answer. The lock is held.
func (s *Store) tellEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}
