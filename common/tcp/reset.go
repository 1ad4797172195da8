package tcp

import (
	"net"

	"golang.org/x/sys/unix"
)

// Reset closes a connection by a reset, also one that others wrap, so that its peer can't mistake what it got for
// complete. It reports whether it could.
func Reset(conn net.Conn) bool {
	defer conn.Close()
	return ResetOnClose(conn)
}

// ResetOnClose lets a later Close of a connection, also one that others wrap, reset it. It reports whether it could.
func ResetOnClose(conn net.Conn) bool {
	raw := innermost(conn)
	return raw != nil && raw.SetLinger(0) == nil
}

// Acked returns how many bytes the peer of a connection, also one that others wrap, has acknowledged. It returns false if that
// isn't known.
func Acked(conn net.Conn) (uint64, bool) {
	raw := innermost(conn)
	if raw == nil {
		return 0, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var optErr error
	err = control.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optErr != nil {
		return 0, false
	}
	return info.Bytes_acked, true
}

// HasUnread reports whether bytes have arrived on a connection, also one that others wrap, that were not read yet. It
// doesn't wait, and deadlines don't matter.
func HasUnread(conn net.Conn) bool {
	raw := innermost(conn)
	if raw == nil {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = control.Control(func(fd uintptr) {
		var first [1]byte
		n, _, _ = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// innermost returns the TCP connection within a connection, nil if there is none.
func innermost(conn net.Conn) *net.TCPConn {
	for {
		if raw, ok := conn.(*net.TCPConn); ok {
			return raw
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}
