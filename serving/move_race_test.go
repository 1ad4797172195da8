package serving

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/retry"
)

// lastEventDelay is the time between the second event of a stream and the last one.
const lastEventDelay = 20 * time.Millisecond

// wakingUpstream is an upstream whose streams send an event and are silent, and so are those that resume
// elsewhere, until it wakes them all at once.
type wakingUpstream struct {
	streams int
	awake   chan struct{}

	mu      sync.Mutex
	resumed int
}

func (u *wakingUpstream) Send(ctx context.Context, a Attempt) (*Reply, error) {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { w.CloseWithError(ctx.Err()) })
	go func() {
		if a.LastEvent == "" {
			io.WriteString(w, "id: 1\ndata: x\n\n")
		} else {
			u.countResumed()
		}
		select {
		case <-u.awake:
			io.WriteString(w, "id: 2\ndata: y\n\n")
			time.Sleep(lastEventDelay)
			io.WriteString(w, "id: 3\ndata: z\n\n")
			w.Close()
		case <-ctx.Done():
		}
	}()
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: r, Length: -1}, nil
}

// countResumed counts a stream that resumes elsewhere, and wakes all when the last one does.
func (u *wakingUpstream) countResumed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.resumed++
	if u.resumed == u.streams {
		close(u.awake)
	}
}

// TestMove_BothTargetsWakeAtOnce guards against a stream that is cut since the target that it moves to and the
// one that it leaves send the next event at the same moment.
func TestMove_BothTargetsWakeAtOnce(t *testing.T) {
	const rounds, streams = 10, 60
	for range rounds {
		upstream := &wakingUpstream{streams: streams, awake: make(chan struct{})}
		s := newStreamServer(t, upstream)
		s.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: streams, Window: time.Minute} }
		s.opts.MaxRequests = streams
		for i, text := range serveStreams(s, streams) {
			must.EqOp(t, wholeStream+"id: 3\ndata: z\n\n", text, must.Sprint("stream ", i))
		}
		must.SliceEmpty(t, s.opts.Balancer.InFlight())
	}
}

// TestMove_HeldRequestStays guards against a request that is held back and reaches another worker since its
// stream moves there.
func TestMove_HeldRequestStays(t *testing.T) {
	upstream := &pausingUpstream{pause: 2 * maxStreamSilence, resume: finishStream}
	s := newStreamServer(t, nil)
	s.opts.Guard.SetKey(quarantine.Key{1})
	s.opts.Upstream = upstreamFunc(func(ctx context.Context, a Attempt) (*Reply, error) {
		for _, w := range s.watches.list() {
			s.opts.Guard.ApplyRows([]quarantine.Hold{{Fingerprint: w.print, Version: 5}})
		}
		return upstream.Send(ctx, a)
	})
	must.Eq(t, []string{wholeStream}, serveStreams(s, 1))
	must.EqOp(t, 0, upstream.resumed)
}
