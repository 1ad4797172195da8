// Package meter counts the bytes that connections transfer. It measures the volume
// of control traffic.
package meter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Meter counts the bytes that are sent and received.
type Meter struct {
	bytes atomic.Int64
}

// Bytes returns the number of bytes sent and received.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// DialFunc dials connections for http.Transport; nil means the default dialer.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DialContext dials a connection whose bytes are counted. It is a DialFunc.
func (m *Meter) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

const dialTimeout = 5 * time.Second

// Listener returns a listener that counts the bytes of all accepted connections.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection, whose bytes are counted.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read counts the received bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// CloseWrite ends what is sent, so that a client which still sends can read an answer.
func (c *meteredConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
