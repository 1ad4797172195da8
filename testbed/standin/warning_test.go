package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestWarning_AllLeaveAGroupThatFellSilent has the streams of one group fall silent at
// several daemons. One that has sent it nothing leaves it alone too, and all streams
// come whole from the other group.
func TestWarning_AllLeaveAGroupThatFellSilent(t *testing.T) {
	s := newStage(t, 4)
	_, others := relaying(t, s)
	s.awaitGroups(2)
	var idle *Daemon // nor does it gather the reports
	var busy []*Daemon
	for _, d := range others {
		if idle == nil && !strings.Contains(d.Log(), `"event":"lease_taken"`) {
			idle = d
		} else {
			busy = append(busy, d)
		}
	}
	silent := s.open()[0]
	silent.SetFault(FallsSilent)
	ctx, cancel := context.WithCancel(t.Context())
	var asking sync.WaitGroup
	broken := make(chan string, 1)
	var mu sync.Mutex // of the stage's ids
	for _, d := range busy {
		asking.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				a := s.stream()
				mu.Unlock()
				r := d.Send(ctx, a)
				if ctx.Err() == nil && r.Err == nil && r.Status == http.StatusOK && !wholeStream(a.ID, r) {
					select {
					case broken <- r.Body:
					default:
					}
				}
			}
		})
	}
	eventually(t, "the idle daemon is warned", func() bool { return strings.Contains(idle.Log(), `"event":"group_warned"`) })
	cancel()
	asking.Wait()
	select {
	case body := <-broken:
		t.Fatalf("a stream came broken as if whole: %s", body)
	default:
	}
}
