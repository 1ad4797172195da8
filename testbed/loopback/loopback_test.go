package loopback

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
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

// TestFreeAddr_KeepsOffBlocksOfOthers has another program hold all blocks but one.
func TestFreeAddr_KeepsOffBlocksOfOthers(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dir := filepath.Join(os.TempDir(), "pointpass-ports")
	must.NoError(t, os.MkdirAll(dir, 0o777))
	const left = 17
	for n := range (lastPort - firstPort) / blockSize {
		f, err := os.Create(filepath.Join(dir, strconv.Itoa(n)))
		must.NoError(t, err)
		defer f.Close()
		if n != left {
			must.NoError(t, syscall.Flock(int(f.Fd()), syscall.LOCK_EX))
		}
	}
	blocks.mu.Lock()
	blocks.next = blocks.end // what was taken before lies elsewhere
	blocks.mu.Unlock()
	for range 20 {
		addr, err := FreeAddr()
		must.NoError(t, err)
		_, port, err := net.SplitHostPort(addr)
		must.NoError(t, err)
		n, err := strconv.Atoi(port)
		must.NoError(t, err)
		must.Between(t, firstPort+left*blockSize, n, firstPort+(left+1)*blockSize-1)
	}
}
