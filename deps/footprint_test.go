package deps

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/platform/platformtest"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// workerEntry returns a worker's entry as the platform's workers write it.
func workerEntry(i int, version uint64) store.Row {
	return store.Row{Key: fmt.Sprintf("i-%010x", i*7919), Value: platformtest.WorkerEntry(i), At: store.At(0, version)}
}

func daemonRow(i int) store.Row {
	value, _ := json.Marshal(replica.Node{Addr: fmt.Sprint("10.0.", i/250, ".", i%250, ":8340"), Hall: fmt.Sprint("hall-", i%5), Cores: 0.192})
	return store.Row{Key: fmt.Sprint("node/edge-", i), Value: value, At: store.At(0, uint64(i+1))}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// leafState is what a daemon that no other daemon reads from keeps of the store's tables.
type leafState struct {
	entries, control *relay.Cache
	registry         *workers.Registry
	directory        *replica.Directory
}

// newLeafState reads a fleet in which each worker changes eight times.
func newLeafState(daemons, n int) *leafState {
	f := &leafState{
		entries:   relay.NewCache(platform.WorkersTable, workersTiming.maxAge, clock.Now),
		control:   relay.NewCache(replica.LeaseTable, leaseTiming.maxAge, clock.Now),
		registry:  workers.NewRegistry(func(*workers.View) {}),
		directory: replica.NewDirectory(clock.Now),
	}
	f.entries.KeepHistory(false)
	f.control.KeepHistory(false)
	control := store.Update{Full: true, At: store.At(0, uint64(daemons))}
	for i := range daemons {
		control.Rows = append(control.Rows, daemonRow(i))
	}
	f.control.Apply(control)
	f.directory.Apply(control)
	version := uint64(daemons)
	const changes = 8
	for round := range changes {
		const batch = 100
		for first := 0; first < n; first += batch {
			u := store.Update{Full: round == 0 && first == 0}
			for i := first; i < min(first+batch, n); i++ {
				version++
				u.Rows = append(u.Rows, workerEntry(i, version))
			}
			u.At = store.At(0, version)
			f.entries.Apply(u)
			changed, gone, _ := platform.Workers(u.Rows)
			f.registry.Apply(changed, gone, u.Full)
		}
	}
	return f
}

// TestLeaf_StaysWithinMemoryLimit guards against memory growth with the size of the fleet. At the
// largest known fleet the tables take up to a third of the 16 MB that a daemon may use, twice that
// at twice the size.
func TestLeaf_StaysWithinMemoryLimit(t *testing.T) {
	for _, c := range []struct {
		daemons, workers int
		limit            int64
	}{{984, 2793, 16 << 20 / 3}, {1968, 5586, 2 * 16 << 20 / 3}} {
		before := liveHeap()
		f := newLeafState(c.daemons, c.workers)
		used := liveHeap() - before
		must.Less(t, c.limit, used, must.Sprint(c.daemons, " daemons"))
		t.Logf("%d daemons, %d workers: %d KB", c.daemons, c.workers, used>>10)
		runtime.KeepAlive(f)
	}
}
