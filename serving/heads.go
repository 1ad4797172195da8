package serving

import (
	"context"
	"io"

	"github.com/pointpass/pointpass/common/conns"
)

const (
	// headByteCost and headLineCost are how much memory the head of an answer takes for each byte and each line: it is
	// kept as strings, and a line has entries in the maps of what is received and what is passed on.
	headByteCost = 2
	headLineCost = 320
	// maxHeadLines bounds the lines of the head of one answer, interim responses included.
	maxHeadLines = 1000
)

// send makes an attempt by a function. The memory of the answer's head counts from its first byte until the body is
// closed. An answer whose status isn't final is lost. cancel ends the attempt if the memory is needed for shorter answers.
func (b *answerBuffers) send(a Attempt, cancel context.CancelCauseFunc, send func(Attempt) (*Reply, error)) (*Reply, error) {
	head := b.open(cancel)
	total := 0
	a.Head = func(bytes, lines int) error {
		if total += lines; total > maxHeadLines {
			return errTooLong
		}
		return b.reserve(head, int64(headByteCost*bytes+headLineCost*lines))
	}
	reply, err := send(a)
	if err == nil && !conns.IsFinal(reply.Status) {
		reply.Body.Close()
		err = &LostError{Err: conns.ErrNotFinal}
	}
	if err != nil {
		head.release()
		return nil, err
	}
	reply.head = head
	reply.Body = &countedBody{ReadCloser: reply.Body, head: head}
	return reply, nil
}

// countedBody is a body whose end gives the memory of the head back.
type countedBody struct {
	io.ReadCloser
	head *answerBody
}

// Close implements io.Closer.
func (c *countedBody) Close() error {
	c.head.release()
	return c.ReadCloser.Close()
}

// take makes a body count what another one counts, which is empty then.
func (a *answerBody) take(from *answerBody) {
	if from == nil {
		return
	}
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	a.reserved += from.reserved
	from.reserved = 0
	delete(a.of.reading, from)
}
