package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/memory"
)

// answerMemoryShare is the part of the daemon's memory that answers may take while they are read or passed on, as a
// divisor.
const answerMemoryShare = 8

// unreservedEventBytes is the length up to which the buffer of an event isn't counted: each stream has one.
const unreservedEventBytes = 8 << 10

// heldAnswer is the memory of an answer. It must be released.
type heldAnswer struct {
	account *memory.Account
	caller  *http.ResponseController
	// cut is set once the connection to the caller was ended.
	cut atomic.Bool
}

// holdAnswer opens the memory of an answer that is read from a body and then written to a caller. If others need it, the
// reading ends.
func (g *Gateway) holdAnswer(w http.ResponseWriter, body io.Closer) *heldAnswer {
	h := &heldAnswer{caller: http.NewResponseController(w)}
	h.account = g.answers.Open(func() { go body.Close() })
	return h
}

// startWriting is called once the answer has been read whole. From then on, the connection to the caller ends if others
// need the memory. It returns false if they do already.
func (h *heldAnswer) startWriting(timeout time.Duration) bool {
	h.caller.SetWriteDeadline(time.Now().Add(timeout))
	return h.account.Renew(func() {
		h.cut.Store(true)
		h.caller.SetWriteDeadline(time.Unix(1, 0))
	})
}

func (h *heldAnswer) release() { h.account.Close() }

// eventReader reads a stream and reserves memory for the buffer of an event as it grows.
type eventReader struct {
	io.Reader
	account *memory.Account
	// length is how many bytes were read since the last event, reserved the longest such length so far.
	length, reserved int64
}

// Read implements io.Reader.
func (r *eventReader) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	r.length += int64(n)
	if grown := r.length - max(r.reserved, unreservedEventBytes); grown > 0 {
		if full := r.account.Reserve(grown); full != nil {
			return 0, full
		}
		r.reserved = r.length
	}
	return n, err
}

// next is called after each event.
func (r *eventReader) next() { r.length = 0 }
