package connlimit

import (
	"io"
	"time"
)

// Bounds of the time that a connection stays open after a refusal, and of what is read then.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// setLingers records whether the client may still send a body that nobody reads. Nil is allowed.
func (c *conn) setLingers(lingers bool) {
	if c != nil {
		c.lingers.Store(lingers)
	}
}

// linger ends what is sent and drops what still comes for a while: a connection that is closed with bytes unread is reset,
// and its client may lose the answer.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}
