package connlimit

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/memory"
)

const (
	// headByteCost and headLineCost are how much memory a head takes for each byte and each line: it is kept as it
	// came and as strings, and a line has entries in the maps of what is received and what is sent on.
	headByteCost = 2
	headLineCost = 320
	// readerBytes is the size of the buffer by which net/http reads heads and small parts of bodies.
	readerBytes = 4 << 10
	// headSlack is how many bytes of a body may be counted with the head that follows it.
	headSlack = readerBytes
)

// errRefused is the error of reads from and writes to a connection that is being closed.
var errRefused = errors.New("the connection is refused")

// past is a time that has passed for every deadline.
var past = time.Unix(1, 0)

// phase is what a connection is open for.
type phase int

const (
	// waiting means that no byte of a request has come, arriving that its head arrives, and handled that a handler has it.
	waiting phase = iota
	arriving
	handled
)

// States of a connection: open, to be closed by its server, and forgotten.
const (
	live int32 = iota
	expired
	removed
)

// conn is a tracked connection.
type conn struct {
	net.Conn
	tracker *Tracker
	// life is live, expired or removed.
	life atomic.Int32
	// lingers is set while the client may still send a body that nobody reads.
	lingers atomic.Bool
	// lastByte is when something was read last, in Unix nanoseconds.
	lastByte atomic.Int64
	// unread is set once a head was refused before its end: its server takes it for malformed.
	unread atomic.Bool

	mu    sync.Mutex
	phase phase
	// since is when the phase began. used is set once there was a request, and receiving while the body of one arrives.
	since           time.Time
	used, receiving bool
	// head is what has come of the request's head. tail is what the server may hold of the next one.
	head, tail headScan
	// account is the memory of the request, nil before its first byte.
	account  *memory.Account
	progress progress

	// rest is how far the server is in waiting for a request.
	rest atomic.Int32
}

// How far a server is in waiting for a request: it isn't idle, it is idle, and it has set the deadline of that. Its next
// deadline is that of a head whose first bytes are there.
const (
	restNone int32 = iota
	restIdle
	restDeadline
)

// NetConn returns the connection within.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends what is sent, so that a client which still sends can read an answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.read(into)
	if err != nil && c.life.Load() == expired && !c.isHandled() {
		c.unread.Store(true)
	}
	return n, err
}

func (c *conn) read(into []byte) (int, error) {
	if c.life.Load() == expired && !c.isHandled() {
		return 0, refusedRead()
	}
	if c.rest.Swap(restNone) != restNone {
		c.readIdle(readerBytes - len(into))
	}
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.lastByte.Store(time.Now().UnixNano())
		if refused := c.received(into[:n], len(into)); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	ends := !t.IsZero() && !t.After(time.Now()) // set to end a read
	if !ends && !c.rest.CompareAndSwap(restIdle, restDeadline) && c.rest.CompareAndSwap(restDeadline, restNone) {
		c.mu.Lock()
		held := c.tail
		c.mu.Unlock()
		c.beginHeld(held)
	}
	return c.Conn.SetReadDeadline(t)
}

// readIdle follows the first read of an idle connection, whose server holds the given number of bytes already.
func (c *conn) readIdle(held int) {
	if held > 0 {
		c.beginHeld(headScan{bytes: held})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tail = headScan{}
}

// beginHeld begins a head whose start was read with the request before.
func (c *conn) beginHeld(held headScan) {
	c.mu.Lock()
	if c.phase != waiting {
		c.mu.Unlock()
		return
	}
	c.begin(held)
	c.mu.Unlock()
	if err := c.reserve(held.cost()); err != nil {
		c.refuse(NoMemory)
	}
}

// received counts the bytes of a read that had room for more. It returns an error if they exceed a limit.
func (c *conn) received(data []byte, room int) error {
	head, arrives := c.scan(data, room)
	if !arrives {
		return nil
	}
	if head.bytes > c.tracker.opts.Limits().HeadBytes+headSlack {
		err := c.refuse(HeadTooLong) // before the client knows
		c.refuseHead()
		return err
	}
	if err := c.reserve(head.cost()); err != nil {
		return c.refuse(NoMemory)
	}
	return nil
}

// scan returns what has come of the head that arrives, false if a handler has the request.
func (c *conn) scan(data []byte, room int) (headScan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handled {
		c.scanBody(data, room)
		return headScan{}, false
	}
	if c.phase == waiting {
		c.begin(headScan{})
	}
	n, _ := c.head.add(data) // the body has limits of its own
	c.tail = headScan{}
	c.tail.addAll(data[n:])
	return c.head, true
}

// scanBody follows what comes with a body or after it: the next head may begin there. The server's buffer is empty before a
// read that has its whole size, and larger reads are those of the body alone. The caller holds the lock.
func (c *conn) scanBody(data []byte, room int) {
	if room >= readerBytes {
		c.tail = headScan{}
	}
	if room <= readerBytes {
		c.tail.addAll(data)
	}
}

// begin begins a head, of which the server may hold some bytes. The caller holds the lock.
func (c *conn) begin(held headScan) {
	c.setPhase(arriving)
	c.head = held
	c.account = c.tracker.opts.Budget.Open(func() { c.giveWay(NoMemory) })
}

// reserve makes the account of the request hold at least the given number of bytes.
func (c *conn) reserve(cost int64) error {
	c.mu.Lock()
	account := c.account
	c.mu.Unlock()
	if account == nil {
		return nil
	}
	if missing := cost - account.Held(); missing > 0 {
		return account.Reserve(missing)
	}
	return nil
}

// setPhase begins a phase. The caller holds the lock.
func (c *conn) setPhase(p phase) {
	c.phase = p
	c.since = time.Now()
}

// headRefusal is the answer to a head that is too long, in the form of net/http.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large\n"

// refuseTimeout bounds the write of a refusal to a client that may not read it.
const refuseTimeout = 100 * time.Millisecond

// refuseHead answers a head that is too long. No answer is under way, as no handler has a request.
func (c *conn) refuseHead() {
	c.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	c.Conn.Write([]byte(headRefusal))
	c.CloseWrite()
}

// refuse reports the reason for which the connection is closed, and returns the error of its read.
func (c *conn) refuse(reason Reason) error {
	c.expire(reason)
	return refusedRead()
}

// refusedRead is the error of a read from a connection that is being closed. net/http closes connections whose read
// fails in this way without an answer, except within a line of a head.
func refusedRead() error { return &net.OpError{Op: "read", Net: "tcp", Err: errRefused} }

func refusedWrite() error { return &net.OpError{Op: "write", Net: "tcp", Err: errRefused} }

// expire makes the server close the connection, unless it has got a whole request: the server's read fails. It returns false
// if that has been done already.
func (c *conn) expire(reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handled && !c.receiving {
		return false
	}
	return c.giveWay(reason)
}

// giveWay implements expire. The budget calls it too, whose lock comes after that of the connection.
func (c *conn) giveWay(reason Reason) bool {
	if !c.life.CompareAndSwap(live, expired) {
		return false
	}
	c.tracker.expiring.Add(1)
	if reason != idle {
		c.tracker.opts.Refused(reason)
	}
	c.Conn.SetReadDeadline(past)
	return true
}

// countHead counts what has not been seen of a request's head, since it came together with the request before. Nil is allowed.
func (c *conn) countHead(r *http.Request) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	if c.account == nil {
		c.account = c.tracker.opts.Budget.Open(func() {})
		c.account.Pin()
	}
	c.mu.Unlock()
	return c.reserve(headCost(r.Header))
}

// passHead passes the memory of the head on to the account of the body, so that both are weighed as one while the body
// arrives. The returned function passes it back. Nil is allowed.
func (c *conn) passHead(body *memory.Account) func() {
	if c == nil {
		return func() {}
	}
	c.mu.Lock()
	head := c.account
	c.mu.Unlock()
	if head == nil {
		return func() {}
	}
	n := head.MoveTo(body, head.Held())
	return func() { body.MoveTo(head, n) }
}

// headCost returns the memory that a head takes.
func headCost(h http.Header) int64 {
	cost := 0
	for name, values := range h {
		for _, v := range values {
			cost += headLineCost + headByteCost*(len(name)+len(v))
		}
	}
	return int64(cost)
}

func (c *conn) isHandled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == handled
}

// observe follows the state that the server sees.
func (c *conn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.setPhase(handled)
		c.rest.Store(restNone)
		if c.account != nil && !c.unread.Load() { // net/http reports heads that failed too
			c.account.Keep()
		}
		if c.life.Load() == expired { // its request had been read already
			c.Conn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.setPhase(waiting)
		c.rest.Store(restIdle)
		c.lingers.Store(false)
		c.used = true
		c.closeAccount()
	case http.StateClosed, http.StateHijacked:
		c.closeAccount()
	}
}

// closeAccount gives the memory of the request back. The caller holds the lock.
func (c *conn) closeAccount() {
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.lingers.CompareAndSwap(true, false) {
		c.linger()
	}
	c.tracker.remove(c)
	c.mu.Lock()
	c.closeAccount()
	c.mu.Unlock()
	return c.Conn.Close()
}

// checkTime closes the connection if its request takes too long to arrive, or if it has been idle for too long.
func (c *conn) checkTime(now time.Time, limits Limits) {
	c.mu.Lock()
	age, phase, used := now.Sub(c.since), c.phase, c.used
	c.mu.Unlock()
	switch {
	case phase == handled:
	case phase == waiting && used:
		if age > limits.IdleTimeout {
			c.expire(idle)
		}
	case age > limits.HeadTimeout+headTimeoutSlack:
		c.expire(HeadLate)
	}
}

// uselessness tells which of several connections is closed first if there is no room.
type uselessness struct {
	rank int // 0 if the connection is left alone
	age  time.Duration
}

// Ranks of uselessness.
const (
	slowRank = iota + 1
	idleRank
	unreadRank
	silentRank
	stalledRank
)

func (u uselessness) above(other uselessness) bool {
	return u.rank > other.rank || u.rank == other.rank && u.age > other.age
}

// uselessness returns for how long the connection has been open for nothing.
func (c *conn) uselessness(now time.Time) uselessness {
	if c.life.Load() != live {
		return uselessness{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	stalled := now.Sub(time.Unix(0, c.lastByte.Load()))
	switch {
	case (c.phase == arriving || c.receiving) && stalled > minStallTime:
		return uselessness{stalledRank, stalled}
	case (c.phase == arriving || c.receiving) && age > minSlowTime:
		return uselessness{slowRank, age}
	case c.phase == waiting && !c.used && age > minSilentTime:
		return uselessness{silentRank, age}
	case c.phase == waiting && c.used && age > minIdleTime:
		return uselessness{idleRank, age}
	case c.unreadTime() > minUnreadTime:
		return uselessness{unreadRank, c.unreadTime()}
	}
	return uselessness{}
}
