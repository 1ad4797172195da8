// Package quarantine finds the requests that crash the workers that run them, and holds
// them back. A request is known again by its fingerprint, whichever daemon it comes to.
package quarantine

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// FingerprintBytes is how much of the hash is kept: of 10^9 requests two share a
// fingerprint with a chance of 10^-21.
const FingerprintBytes = 16

// Fingerprint names what a request asks: the same request has the same one at all daemons,
// under whatever id it comes. Nobody without the key can tell from it what was asked.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint returns the fingerprint that digits tell, false if they tell none.
func ParseFingerprint(digits string) (f Fingerprint, ok bool) {
	data, err := hex.DecodeString(digits)
	if err != nil {
		return Fingerprint{}, false
	}
	return FromBytes(data)
}

// FromBytes returns the fingerprint that bytes tell, false if there are too few or too many.
func FromBytes(data []byte) (f Fingerprint, ok bool) {
	if len(data) != FingerprintBytes {
		return Fingerprint{}, false
	}
	return Fingerprint(data), true
}

// KeyBytes is the length of a key in bytes.
const KeyBytes = 32

// Key is the secret under which fingerprints are made. All daemons share it.
type Key [KeyBytes]byte

// NewKey returns a random key.
func NewKey() Key {
	var k Key
	rand.Read(k[:]) // never fails
	return k
}

// Content is what makes a request the same as an earlier one.
type Content struct {
	// Customer is whose credential the request carried, "" if it needs none.
	Customer string
	Host     string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Of returns the fingerprint of a request.
func (k Key) Of(c Content) Fingerprint {
	h := hmac.New(sha256.New, k[:])
	writeField(h, []byte(c.Customer))
	writeField(h, []byte(c.Host))
	writeField(h, []byte(c.Target))
	writeField(h, c.Body)
	return Fingerprint(h.Sum(nil)[:FingerprintBytes])
}

// writeField hashes a field after its length, so that no two contents run together.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}
