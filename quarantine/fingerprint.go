// Package quarantine detects requests that crash the workers that run them, and holds them
// back. Requests are identified by a fingerprint that is the same at all daemons.
package quarantine

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// FingerprintBytes is the length of a fingerprint in bytes. Among 10^9 requests the probability
// that two share a fingerprint is 10^-21.
const FingerprintBytes = 16

// Fingerprint identifies the content of a request: equal requests have equal fingerprints at
// all daemons, whatever their request IDs. Without the key it reveals nothing about the
// content.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Strings returns fingerprints in hexadecimal.
func Strings(list []Fingerprint) []string {
	texts := make([]string, 0, len(list))
	for _, f := range list {
		texts = append(texts, f.String())
	}
	return texts
}

// Parse parses fingerprints in hexadecimal and leaves out malformed ones.
func Parse(texts []string) []Fingerprint {
	var list []Fingerprint
	for _, text := range texts {
		if f, ok := ParseFingerprint(text); ok {
			list = append(list, f)
		}
	}
	return list
}

// ParseFingerprint parses a fingerprint in hexadecimal, and returns false if it is malformed.
func ParseFingerprint(digits string) (f Fingerprint, ok bool) {
	data, err := hex.DecodeString(digits)
	if err != nil {
		return Fingerprint{}, false
	}
	return FromBytes(data)
}

// FromBytes returns the fingerprint with the given bytes, false if their number is
// wrong.
func FromBytes(data []byte) (f Fingerprint, ok bool) {
	if len(data) != FingerprintBytes {
		return Fingerprint{}, false
	}
	return Fingerprint(data), true
}

// KeyBytes is the length of a key in bytes.
const KeyBytes = 32

// Key is the HMAC key for fingerprints. All daemons share it.
type Key [KeyBytes]byte

// NewKey returns a random key.
func NewKey() Key {
	var k Key
	rand.Read(k[:]) // never fails
	return k
}

// Content is the part of a request that its fingerprint covers.
type Content struct {
	// Customer is the owner of the request's credential, "" if no credential is required.
	Customer string
	Host     string
	// Target is the path with the query.
	Target string
	// Body may be nil.
	Body Body
}

// Body is the body of a request.
type Body interface {
	io.WriterTo
	// Len returns its length in bytes.
	Len() int
}

// Fingerprint returns the fingerprint of a request.
func (k Key) Fingerprint(c Content) Fingerprint {
	h := hmac.New(sha256.New, k[:])
	writeField(h, []byte(c.Customer))
	writeField(h, []byte(c.Host))
	writeField(h, []byte(c.Target))
	writeBody(h, c.Body)
	return Fingerprint(h.Sum(nil)[:FingerprintBytes])
}

// Part identifies a part of a prompt that requests share. A part may crash the workers of one
// model and be harmless at those of another.
type Part struct {
	Service, Model string
	// ID is the caller's id of the part, the same in all requests that share it.
	ID string
}

// partDomain keeps the fingerprints of parts apart from those of requests.
const partDomain = "prompt part"

// FingerprintPart returns the fingerprint of a part.
func (k Key) FingerprintPart(p Part) Fingerprint {
	h := hmac.New(sha256.New, k[:])
	for _, field := range []string{partDomain, p.Service, p.Model, p.ID} {
		writeField(h, []byte(field))
	}
	writeField(h, nil) // one field more than a request has
	return Fingerprint(h.Sum(nil)[:FingerprintBytes])
}

// writeField hashes a field prefixed with its length, so that fields of different contents
// can't be confused.
func writeField(h hash.Hash, field []byte) {
	writeLength(h, len(field))
	h.Write(field)
}

func writeBody(h hash.Hash, body Body) {
	if body == nil {
		writeLength(h, 0)
		return
	}
	writeLength(h, body.Len())
	body.WriteTo(h) // a hash takes everything
}

func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}
