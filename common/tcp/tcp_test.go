package tcp

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

func userTimeoutOf(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	var ms int
	must.NoError(t, raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	must.NoError(t, err)
	return time.Duration(ms) * time.Millisecond
}

// TestUserTimeout_IsSetOnBothSides guards against connections that hang on a dead peer:
// TCP_USER_TIMEOUT must be set on dialed and on accepted connections.
func TestUserTimeout_IsSetOnBothSides(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0", 7*time.Second)
	must.NoError(t, err)
	defer listener.Close()
	dialed, err := Dialer(3*time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.EqOp(t, 3*time.Second, userTimeoutOf(t, dialed))
	must.EqOp(t, 7*time.Second, userTimeoutOf(t, accepted))
}
