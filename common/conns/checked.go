package conns

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// checkedConn is a connection to a server. It counts its bytes, checks the heads of responses, and tells the end of what
// the server sends from a failure of the connection.
type checkedConn struct {
	net.Conn
	read, written atomic.Int64
	// ended is set once the other side has ended the connection.
	ended atomic.Bool
	// head checks the head of the response that is awaited, nil if none is.
	head atomic.Pointer[headMeter]

	// writing is held during a write. writeErr is the failure of the connection that a write has reported.
	writing  sync.Mutex
	writeErr error
}

type counts struct{ read, written int64 }

func (c *checkedConn) counts() counts {
	return counts{read: c.read.Load(), written: c.written.Load()}
}

// expectHead makes the next bytes that are read those of a head. arrived is called with them, nil for none.
func (c *checkedConn) expectHead(arrived func(bytes, lines int) error) {
	c.head.Store(&headMeter{arrived: arrived})
}

// Read implements net.Conn. The error is io.EOF only if the other side has ended the connection in order.
func (c *checkedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.read.Add(int64(n))
	c.noteEnd(err)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if head := c.head.Load(); head != nil {
		if refused := head.add(into[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// endError returns the error for the end of what is read: the failure of the connection, if there was one. The system
// reports a failure once, and if a write gets it, the next read finds an end. A write under way is broken off: no
// response to the rest of its request can follow.
func (c *checkedConn) endError() error {
	c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write, too
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

// Write implements net.Conn. Its bytes count as written from its start: they may reach the other side before it
// returns.
func (c *checkedConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n - len(data)))
	c.noteEnd(err)
	if isFailure(err) {
		c.writeErr = err
	}
	return n, err
}

// isFailure reports whether an error of a write is a failure of the connection before the other side had ended it.
// EPIPE isn't: then the other side had sent all that it wanted to, and has refused more of the request.
func isFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	return true
}

// noteEnd records whether an error says that the other side has ended the connection.
func (c *checkedConn) noteEnd(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.ended.Store(true)
	}
}
