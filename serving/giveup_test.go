package serving

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
)

// TestGiveUp_SaysWhetherARequestRan guards against requests under way that get no answer when a daemon's time to stop is
// over, and against an answer that says wrongly whether a worker may have run one.
func TestGiveUp_SaysWhetherARequestRan(t *testing.T) {
	for _, kind := range allKinds {
		for _, sent := range []bool{false, true} {
			f := newFleet(kind, []string{"h1", "h2"})
			f.configure(nil, nil)
			waiting := make(chan struct{})
			f.server.opts.Upstream = upstreamFunc(func(ctx context.Context, _ Attempt) (*Reply, error) {
				close(waiting)
				<-ctx.Done()
				if sent {
					return nil, &LostError{Err: ctx.Err()}
				}
				return nil, &NotSentError{Err: ctx.Err()}
			})
			go func() {
				<-waiting
				f.server.GiveUp()
			}()
			w, _ := f.ask()
			want := http.StatusServiceUnavailable
			if sent {
				want = http.StatusGatewayTimeout
			}
			must.EqOp(t, want, w.Code)
			must.EqOp(t, !sent, w.Header().Get("Retry-After") != "")
		}
	}
}

// TestGiveUp_EndsForwardedRequests guards against a request of another daemon that gets no answer when the time to stop is
// over.
func TestGiveUp_EndsForwardedRequests(t *testing.T) {
	f := newFleet(catalog.Once, []string{"h1"})
	f.configure(nil, nil)
	f.server.opts.Upstream = upstreamFunc(func(ctx context.Context, _ Attempt) (*Reply, error) {
		f.server.GiveUp()
		<-ctx.Done()
		return nil, &LostError{Err: ctx.Err()}
	})
	w := httptest.NewRecorder()
	f.server.ServeForwarded(w, httptest.NewRequest(http.MethodPost, "http://a.example/x", nil), Forward{
		Attempt: Attempt{Request: &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Credential: "key"}}, Attempts: 1, From: "edge-1",
	})
	must.EqOp(t, http.StatusGatewayTimeout, w.Code)
}

// TestFault_RetryAfterIsRoundedUp guards against callers who return as they are told, and a moment too early.
func TestFault_RetryAfterIsRoundedUp(t *testing.T) {
	for d, want := range map[time.Duration]string{
		2988402368 * time.Nanosecond: "2.989", time.Nanosecond: "0.001", 400 * time.Millisecond: "0.400", time.Hour: "3600.000",
	} {
		w := httptest.NewRecorder()
		writeFault(w, &fault{status: http.StatusServiceUnavailable, retryAfter: d})
		must.EqOp(t, want, w.Header().Get("Retry-After"))
	}
}
