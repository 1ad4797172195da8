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

// TestFreeAddr_ReturnsEachAddressOnce guards against an address that is returned twice to
// tests that run in parallel.
func TestFreeAddr_ReturnsEachAddressOnce(t *testing.T) {
	const goroutines, each = 16, 50
	var mu sync.Mutex
	seen := map[string]bool{}
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
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
	wg.Wait()
	must.MapLen(t, goroutines*each, seen)
	for addr := range seen {
		_, port, err := net.SplitHostPort(addr)
		must.NoError(t, err)
		n, err := strconv.Atoi(port)
		must.NoError(t, err)
		must.Between(t, firstPort, n, lastPort)
	}
}

// TestFreeAddr_AvoidsBlocksOfOtherPrograms guards against ports from a block that another
// program has locked. All blocks but one are locked as by another program.
func TestFreeAddr_AvoidsBlocksOfOtherPrograms(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dir := filepath.Join(os.TempDir(), "pointpass-ports")
	must.NoError(t, os.MkdirAll(dir, 0o777))
	const freeBlock = 17
	for n := range (lastPort - firstPort) / blockSize {
		f, err := os.Create(filepath.Join(dir, strconv.Itoa(n)))
		must.NoError(t, err)
		defer f.Close()
		if n != freeBlock {
			must.NoError(t, syscall.Flock(int(f.Fd()), syscall.LOCK_EX))
		}
	}
	blocks.mu.Lock()
	blocks.next = blocks.end // the current block was locked in another directory
	blocks.mu.Unlock()
	for range 20 {
		addr, err := FreeAddr()
		must.NoError(t, err)
		_, port, err := net.SplitHostPort(addr)
		must.NoError(t, err)
		n, err := strconv.Atoi(port)
		must.NoError(t, err)
		must.Between(t, firstPort+freeBlock*blockSize, n, firstPort+(freeBlock+1)*blockSize-1)
	}
}
