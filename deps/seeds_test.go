package deps

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSeedFinder_FindsTheReachableSeed guards against a start that is blocked by seeds that are
// down. The first seed refuses connections, the second is absent, the third is up. A seed looks for
// none, and the search ends soon if none is up.
func TestSeedFinder_FindsTheReachableSeed(t *testing.T) {
	up, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer up.Close()
	const refuses, absent = "127.0.0.1:1", "127.255.255.255:9"
	seeds := []string{refuses, absent, up.Addr().String()}
	for _, c := range []struct {
		self  string
		seeds []string
		found int
	}{{"127.0.0.1:2", seeds, 1}, {refuses, seeds, 0}, {"127.0.0.1:2", seeds[:2], 0}, {"127.0.0.1:2", nil, 0}} {
		s := newSeedFinder()
		start := time.Now()
		s.Find(t.Context(), c.self, c.seeds, seedTimeout)
		must.Len(t, c.found, s.Found())
		must.Less(t, 10*seedTimeout, time.Since(start))
		<-s.done
		if c.found > 0 {
			must.EqOp(t, up.Addr().String(), s.Found()[0].Addr)
		}
	}
}
