// Package tcp opens and takes connections that notice a peer which has gone dark.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of connections on which nothing is under way.
const (
	probeAfter = time.Second
	probeEvery = time.Second
	probes     = 2
)

// Dialer opens connections that notice a silent peer within about unacked.
func Dialer(unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         unacked,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control:         userTimeout(unacked),
	}
}

// Listen takes connections at an address. A connection ends once its peer has not
// acknowledged what was sent to it for about unacked.
func Listen(ctx context.Context, addr string, unacked time.Duration) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: unacked, Interval: unacked / probes, Count: probes},
		Control:         userTimeout(unacked), // connections inherit it
	}
	return config.Listen(ctx, "tcp", addr)
}

// userTimeout sets how long sent bytes may stay without an acknowledgement before
// the connection ends.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
