// Package meter counts the bytes that connections carry, so that the cost of
// control traffic can be measured where it arises.
package meter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Meter counts bytes in both directions.
type Meter struct {
	bytes atomic.Int64
}

// Bytes returns how many bytes were carried.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Dial opens connections as http.Transport wants it done; nil stands for the
// usual way.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DialContext is for http.Transport; its connections are counted.
func (m *Meter) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

const dialTimeout = 5 * time.Second

// Listener counts the bytes of all connections that a listener accepts.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection, counted.
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

// Read counts what arrives.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}
