package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// listenRetryInterval is the interval between attempts to listen on an address that is in use.
const listenRetryInterval = 100 * time.Millisecond

// AwaitAddress calls listen until its address is free, or ctx ends: a predecessor of this process may still
// hold it, and a VM's address may come up after its processes. It calls waiting once if it has to wait.
func AwaitAddress(ctx context.Context, listen func() (net.Listener, error), waiting func(error)) (net.Listener, error) {
	for first := true; ; first = false {
		l, err := listen()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) && !errors.Is(err, syscall.EADDRNOTAVAIL) {
			return l, err
		}
		if first {
			waiting(err)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(listenRetryInterval):
		}
	}
}
