// Package reqkey handles the idempotency keys by which callers identify their
// requests. A key that is a version 7 UUID (RFC 9562) contains its creation time.
package reqkey

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// MaxLen is the maximum length of a key in bytes.
const MaxLen = 128

// New returns a unique key that contains the current time.
func New() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Time returns a key's creation time, and whether the key contains one.
func Time(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || len(key) != len(id.String()) || id.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// Slot returns the slot, from 0 to n-1, of a customer's key.
func Slot(customer, key string, n int) int {
	h := xxhash.New()
	h.WriteString(customer)
	h.Write([]byte{0})
	h.WriteString(key)
	return int(h.Sum64() % uint64(n))
}
