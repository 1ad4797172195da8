package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowConn hands data over, and returns from Write only when it is told to.
type slowConn struct {
	net.Conn
	handed, returns chan struct{}
	n               int
	err             error
}

func (c *slowConn) Write(data []byte) (int, error) {
	close(c.handed)
	<-c.returns
	return min(c.n, len(data)), c.err
}

// TestConn_WriteUnderWayCounts guards against a request that counts as not sent, and is sent again, since its
// connection ended after its bytes were handed over and before the write returned.
func TestConn_WriteUnderWayCounts(t *testing.T) {
	for _, c := range []struct {
		n    int
		err  error
		want int64
	}{{4, nil, 4}, {3, errors.New("ended"), 3}, {0, errors.New("ended"), 0}} {
		slow := &slowConn{handed: make(chan struct{}), returns: make(chan struct{}), n: c.n, err: c.err}
		conn := &checkedConn{Conn: slow}
		written := make(chan struct{})
		go func() {
			defer close(written)
			conn.Write([]byte("GET "))
		}()
		<-slow.handed
		must.EqOp(t, 4, conn.counts().written)
		close(slow.returns)
		<-written
		must.EqOp(t, c.want, conn.counts().written)
	}
}

// endedConn reads an end while a write is under way, which returns an error once it is broken off.
type endedConn struct {
	net.Conn
	writing, brokenOff chan struct{}
	err                error
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.brokenOff
	return 0, c.err
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.brokenOff)
	return nil
}

// TestConn_FailuresAreNoEnds guards against a failure of the connection that a write gets, and that reads as the end
// of a response.
func TestConn_FailuresAreNoEnds(t *testing.T) {
	for _, c := range []struct{ written, read error }{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{nil, io.EOF},
	} {
		ended := &endedConn{writing: make(chan struct{}), brokenOff: make(chan struct{})}
		if c.written != nil {
			ended.err = &net.OpError{Op: "write", Err: c.written}
		}
		conn := &checkedConn{Conn: ended}
		written := make(chan struct{})
		go func() {
			defer close(written)
			conn.Write([]byte("body"))
		}()
		<-ended.writing
		_, err := conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, c.read, must.Sprint(c.written))
		<-written
	}
}

// TestPool_StartedMayRefuse guards against a request that is written though its caller no longer wants that, and against
// a connection that is lost with it.
func TestPool_StartedMayRefuse(t *testing.T) {
	s := newServer(t, func(int, int) string { return okResponse })
	p := newPool(t)
	refused := errors.New("too late")
	for _, fresh := range []bool{true, false, false} {
		_, err := ask(t, p, s.addr, http.MethodGet, Sending{Fresh: fresh, Started: func(bool) error { return refused }})
		must.ErrorIs(t, err, refused)
		var failed *SendError
		must.True(t, errors.As(err, &failed) && !failed.Sent)
	}
	_, err := ask(t, p, s.addr, http.MethodGet, Sending{})
	must.NoError(t, err)
	must.EqOp(t, 1, s.requests.Load())
	must.EqOp(t, 1, s.connections.Load())
}

// TestPool_EndedByTheOtherSide guards against a request that is taken for one that nobody reads any more since its
// connection was closed here.
func TestPool_EndedByTheOtherSide(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(n, _ int) string {
		if n > 0 {
			<-release
		}
		return ""
	})
	p := newPool(t)
	var failed *SendError
	_, err := ask(t, p, s.addr, http.MethodGet, Sending{})
	must.True(t, errors.As(err, &failed) && failed.Sent && failed.Ended)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/x", nil)
	must.NoError(t, err)
	_, err = p.Send(req, Sending{})
	close(release)
	must.True(t, errors.As(err, &failed) && failed.Sent)
	must.False(t, failed.Ended)
}
