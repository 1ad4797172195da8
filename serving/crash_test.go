package serving

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/workers"
)

// broken are the answers that broke off.
type broken struct{ runs []quarantine.Run }

func (b *broken) Lost(_ workers.Worker, r quarantine.Run) { b.runs = append(b.runs, r) }

// headOnly is a worker that ends after it has begun, before it has produced anything.
func headOnly(Attempt) (*Reply, error) {
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(cutReader{}), Length: -1}, nil
}

// cutReader is a body that breaks off at once.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// whole is an answer that isn't streamed.
func whole(status int) answer {
	return func(Attempt) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("answer")), Length: 6}, nil
	}
}

// guarded is a fleet that knows the key of fingerprints, and what its requests are named.
func guarded(kind catalog.Kind, answers ...answer) (*fleet, *broken, quarantine.Fingerprint) {
	f := newFleet(kind, []string{"h1", "h2", "h3"}, answers...)
	f.configure(nil, nil)
	b := &broken{}
	f.server.opts.Crashes = b
	f.server.opts.Guard.SetKey(quarantine.Key{1})
	print, _ := f.server.opts.Guard.Fingerprint(quarantine.Content{Customer: "c", Host: "a.example"})
	return f, b, print
}

func hold(f *fleet, print quarantine.Fingerprint) {
	f.server.opts.Guard.Learn([]quarantine.Hold{{Fingerprint: print, Version: 5}})
}

// TestServe_AHeldRequestGetsToNoWorker: its caller is told at once that it has not run, and
// when to come back, and takes no room from others.
func TestServe_AHeldRequestGetsToNoWorker(t *testing.T) {
	for _, kind := range allKinds {
		f, _, print := guarded(kind, whole(http.StatusOK))
		hold(f, print)
		w, _ := f.ask()
		must.EqOp(t, http.StatusServiceUnavailable, w.Code)
		must.StrContains(t, w.Body.String(), heldReason)
		wait, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, (quarantine.Length - time.Minute).Seconds(), wait, quarantine.Length.Seconds())
		must.SliceEmpty(t, f.regions)
		must.SliceEmpty(t, f.asked, must.Sprint("no groups are planned for it"))
		must.StrContains(t, f.log.String()+f.metrics(), "pointpass_held_back_total 1")
	}
}

func (f *fleet) metrics() string {
	var b strings.Builder
	f.set.WritePrometheus(&b)
	return b.String()
}

// TestServe_ARequestIsHeldBetweenTwoSends: it has crashed a worker in this try as others
// learn that it does so. Nobody is told that it did not run.
func TestServe_ARequestIsHeldBetweenTwoSends(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Repeatable, catalog.Stream} {
		var f *fleet
		var print quarantine.Fingerprint
		f, _, print = guarded(kind, func(a Attempt) (*Reply, error) {
			hold(f, print)
			return lost(a)
		})
		w, _ := f.ask()
		must.EqOp(t, http.StatusBadGateway, w.Code)
		must.EqOp(t, "", w.Header().Get("Retry-After"))
		must.SliceLen(t, 1, f.regions)
	}
}

// TestServe_TellsHowFarTheWorkerWas for each answer that breaks off.
func TestServe_TellsHowFarTheWorkerWas(t *testing.T) {
	for _, c := range []struct {
		kind    catalog.Kind
		answers []answer
		want    []quarantine.Run
	}{
		{catalog.Stream, []answer{lost, streamEnd}, []quarantine.Run{{Stage: quarantine.Queued}}},
		{catalog.Stream, []answer{headOnly, headOnly, streamEnd}, []quarantine.Run{{Stage: quarantine.Begun}, {Stage: quarantine.Begun, Again: true}}},
		{catalog.Stream, []answer{streamCut, streamEnd}, []quarantine.Run{{Stage: quarantine.Producing}}},
		{catalog.Repeatable, []answer{lost, whole(http.StatusOK)}, []quarantine.Run{{Stage: quarantine.Begun}}},
		{catalog.Once, []answer{lost}, []quarantine.Run{{Stage: quarantine.Begun}}},
		{catalog.Repeatable, []answer{unreachable, fullRoom, whole(http.StatusOK)}, nil},
	} {
		f, b, print := guarded(c.kind, c.answers...)
		f.ask()
		for i := range c.want {
			c.want[i].Fingerprint = print
		}
		must.Eq(t, c.want, b.runs)
	}
}

// TestServe_AnyWholeAnswerClearsARequest, also one that tells of a failure: the worker lives.
func TestServe_AnyWholeAnswerClearsARequest(t *testing.T) {
	for _, c := range []struct {
		kind   catalog.Kind
		answer answer
		clears bool
	}{
		{catalog.Stream, streamEnd, true},
		{catalog.Stream, func(Attempt) (*Reply, error) { return events(""), nil }, false},
		{catalog.Repeatable, whole(http.StatusOK), true},
		{catalog.Once, whole(http.StatusInternalServerError), true},
		{catalog.Once, lost, false},
		{catalog.Stream, headOnly, false},
		{catalog.Repeatable, fullRoom, false},
	} {
		f, _, print := guarded(c.kind, c.answer)
		f.ask()
		must.EqOp(t, c.clears, f.server.opts.Guard.Finished(print))
	}
}
