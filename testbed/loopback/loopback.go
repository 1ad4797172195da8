// Package loopback allocates loopback addresses for the processes of tests.
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

// Ports are allocated below the system's ephemeral range, so that no outgoing connection
// takes a port before its process listens. They are divided into blocks, and each block
// belongs to one test program at a time: otherwise another program could take a port
// between the check that it is free and the start of the process that listens on it.
const (
	firstPort = 12000
	lastPort  = 32000
	blockSize = 100
)

// blockStride separates the first blocks that programs with adjacent process IDs try.
const blockStride = 7

// errNoPort reports that all blocks of ports are locked.
var errNoPort = errors.New("no free port on loopback")

// blocks holds the blocks that this program has locked.
var blocks struct {
	mu sync.Mutex
	// next is the next port of the current block, and end is one past its last port.
	next, end int
	// held keeps the lock files of all blocks open until the program exits.
	held []*os.File
}

// FreeAddr returns a loopback address on which no process listens. It returns each
// address once, and none from a block of another running test program.
func FreeAddr() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Listen listens on the next free address, which comes from the same blocks as those of
// FreeAddr.
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

// takeBlock locks a block that no other program holds. The system releases the lock when
// the program exits, even by a crash.
func takeBlock() error {
	dir := filepath.Join(os.TempDir(), "pointpass-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	const count = (lastPort - firstPort) / blockSize
	for i := range count {
		n := (os.Getpid()*blockStride + i) % count
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(n)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			return err
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			f.Close() // locked by another program, or by this one
			continue
		}
		blocks.held = append(blocks.held, f)
		blocks.next = firstPort + n*blockSize
		blocks.end = blocks.next + blockSize
		return nil
	}
	return errNoPort
}
