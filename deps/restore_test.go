package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
)

// A data hall that the operator closed is opened by an older copy of the store, before the
// operator has closed it again.
func TestRestore_AClosedHallStaysClosedForAWhile(t *testing.T) {
	e, _ := newColdEdge(t)
	update := store.Update{Full: true, Restored: true, At: store.At(2, 9), Evidence: clock.Now()}
	e.following.caches[platform.ConfigTable].Apply(update)
	e.followHalls(update)
	must.False(t, e.Placement.Open("h1"))
	e.followHalls(store.Update{At: store.At(2, 9), Evidence: clock.Now()})
	must.False(t, e.Placement.Open("h1"))
	e.hallsConfirmed = clock.Now().Add(-time.Millisecond)
	e.followHalls(store.Update{At: store.At(2, 10), Evidence: clock.Now()})
	must.True(t, e.Placement.Open("h1"), must.Sprint("the operator didn't close it again"))
}
