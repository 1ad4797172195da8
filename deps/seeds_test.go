package deps

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSeeker_FindsOneThatIsUp: one seed refuses connections, one is not there at all, and the
// third is asked. A seed seeks none, and where none is up it is soon known.
func TestSeeker_FindsOneThatIsUp(t *testing.T) {
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
		s := newSeeker()
		begun := time.Now()
		s.Seek(t.Context(), c.self, c.seeds, startPatience)
		must.Len(t, c.found, s.Found())
		must.Less(t, 10*startPatience, time.Since(begun))
		<-s.done
		if c.found > 0 {
			must.EqOp(t, up.Addr().String(), s.Found()[0].Addr)
		}
	}
}
