// Package loopback finds addresses for the processes of a test.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Ports are given out below those that the system gives out by itself, so that no
// connection takes one before the process that it is for listens. They are parted into
// blocks, each of one test program at a time: whoever looked whether a port is free and
// hasn't listened yet would otherwise lose it to another program that does the same.
const (
	firstPort = 12000
	lastPort  = 32000
	blockSize = 100
)

// spread sets the blocks apart where two programs of neighbouring numbers begin.
const spread = 7

// errNoPort tells that every port was found taken.
var errNoPort = errors.New("no free port on loopback")

// blocks are those of this program.
var blocks struct {
	mu sync.Mutex
	// next is the next port of the block at hand, and end the first after it.
	next, end int
	// held keeps the locks on all blocks until the program ends.
	held []*os.File
}

// FreeAddr returns an address on loopback where nobody listens, each one once, and never
// one that another test program was given and may still use.
func FreeAddr() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Listen listens on an address that FreeAddr might have returned.
func Listen() (net.Listener, error) {
	blocks.mu.Lock()
	defer blocks.mu.Unlock()
	for {
		if blocks.next == blocks.end {
			if err := takeBlock(); err != nil {
				return nil, err
			}
		}
		port := blocks.next
		blocks.next++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l, nil
		}
	}
}

// takeBlock locks a block that no other program has. The system ends the lock with the
// program, however that ends.
func takeBlock() error {
	dir := filepath.Join(os.TempDir(), "pointpass-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	const count = (lastPort - firstPort) / blockSize
	for i := range count {
		n := (os.Getpid()*spread + i) % count
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(n)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			return err
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			f.Close() // another program has it, or this one
			continue
		}
		blocks.held = append(blocks.held, f)
		blocks.next = firstPort + n*blockSize
		blocks.end = blocks.next + blockSize
		return nil
	}
	return errNoPort
}
