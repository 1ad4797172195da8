// Package loopback finds addresses for the processes of a test.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are given out below those that the system gives out by itself, so that no
// connection takes one before the process that it is for listens.
const (
	firstPort = 12000
	lastPort  = 32000
)

// spread sets the places apart where two processes of neighbouring numbers begin.
const spread = 97

var nextPort atomic.Int64

// errNoPort tells that every port was found taken.
var errNoPort = errors.New("no free port on loopback")

// FreeAddr returns an address on loopback where nobody listens, each one once. Where the
// search begins differs between processes.
func FreeAddr() (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid()*spread%(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errNoPort
}
