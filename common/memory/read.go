package memory

import (
	"errors"
	"io"
	"sync"
)

// ErrTooLong means that what is read exceeds its own limit.
var ErrTooLong = errors.New("longer than allowed")

// Sizes of the blocks of what is read. They grow with what has come, not with what is announced.
const (
	firstBlockBytes = 4 << 10
	nextBlockBytes  = 16 << 10
	maxBlockBytes   = 64 << 10
)

// Bytes is data in blocks. It doesn't change, and may be read by several goroutines. Nil is empty.
type Bytes struct {
	blocks [][]byte
	size   int
}

// BytesOf returns data that stands in one block.
func BytesOf(data []byte) *Bytes { return &Bytes{blocks: [][]byte{data}, size: len(data)} }

// Len returns the number of bytes.
func (b *Bytes) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// WriteTo implements io.WriterTo.
func (b *Bytes) WriteTo(w io.Writer) (int64, error) {
	var written int64
	if b == nil {
		return 0, nil
	}
	for _, block := range b.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// NewReader returns a reader of all bytes.
func (b *Bytes) NewReader() io.Reader {
	if b == nil {
		return &reader{}
	}
	return &reader{blocks: b.blocks}
}

// reader reads blocks.
type reader struct {
	blocks [][]byte
	offset int // in the first block
}

// Read implements io.Reader.
func (r *reader) Read(into []byte) (int, error) {
	for len(r.blocks) > 0 && r.offset == len(r.blocks[0]) {
		r.blocks, r.offset = r.blocks[1:], 0
	}
	if len(r.blocks) == 0 {
		return 0, io.EOF
	}
	n := copy(into, r.blocks[0][r.offset:])
	r.offset += n
	return n, nil
}

// WriteTo implements io.WriterTo.
func (r *reader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for ; len(r.blocks) > 0; r.blocks, r.offset = r.blocks[1:], 0 {
		n, err := w.Write(r.blocks[0][r.offset:])
		written += int64(n)
		if err != nil {
			r.offset += n
			return written, err
		}
	}
	return written, nil
}

// ReadAll reads r to its end, at most limit bytes, into memory that it reserves from an account as the bytes come.
// length is how many are announced, -1 if that isn't known.
func ReadAll(r io.Reader, length, limit int64, a *Account) (*Bytes, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	b := &Bytes{}
	if err := b.readFrom(r, length, limit, a); err != nil {
		b.discard()
		return nil, err
	}
	return b, nil
}

func (b *Bytes) readFrom(r io.Reader, length, limit int64, a *Account) error {
	for {
		block, err := b.free(length, a)
		if err != nil {
			return err
		}
		n, err := r.Read(block[len(block):cap(block)])
		b.blocks[len(b.blocks)-1] = block[:len(block)+n]
		b.size += n
		switch {
		case int64(b.size) > limit:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case int64(b.size) == length:
			return readEnd(r)
		}
	}
}

// unused are blocks of the last size that nobody has got to see. What was refused would be garbage otherwise, which isn't
// counted, and comes faster than a process with little processor time collects it.
var unused = sync.Pool{New: func() any {
	block := make([]byte, 0, maxBlockBytes)
	return &block
}}

// discard keeps the blocks for others. Nobody may have got the bytes.
func (b *Bytes) discard() {
	for _, block := range b.blocks {
		if cap(block) == maxBlockBytes {
			block = block[:0]
			unused.Put(&block)
		}
	}
	b.blocks, b.size = nil, 0
}

// readEnd reads the end of what has come whole.
func readEnd(r io.Reader) error {
	var more [1]byte
	n, err := io.ReadFull(r, more[:])
	switch {
	case n > 0:
		return ErrTooLong
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

func newBlock(size int64) []byte {
	if size == maxBlockBytes {
		return *unused.Get().(*[]byte)
	}
	return make([]byte, 0, size)
}

// free returns the last block, or a new one if that is full.
func (b *Bytes) free(length int64, a *Account) ([]byte, error) {
	if n := len(b.blocks); n > 0 && len(b.blocks[n-1]) < cap(b.blocks[n-1]) {
		return b.blocks[n-1], nil
	}
	size := int64(maxBlockBytes)
	switch len(b.blocks) {
	case 0:
		size = firstBlockBytes
	case 1:
		size = nextBlockBytes
	}
	if length >= 0 {
		size = min(size, max(length-int64(b.size), 1))
	}
	if err := a.Reserve(size); err != nil {
		return nil, err
	}
	block := newBlock(size)
	b.blocks = append(b.blocks, block)
	return block, nil
}
