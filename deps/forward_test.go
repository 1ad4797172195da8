package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/clock"
)

// TestForwarder_LogsAvoidedPeersSparsely guards against a line per request while all daemons are
// cut off.
func TestForwarder_LogsAvoidedPeersSparsely(t *testing.T) {
	f := newForwarder(nil, nil)
	now := clock.Now()
	must.True(t, f.markAvoided(avoidedPeer{"a", "s"}, now))
	must.False(t, f.markAvoided(avoidedPeer{"a", "s"}, now.Add(avoidPeerTime)))
	must.True(t, f.markAvoided(avoidedPeer{"b", "s"}, now))
	must.True(t, f.markAvoided(avoidedPeer{"a", "s"}, now.Add(avoidLogInterval)))
	for i := range 2 * maxAvoided {
		f.markAvoided(avoidedPeer{string(rune(i)), "s"}, now.Add(time.Duration(i)))
	}
	must.LessEq(t, maxAvoided, len(f.avoided))
}
