// Package reqkey reads the keys by which callers name their requests. A key
// that is a UUID of version 7 (RFC 9562) carries the time it was made at.
package reqkey

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// MaxLen is the longest key that is taken, in bytes.
const MaxLen = 128

// New returns a fresh key that carries the present time.
func New() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Time returns when a key was made, and whether the key tells.
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

// Slot returns which of n slots a customer's key belongs to.
func Slot(customer, key string, n int) int {
	h := xxhash.New()
	h.WriteString(customer)
	h.Write([]byte{0})
	h.WriteString(key)
	return int(h.Sum64() % uint64(n))
}
