package standin

import (
	"net/http"
	"strconv"
)

// headerEra is set in each response of the store and counts how often the store was restored
// from an older copy.
const headerEra = "Store-Era"

// Version returns the store's newest version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Restore resets the store to its state at a version. Later writes are lost, and their versions
// are assigned again.
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

// upTo returns the changes up to and including a version.
func upTo(changes []Row, version uint64) []Row {
	var kept []Row
	for _, r := range changes {
		if r.Version <= version {
			kept = append(kept, r)
		}
	}
	return kept
}

// setEraHeader sets the era in a response. The caller holds s.mu.
func (s *Store) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}
