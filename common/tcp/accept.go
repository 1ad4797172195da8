package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Bounds of the pause after a failed Accept, which doubles with each further one.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Persistent returns a listener that goes on after errors which say nothing about the listening socket, such as
// a lack of descriptors, buffers or memory, or a network that is down. It calls failed for each of them.
func Persistent(l net.Listener, failed func(error)) net.Listener {
	return &persistentListener{Listener: l, failed: failed}
}

type persistentListener struct {
	net.Listener
	failed func(error)
}

// Accept implements net.Listener.
func (l *persistentListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || isClosed(err) {
			return conn, err
		}
		l.failed(err)
		time.Sleep(pause)
	}
}

// isClosed reports whether an error of Accept means that there is no listening socket any more.
func isClosed(err error) bool {
	for _, final := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}
