package serving

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/workers"
)

// crashRecorder records the answers that broke off.
type crashRecorder struct {
	runs     []quarantine.LostRequest
	canceled []quarantine.LostRequest
	outputs  []quarantine.Output
}

func (b *crashRecorder) Canceled(_ workers.Worker, r quarantine.LostRequest) {
	b.canceled = append(b.canceled, r)
}

func (b *crashRecorder) Lost(_ workers.Worker, r quarantine.LostRequest) { b.runs = append(b.runs, r) }

func (b *crashRecorder) Produced(outputs []quarantine.Output) {
	b.outputs = append(b.outputs, outputs...)
}

// headOnly starts an answer and breaks off before any output.
func headOnly(Attempt) (*Reply, error) {
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(brokenReader{}), Length: -1}, nil
}

// brokenReader is a body that fails at once.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// buffered answers with a status and a body that isn't streamed.
func buffered(status int) handler {
	return func(Attempt) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("answer")), Length: 6}, nil
	}
}

// newGuardedFleet returns a fleet that has the fingerprint key, its crash recorder, and the
// fingerprint of its requests.
func newGuardedFleet(kind catalog.Kind, handlers ...handler) (*fleet, *crashRecorder, quarantine.Fingerprint) {
	f := newFleet(kind, []string{"h1", "h2", "h3"}, handlers...)
	f.configure(nil, nil)
	b := &crashRecorder{}
	f.server.opts.Crashes = b
	f.server.opts.Guard.SetKey(quarantine.Key{1})
	fp, _ := f.server.opts.Guard.Fingerprint(quarantine.Content{Customer: "c", Host: "a.example"})
	return f, b, fp
}

func hold(f *fleet, fp quarantine.Fingerprint) {
	f.server.opts.Guard.ApplyRows([]quarantine.Hold{{Fingerprint: fp, Version: 5}})
}

// TestServe_HeldRequestReachesNoWorker guards against a held request that is sent to a worker
// or takes capacity from others. Its caller gets a refusal at once, which says that it
// didn't run and when to retry.
func TestServe_HeldRequestReachesNoWorker(t *testing.T) {
	for _, kind := range allKinds {
		f, _, fp := newGuardedFleet(kind, buffered(http.StatusOK))
		hold(f, fp)
		w, _ := f.ask()
		must.EqOp(t, http.StatusServiceUnavailable, w.Code)
		must.StrContains(t, w.Body.String(), heldReason)
		wait, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, (quarantine.HoldDuration - time.Minute).Seconds(), wait, quarantine.HoldDuration.Seconds())
		must.SliceEmpty(t, f.regions)
		must.SliceEmpty(t, f.demand, must.Sprint("it must not count as demand for groups"))
		must.StrContains(t, f.log.String()+f.metrics(), "pointpass_held_back_total 1")
	}
}

func (f *fleet) metrics() string {
	var b strings.Builder
	f.set.WritePrometheus(&b)
	return b.String()
}

// TestServe_RequestHeldBetweenAttempts guards against a second attempt of a request that
// crashed a worker in its first one and was held meanwhile. The caller must not be told that
// it didn't run.
func TestServe_RequestHeldBetweenAttempts(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Repeatable, catalog.Stream} {
		var f *fleet
		var fp quarantine.Fingerprint
		f, _, fp = newGuardedFleet(kind, func(a Attempt) (*Reply, error) {
			hold(f, fp)
			return loseAnswer(a)
		})
		w, _ := f.ask()
		must.EqOp(t, http.StatusBadGateway, w.Code)
		must.EqOp(t, "", w.Header().Get("Retry-After"))
		must.SliceLen(t, 1, f.regions)
	}
}

// TestServe_ReportsStageOfLostAnswers checks the stage that is reported for each answer that
// breaks off.
func TestServe_ReportsStageOfLostAnswers(t *testing.T) {
	for _, c := range []struct {
		kind     catalog.Kind
		handlers []handler
		want     []quarantine.LostRequest
	}{
		{catalog.Stream, []handler{loseAnswer, finishStream}, []quarantine.LostRequest{{Stage: quarantine.Queued}}},
		{catalog.Stream, []handler{headOnly, headOnly, finishStream}, []quarantine.LostRequest{{Stage: quarantine.Begun}, {Stage: quarantine.Begun, Resent: true}}},
		{catalog.Stream, []handler{cutStream, finishStream}, []quarantine.LostRequest{{Stage: quarantine.Producing}}},
		{catalog.Repeatable, []handler{loseAnswer, buffered(http.StatusOK)}, []quarantine.LostRequest{{Stage: quarantine.Begun}}},
		{catalog.Once, []handler{loseAnswer}, []quarantine.LostRequest{{Stage: quarantine.Begun}}},
		{catalog.Repeatable, []handler{unreachable, rejectBusy, buffered(http.StatusOK)}, nil},
	} {
		f, b, fp := newGuardedFleet(c.kind, c.handlers...)
		f.ask()
		for i := range c.want {
			c.want[i].Fingerprint = fp
		}
		must.Eq(t, c.want, b.runs)
	}
}

// TestServe_PlainRequestOfAModelMayWait: its worker sends nothing until it has run it, so that nothing tells
// whether it has begun.
func TestServe_PlainRequestOfAModelMayWait(t *testing.T) {
	e := &exchange{route: &catalog.Route{Kind: catalog.Repeatable}, service: &catalog.Service{Runtime: &catalog.Runtime{}}}
	must.EqOp(t, quarantine.Queued, e.initialStage())
}

// TestServe_CompleteAnswerClearsRequest checks that every complete answer clears a request,
// also an error: the worker is alive.
func TestServe_CompleteAnswerClearsRequest(t *testing.T) {
	for _, c := range []struct {
		kind    catalog.Kind
		handler handler
		clears  bool
	}{
		{catalog.Stream, finishStream, true},
		{catalog.Stream, func(Attempt) (*Reply, error) { return events(""), nil }, false},
		{catalog.Repeatable, buffered(http.StatusOK), true},
		{catalog.Once, buffered(http.StatusInternalServerError), true},
		{catalog.Once, loseAnswer, false},
		{catalog.Stream, headOnly, false},
		{catalog.Repeatable, rejectBusy, false},
	} {
		f, _, fp := newGuardedFleet(c.kind, c.handler)
		f.ask()
		must.EqOp(t, c.clears, f.server.opts.Guard.Finished(fp))
	}
}

// holdPart holds back the prompts with a part.
func holdPart(f *fleet, id string) {
	parts := quarantine.PartSet(f.server.opts.Guard.FingerprintParts("s", "m", []string{id}))
	f.server.opts.Guard.ApplyRows([]quarantine.Hold{{Fingerprint: parts.Fingerprint(), Parts: parts, Version: 5}})
}

// TestServe_HeldPartReachesNoWorker guards against sending a request whose prompt shares a held
// part. Requests with other parts are served.
func TestServe_HeldPartReachesNoWorker(t *testing.T) {
	f, b, _ := newGuardedFleet(catalog.Stream, finishStream, finishStream)
	holdPart(f, "b2")
	w, _ := f.askWith("a1", "b2")
	must.EqOp(t, http.StatusServiceUnavailable, w.Code)
	must.StrContains(t, w.Body.String(), heldPartReason)
	must.SliceEmpty(t, f.regions)
	w, _ = f.askWith("a1", "b3")
	must.EqOp(t, http.StatusOK, w.Code)
	must.SliceEmpty(t, b.outputs)
}

// TestServe_OutputOnAHeldPartIsReported: a request that was under way when its part was held back
// goes on and shows that the part crashes nothing.
func TestServe_OutputOnAHeldPartIsReported(t *testing.T) {
	var f *fleet
	f, b, _ := newGuardedFleet(catalog.Stream, func(a Attempt) (*Reply, error) {
		holdPart(f, "b2")
		return finishStream(a)
	})
	w, _ := f.askWith("a1", "b2")
	must.EqOp(t, http.StatusOK, w.Code)
	must.SliceLen(t, 1, b.outputs)
}

// TestServe_ReportsPartsOfLostRequests guards against crashes that don't count against the parts of requests
// since the worker had sent no head, or some output: no protocol says what it sends before it crashes.
func TestServe_ReportsPartsOfLostRequests(t *testing.T) {
	for _, lost := range []handler{loseAnswer, headOnly, cutStream} {
		f, b, _ := newGuardedFleet(catalog.Stream, lost, finishStream)
		f.askWith("a1", "b2")
		must.SliceLen(t, 1, b.runs)
		must.SliceLen(t, 2, b.runs[0].Parts)
	}
}

// TestServe_OutputBeforeALossProvesNothing guards against a part that is cleared by the first event of the
// request with which it crashes a worker. A request that is completed clears its parts.
func TestServe_OutputBeforeALossProvesNothing(t *testing.T) {
	f, _, _ := newGuardedFleet(catalog.Stream, cutStream, cutStream)
	f.askWith("a1")
	parts := f.server.opts.Guard.FingerprintParts("s", "m", []string{"a1"})
	must.SliceEmpty(t, f.server.opts.Guard.Outputs(parts))

	for kind, whole := range map[catalog.Kind]handler{catalog.Stream: finishStream, catalog.Repeatable: buffered(http.StatusOK)} {
		f, _, _ = newGuardedFleet(kind, whole)
		f.askWith("a1")
		outputs := f.server.opts.Guard.Outputs(parts)
		must.SliceLen(t, 1, outputs)
		must.True(t, outputs[0].Completed)
	}
}

// TestServe_OutputIsSettledOnceItsWorkerHasLivedOn checks that a stream that goes on for some time is settled,
// before its end.
func TestServe_OutputIsSettledOnceItsWorkerHasLivedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		go func() {
			io.WriteString(w, "id: 1\ndata: a\n\n")
			time.Sleep(quarantine.SettleTime)
			io.WriteString(w, "id: 2\ndata: b\n\n")
			w.CloseWithError(io.ErrUnexpectedEOF)
		}()
		f, b, _ := newGuardedFleet(catalog.Stream, func(Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: r, Length: -1}, nil
		}, loseAnswer)
		f.askWith("a1")
		outputs := f.server.opts.Guard.Outputs(f.server.opts.Guard.FingerprintParts("s", "m", []string{"a1"}))
		must.SliceLen(t, 1, outputs)
		must.False(t, outputs[0].Completed)
		must.EqOp(t, quarantine.Settled, b.runs[0].Stage)
	})
}

// unframed answers with events that end with their connection.
func unframed(body string) handler {
	return func(Attempt) (*Reply, error) {
		r := events(body)
		r.EndsWithConnection = true
		return r, nil
	}
}

// TestServe_UnframedStreamWithoutEventsIsBroken guards against an empty answer for a stream whose
// worker crashed as it began: the connection then ends as that of a complete stream does.
func TestServe_UnframedStreamWithoutEventsIsBroken(t *testing.T) {
	f, b, _ := newGuardedFleet(catalog.Stream, unframed(""), finishStream)
	w, _ := f.askWith("a1")
	must.EqOp(t, http.StatusOK, w.Code)
	must.Positive(t, w.Body.Len())
	must.SliceLen(t, 2, f.regions)
	must.SliceLen(t, 1, b.runs)
	must.EqOp(t, quarantine.Begun, b.runs[0].Stage)
	must.SliceLen(t, 1, b.runs[0].Parts)

	f, _, _ = newGuardedFleet(catalog.Stream, unframed("id: 1\ndata: a\n\n"))
	w, aborted := f.ask()
	must.EqOp(t, http.StatusOK, w.Code)
	must.False(t, aborted)
	must.SliceLen(t, 1, f.regions, must.Sprint("it ended after an event"))

	f, _, _ = newGuardedFleet(catalog.Stream, unframed("id: 1\ndata: a\n\nid: 2\nda"), unframed("id: 2\ndata: b\n\n"))
	w, aborted = f.ask()
	must.False(t, aborted)
	must.EqOp(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", w.Body.String())
}

// TestServe_AttemptThatWaitsIsCanceledByAHold guards against a worker that crashes as it begins a
// request which was held back while it waited there. Attempts of other requests go on, and the worker
// isn't blamed. The request is reported as canceled, as the worker may crash all the same.
func TestServe_AttemptThatWaitsIsCanceledByAHold(t *testing.T) {
	var f *fleet
	waitForCancel := func(a Attempt) (*Reply, error) {
		holdPart(f, "b2")
		f.server.CancelHeld()
		<-f.sendContext.Done()
		return nil, &LostError{Err: f.sendContext.Err()}
	}
	f, b, _ := newGuardedFleet(catalog.Stream, waitForCancel)
	w, _ := f.askWith("a1", "b2")
	must.EqOp(t, http.StatusBadGateway, w.Code)
	must.StrContains(t, w.Body.String(), heldPartReason)
	must.SliceLen(t, 1, f.regions)
	must.SliceEmpty(t, b.runs)
	must.SliceLen(t, 1, b.canceled)
	must.SliceLen(t, 2, b.canceled[0].Parts)
	must.EqOp(t, quarantine.Queued, b.canceled[0].Stage)

	f, b, _ = newGuardedFleet(catalog.Stream, func(a Attempt) (*Reply, error) {
		holdPart(f, "b2")
		f.server.CancelHeld()
		must.NoError(t, f.sendContext.Err())
		return finishStream(a)
	})
	w, _ = f.askWith("a1", "b3")
	must.EqOp(t, http.StatusOK, w.Code)
	must.SliceEmpty(t, b.canceled)
}

// TestServe_RetryOfASuspectAwaitsTheVerdict guards against a second worker that crashes while the
// deciders still judge the crash of the first. Requests without suspected parts retry at once.
func TestServe_RetryOfASuspectAwaitsTheVerdict(t *testing.T) {
	for _, suspected := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f, _, _ := newGuardedFleet(catalog.Stream, headOnly, finishStream)
			if suspected {
				f.server.opts.Guard.Watch(f.server.opts.Guard.FingerprintParts("s", "m", []string{"b2"}))
			}
			started := time.Now()
			w, _ := f.askWith("a1", "b2")
			must.EqOp(t, http.StatusOK, w.Code)
			must.EqOp(t, suspected, time.Since(started) >= verdictDelay)
		})
	}

	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newGuardedFleet(catalog.Stream, headOnly, finishStream)
		f.server.opts.Guard.Watch(f.server.opts.Guard.FingerprintParts("s", "m", []string{"b2"}))
		time.AfterFunc(verdictDelay/2, func() { holdPart(f, "b2") })
		w, _ := f.askWith("a1", "b2")
		must.EqOp(t, http.StatusBadGateway, w.Code)
		must.SliceLen(t, 1, f.regions)
	})
}
