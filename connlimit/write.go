package connlimit

import (
	"errors"
	"net"
	"time"

	"github.com/pointpass/pointpass/common/tcp"
)

const (
	// progressInterval is the interval between checks of how much of an answer a client has taken.
	progressInterval = time.Second
	// minProgressBytes is how much a client takes of its answer within minUnreadTime unless it hardly reads.
	minProgressBytes = 16 << 10
)

// errCut is the error of a write to a connection that was cut.
var errCut = errors.New("the answer was cut, as its client hardly read")

// progress is how a client takes its answer.
type progress struct {
	// writing is set while a write is under way, and cut once the answer was broken off.
	writing, cut bool
	// since is when the client had taken as many bytes as acked, zero if no write was found under way. checked is when
	// it was last found that it hasn't taken minProgressBytes more.
	since, checked time.Time
	acked          uint64
}

// Write implements net.Conn. A server doesn't answer a head that was refused before its end.
func (c *conn) Write(from []byte) (int, error) {
	if c.unread.Load() {
		return 0, refusedWrite()
	}
	if !c.beginWrite() {
		return 0, cutWrite()
	}
	n, err := c.Conn.Write(from)
	if !c.endWrite() {
		return n, cutWrite()
	}
	return n, err
}

// beginWrite returns false if the connection was cut.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.writing = !c.progress.cut
	return c.progress.writing
}

// endWrite returns false if the connection was cut.
func (c *conn) endWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.writing = false
	return !c.progress.cut
}

// cutWrite is the error of a write to a connection that was cut.
func cutWrite() error { return &net.OpError{Op: "write", Net: "tcp", Err: errCut} }

// SetWriteDeadline implements net.Conn. A handler can't go on with an answer that was cut.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress.cut {
		t = past
	}
	return c.Conn.SetWriteDeadline(t)
}

// checkProgress follows how a client takes its answer while the connection has no room for more of it. Time between two checks
// counts only once the second has been made: this process may have stood still meanwhile.
func (c *conn) checkProgress(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.progress
	if !p.writing {
		p.since = time.Time{}
		return
	}
	if !p.since.IsZero() && now.Sub(p.checked) < progressInterval {
		return
	}
	acked, ok := tcp.Acked(c.Conn)
	if !ok {
		return
	}
	if p.since.IsZero() || acked-p.acked >= minProgressBytes {
		p.since, p.acked = now, acked
	}
	p.checked = now
}

// unreadTime returns for how long the client of a request in a handler has hardly read its answer. The caller holds the lock.
func (c *conn) unreadTime() time.Duration {
	p := &c.progress
	if c.phase != handled || !p.writing || p.since.IsZero() {
		return 0
	}
	return p.checked.Sub(p.since)
}

// cutAnswer breaks off an answer that its client hardly reads, and closes the connection by a reset: the client can't take the
// answer for complete. It returns false if the client has read on.
func (c *conn) cutAnswer(reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadTime() <= minUnreadTime || !c.giveWay(reason) {
		return false
	}
	c.progress.cut = true
	c.lingers.Store(false)
	tcp.ResetOnClose(c.Conn)
	c.Conn.SetWriteDeadline(past)
	return true
}
