// Package tcp opens and accepts connections that detect an unresponsive peer.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive settings of idle connections. With TCP_USER_TIMEOUT set, Linux ignores the number of
// probes: a connection fails at the first check, an interval after a probe, at which nothing has
// come for the user timeout.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dialer returns a dialer whose connections detect an unresponsive peer within about
// unackedTimeout.
func Dialer(unackedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         unackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         userTimeout(unackedTimeout),
	}
}

// Listen listens on an address. An accepted connection fails after sent data has
// remained unacknowledged for about unackedTimeout.
func Listen(ctx context.Context, addr string, unackedTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: unackedTimeout, Interval: unackedTimeout / keepAliveProbes, Count: keepAliveProbes},
		Control:         userTimeout(unackedTimeout), // inherited by accepted connections
	}
	return config.Listen(ctx, "tcp", addr)
}

// userTimeout returns a control function that sets TCP_USER_TIMEOUT: how long sent
// data may remain unacknowledged before the connection fails.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
