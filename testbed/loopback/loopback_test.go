package loopback

import (
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFreeAddr_EachOnce asks from many goroutines, as tests that run side by side do.
func TestFreeAddr_EachOnce(t *testing.T) {
	const askers, each = 16, 50
	var mu sync.Mutex
	seen := map[string]bool{}
	var asking sync.WaitGroup
	for range askers {
		asking.Go(func() {
			for range each {
				addr, err := FreeAddr()
				mu.Lock()
				if err == nil {
					seen[addr] = true
				}
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	must.MapLen(t, askers*each, seen)
	for addr := range seen {
		_, port, err := net.SplitHostPort(addr)
		must.NoError(t, err)
		n, err := strconv.Atoi(port)
		must.NoError(t, err)
		must.Between(t, firstPort, n, lastPort)
	}
}
