package serving

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxAnswerBytes bounds the size of an answer that isn't streamed.
	maxAnswerBytes = 16 << 20
	// maxAnswerShare is the part of the memory for answers that one of them may take, as a divisor.
	maxAnswerShare = 2
	// DefaultAnswerMemory is the memory for all answers that are read before they are passed on, in bytes,
	// where the memory of the process isn't known.
	DefaultAnswerMemory = 32 << 20
)

// minReadTime is how long a caller may read an answer whose memory others need.
const minReadTime = time.Second

// Sizes of the blocks that hold an answer whose length isn't known. Blocks of the last size are used again.
const (
	firstBlockBytes = 4 << 10
	nextBlockBytes  = 16 << 10
	maxBlockBytes   = 64 << 10
)

// errTooLong means that an answer exceeds its bound, errEvicted that the memory for answers was used up
// while it was one of the longest. A worker in trouble may send an answer without end.
var (
	errTooLong = errors.New("the answer is too long")
	errEvicted = errors.New("the memory for answers is used up")
)

// answerBuffers bounds the memory of all answers that are read to their end before they are passed on. It
// is safe for concurrent use.
type answerBuffers struct {
	// limit returns the bound in bytes, which may change.
	limit func() int64

	mu   sync.Mutex
	used int64
	// reading are the answers that aren't complete, writing those that a caller is reading, and kept those that are
	// passed on only if no other answer comes.
	reading, writing, kept map[*answerBody]struct{}
	blocks                 sync.Pool
}

func newAnswerBuffers(limit func() int64) *answerBuffers {
	return &answerBuffers{limit: limit, reading: map[*answerBody]struct{}{}, writing: map[*answerBody]struct{}{}, kept: map[*answerBody]struct{}{}}
}

// Used returns the bytes that answers take.
func (b *answerBuffers) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// answerBody is the body of an answer, in blocks.
type answerBody struct {
	of     *answerBuffers
	cancel context.CancelCauseFunc
	opened time.Time
	blocks [][]byte
	size   int64
	// reserved is the memory counted for the body. The lock of the buffers guards it, and what follows.
	reserved int64
	// writingSince is when a caller began to read the body. drop ends its connection, or forgets the rest of an answer
	// that is kept, and dropped is set once that was done.
	writingSince time.Time
	drop         func()
	dropped      bool
}

// open returns an empty body that gives way to others, until it is released or was read to its end.
func (b *answerBuffers) open(cancel context.CancelCauseFunc) *answerBody {
	body := &answerBody{of: b, cancel: cancel, opened: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[body] = struct{}{}
	return body
}

// read reads the body of an answer to its end. cancel ends the attempt if the memory is needed for shorter
// answers. Unless there is an error, the body must be released.
func (b *answerBuffers) read(reply *Reply, cancel context.CancelCauseFunc) (*answerBody, error) {
	limit := min(maxAnswerBytes, b.limit()/maxAnswerShare)
	if reply.Length > limit {
		return nil, errTooLong
	}
	body := b.open(cancel)
	body.take(reply.head)
	err := body.readFrom(reply, limit)
	b.mu.Lock()
	delete(b.reading, body)
	b.mu.Unlock()
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

func (a *answerBody) readFrom(reply *Reply, limit int64) error {
	for {
		block, err := a.block(reply.Length)
		if err != nil {
			return err
		}
		n, err := reply.Body.Read(block[len(block):cap(block)])
		a.blocks[len(a.blocks)-1] = block[:len(block)+n]
		a.size += int64(n)
		if a.size > limit {
			return errTooLong
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// block returns the last block, or a new one if it is full.
func (a *answerBody) block(length int64) ([]byte, error) {
	if n := len(a.blocks); n > 0 && len(a.blocks[n-1]) < cap(a.blocks[n-1]) {
		return a.blocks[n-1], nil
	}
	size := blockSize(len(a.blocks), length)
	if err := a.of.reserve(a, int64(size)); err != nil {
		return nil, err
	}
	a.blocks = append(a.blocks, a.of.newBlock(size))
	return a.blocks[len(a.blocks)-1], nil
}

func blockSize(index int, length int64) int {
	switch {
	case index == 0 && length > 0:
		return int(min(length, maxBlockBytes))
	case index == 0:
		return firstBlockBytes
	case index == 1:
		return nextBlockBytes
	}
	return maxBlockBytes
}

func (b *answerBuffers) newBlock(size int) []byte {
	if size == maxBlockBytes {
		if block, ok := b.blocks.Get().(*[]byte); ok {
			return (*block)[:0]
		}
	}
	return make([]byte, 0, size)
}

// reserve counts n more bytes for a body. If they exceed the limit, answers that are kept are given up, then those that
// callers have held more of for longer, then the longest ones that are longer than this one; without any this one is.
func (b *answerBuffers) reserve(a *answerBody, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if _, reading := b.reading[a]; !reading {
			return errEvicted
		}
		if b.used+n <= b.limit() {
			break
		}
		if kept := longest(b.kept); kept != nil {
			b.giveUp(kept)
			b.free(kept)
			kept.dropped = true
			kept.drop()
			continue
		}
		if slowest := b.slowest(a, n, time.Now()); slowest != nil {
			b.giveUp(slowest)
			slowest.dropped = true
			slowest.drop()
			continue
		}
		longest := longest(b.reading)
		if longest == nil || longest == a || longest.reserved <= a.reserved+n {
			return errEvicted
		}
		b.giveUp(longest)
		longest.cancel(errEvicted)
	}
	b.used += n
	a.reserved += n
	return nil
}

// giveUp stops counting a body. The caller holds the lock.
func (b *answerBuffers) giveUp(a *answerBody) {
	b.used -= a.reserved
	a.reserved = 0
	delete(b.reading, a)
	delete(b.writing, a)
	delete(b.kept, a)
}

// free frees the blocks of a body, which nobody uses any more.
func (b *answerBuffers) free(a *answerBody) {
	for _, block := range a.blocks {
		if cap(block) == maxBlockBytes {
			b.blocks.Put(&block)
		}
	}
	a.blocks = nil
}

// slowest returns the answer with the greatest product of memory and age among those whose callers have had
// minReadTime. It returns nil if there is none whose product is above that of an answer that needs n bytes more. The
// caller holds the lock.
func (b *answerBuffers) slowest(a *answerBody, n int64, now time.Time) *answerBody {
	var slowest *answerBody
	most := weight(a.reserved+n, max(now.Sub(a.opened), minReadTime))
	for other := range b.writing {
		age := now.Sub(other.writingSince)
		if held := weight(other.reserved, age); age >= minReadTime && held > most {
			slowest, most = other, held
		}
	}
	return slowest
}

func weight(bytes int64, age time.Duration) float64 { return float64(bytes) * age.Seconds() }

// longest returns the longest of some answers, nil if there is none. The caller holds the lock.
func longest(answers map[*answerBody]struct{}) *answerBody {
	var longest *answerBody
	for a := range answers {
		if longest == nil || a.reserved > longest.reserved {
			longest = a
		}
	}
	return longest
}

// release frees the memory of a body, which can't be used any more. Nil is allowed.
func (a *answerBody) release() {
	if a == nil {
		return
	}
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	a.of.giveUp(a)
	a.of.free(a)
}

// keep lets a complete body give way to all others. It calls drop then, which must not block.
func (a *answerBody) keep(drop func()) {
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	a.drop = drop
	a.of.kept[a] = struct{}{}
}

// reclaim ends keep. It returns false if the body has given way.
func (a *answerBody) reclaim() bool {
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	delete(a.of.kept, a)
	return !a.dropped
}

// writeTo writes the body to a caller. It returns errEvicted if the memory was needed before the caller had read it.
func (a *answerBody) writeTo(w http.ResponseWriter) error {
	a.of.mu.Lock()
	a.writingSince = time.Now()
	a.drop = func() { http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) }
	a.of.writing[a] = struct{}{}
	a.of.mu.Unlock()
	for _, block := range a.blocks {
		if _, err := w.Write(block); err != nil {
			break // the caller has gone
		}
	}
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	delete(a.of.writing, a)
	if a.dropped {
		return errEvicted
	}
	return nil
}
