package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestWarning_AllDaemonsAvoidAStalledGroup checks that all daemons avoid a group whose streams
// stall at several of them, including a daemon that has sent it nothing, and that no incomplete
// stream looks complete to its caller.
func TestWarning_AllDaemonsAvoidAStalledGroup(t *testing.T) {
	s := newTestCluster(t, 4)
	_, others := startRelaying(t, s)
	s.awaitGroups(2)
	s.awaitShares()
	var idle *Daemon // and not the lease holder, which collects the reports
	var busy []*Daemon
	for _, d := range others {
		if idle == nil && !strings.Contains(d.Log(), `"event":"lease_taken"`) {
			idle = d
		} else {
			busy = append(busy, d)
		}
	}
	silent := s.openGroupHeads()[0]
	silent.SetFault(StopsMidStream)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	broken := make(chan string, 1)
	var mu sync.Mutex // guards s.ids
	for _, d := range busy {
		callers.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				a := s.newStreamRequest()
				mu.Unlock()
				r := d.Send(ctx, a)
				if ctx.Err() == nil && r.Err == nil && r.Status == http.StatusOK && !completeStream(a.ID, r) {
					select {
					case broken <- r.Body:
					default:
					}
				}
			}
		})
	}
	eventually(t, "the idle daemon is warned about the group", func() bool { return strings.Contains(idle.Log(), `"event":"group_warned"`) })
	cancel()
	callers.Wait()
	select {
	case body := <-broken:
		t.Fatalf("an incomplete stream looked complete: %s", body)
	default:
	}
}
