package conns

import (
	"errors"
	"net"
	"testing"

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
		conn := &countedConn{Conn: slow}
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
