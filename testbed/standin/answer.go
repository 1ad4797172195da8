package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Timing of streams, which are much faster than real ones.
const (
	eventInterval = 15 * time.Millisecond
	eventCount    = 8
)

// serve answers a request according to the worker's current fault.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttemptID)
	rw.Header().Set(headerAttemptID, id)
	w.mu.Lock()
	fault := w.fault
	open := w.group != nil && w.group.State == "open"
	grouped := w.group != nil
	group, model, members := w.group, w.model, w.members
	cold := time.Now().Before(w.coldUntil)
	if w.limit != "" {
		rw.Header().Set(headerLimit, w.limit)
	}
	if w.leaving {
		rw.Header().Set(headerLeaving, "1")
	}
	pause, leaving := w.pause, w.leaving
	w.mu.Unlock()
	if r.Header.Get(headerExpectInstance) != w.id || (grouped && !open) {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.store.checker.checkArrival(w.id, w.hall)
	w.store.checker.checkRetry(w.service, id)
	w.store.checker.checkLimitedArrival(w.id)
	if cold {
		w.store.checker.checkColdArrival(w.id, w.service)
	}
	w.store.checker.checkPausedArrival(w.id)
	w.store.checker.checkLeavingArrival(w.id)
	if leaving {
		defer w.store.checker.recordLeaving(w.id)
	}
	if pause > 0 {
		rw.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		rw.Header().Set(headerNotExecuted, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.store.checker.recordPause(w.id, pause)
		return
	}
	if fault == Full {
		rw.Header().Set(headerNotExecuted, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if grouped {
		w.store.checker.checkRun(group, model, members)
	}
	if w.answerEarly(rw, r) {
		return
	}
	run := w.startRun(r)
	if w.spoilAnswer(rw, r, run) {
		return
	}
	switch fault {
	case DropsResponses:
		panic(http.ErrAbortHandler)
	case UnmarkedBusy:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case Stalls:
		w.awaitCancel(r, run)
		panic(http.ErrAbortHandler)
	case WrongID:
		rw.Header().Set(headerAttemptID, "ffffffffffffffff")
	case Anonymous:
		rw.Header().Del(headerAttemptID)
	}
	if fault != Unsigned && fault != Anonymous {
		rw.Header().Set(headerSignature, "sig-"+w.id+"-"+id)
	}
	if fault == Fails {
		http.Error(rw, "failed", http.StatusInternalServerError)
		return
	}
	if w.shouldCrash(run) {
		w.runCrash(rw, grouped)
	}
	if !grouped {
		w.work(r, run)
		fmt.Fprintf(rw, "answer to %s of %s", id, w.id)
		return
	}
	w.stream(rw, r, run, fault)
}

// SetDelay sets how long the worker runs each plain request.
func (w *Worker) SetDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// work runs a plain request for the worker's delay.
func (w *Worker) work(r *http.Request, run *Run) {
	w.mu.Lock()
	delay := w.delay
	w.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		w.markCancelled(run)
	case <-w.killed:
	}
}

// shouldCrash reports whether the worker crashes while it handles run.
func (w *Worker) shouldCrash(run *Run) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deadly != nil && w.deadly(*run)
}

// startRun reads a request and records it as running.
func (w *Worker) startRun(r *http.Request) *Run {
	body, _ := io.ReadAll(r.Body)
	return w.recordRun(r, string(body))
}

// recordRun records a request as running, with what was read of its body.
func (w *Worker) recordRun(r *http.Request, body string) *Run {
	ms, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	run := &Run{
		ID:        r.Header.Get(headerAttemptID),
		Path:      r.URL.RequestURI(),
		Tenant:    r.Header.Get(headerTenant),
		Body:      body,
		Header:    r.Header.Clone(),
		LastEvent: r.Header.Get("Last-Event-Id"),
		TimeLeft:  time.Duration(ms) * time.Millisecond,
		At:        time.Now(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run)
	return run
}

// awaitCancel blocks until the caller disconnects or the worker is killed.
func (w *Worker) awaitCancel(r *http.Request, run *Run) {
	select {
	case <-r.Context().Done():
		w.markCancelled(run)
	case <-w.killed:
	}
}

func (w *Worker) markCancelled(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.Cancelled = true
}

// stream sends the events that follow the one named by Last-Event-Id.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(run.LastEvent)
	for i := last + 1; i <= eventCount; i++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			w.markCancelled(run)
			return
		}
		if fault == StopsMidStream && i == last+3 {
			w.awaitCancel(r, run)
			panic(http.ErrAbortHandler)
		}
		for fault == PausesMidStream && i == last+3 && w.hasFault(PausesMidStream) && r.Context().Err() == nil {
			time.Sleep(eventInterval)
		}
		if fault == CutsStream && i == last+3 {
			fmt.Fprintf(rw, "id: %d\nda", i)
			http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, run.ID, i)
		http.NewResponseController(rw).Flush()
	}
}
