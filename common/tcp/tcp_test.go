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

// TestBothSidesNoticeADarkPeer looks at the bound on unacknowledged bytes of an opened
// and of a taken connection.
func TestBothSidesNoticeADarkPeer(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0", 7*time.Second)
	must.NoError(t, err)
	defer listener.Close()
	opened, err := Dialer(3*time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer opened.Close()
	taken, err := listener.Accept()
	must.NoError(t, err)
	defer taken.Close()
	must.EqOp(t, 3*time.Second, userTimeoutOf(t, opened))
	must.EqOp(t, 7*time.Second, userTimeoutOf(t, taken))
}
