package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// serve answers a request as the worker's fault has it.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	rw.Header().Set(headerID, id)
	w.mu.Lock()
	fault := w.fault
	head := w.group != nil && w.group.State == "open"
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
	if r.Header.Get(headerExpect) != w.id || (grouped && !head) {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.store.judge.arrives(w.id, w.hall)
	w.store.judge.arrivesLimited(w.id)
	if cold {
		w.store.judge.arrivesCold(w.id, w.service)
	}
	w.store.judge.arrivesPaused(w.id)
	w.store.judge.arrivesLeaving(w.id)
	if leaving {
		defer w.store.judge.toldLeaving(w.id)
	}
	if pause > 0 {
		rw.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.store.judge.asksForPause(w.id, pause)
		return
	}
	if fault == Full {
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if grouped {
		w.store.judge.runs(group, model, members)
	}
	run := w.begin(r)
	switch fault {
	case LosesAnswers:
		panic(http.ErrAbortHandler)
	case LiesBusy:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case Stalls:
		w.awaitEnd(r, run)
		panic(http.ErrAbortHandler)
	case OtherID:
		rw.Header().Set(headerID, "ffffffffffffffff")
	}
	rw.Header().Set(headerSignature, "sig-"+w.id+"-"+id)
	if fault == Fails {
		http.Error(rw, "failed", http.StatusInternalServerError)
		return
	}
	if w.crashes(run) {
		w.crash(rw)
	}
	if !grouped {
		fmt.Fprintf(rw, "answer to %s of %s", id, w.id)
		return
	}
	w.stream(rw, r, run, fault)
}

// crashes tells whether the worker ends under a run.
func (w *Worker) crashes(run *Run) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashBody != "" && w.crashBody == run.Body
}

// crash ends the worker a moment after the head of an answer went out.
func (w *Worker) crash(rw http.ResponseWriter) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	http.NewResponseController(rw).Flush()
	time.Sleep(eventTime)
	w.mu.Lock()
	first := !w.crashed
	w.crashed = true
	onCrash := w.onCrash
	w.mu.Unlock()
	if first {
		go w.Kill() // waits for the requests under way, this one among them
		onCrash()
	}
	panic(http.ErrAbortHandler)
}

func (w *Worker) begin(r *http.Request) *Run {
	body := make([]byte, r.ContentLength+1)
	n, _ := r.Body.Read(body)
	ms, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	run := &Run{
		ID:        r.Header.Get(headerID),
		Path:      r.URL.RequestURI(),
		Tenant:    r.Header.Get(headerTenant),
		Body:      string(body[:n]),
		Header:    r.Header.Clone(),
		LastEvent: r.Header.Get("Last-Event-Id"),
		Left:      time.Duration(ms) * time.Millisecond,
		At:        time.Now(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run)
	return run
}

// awaitEnd waits until the caller has left or the worker is killed.
func (w *Worker) awaitEnd(r *http.Request, run *Run) {
	select {
	case <-r.Context().Done():
		w.cancelled(run)
	case <-w.released:
	}
}

func (w *Worker) cancelled(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.Cancelled = true
}

// stream sends the events after the one that the request resumes at.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(run.LastEvent)
	for i := last + 1; i <= events; i++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			w.cancelled(run)
			return
		}
		if fault == FallsSilent && i == last+3 {
			w.awaitEnd(r, run)
			panic(http.ErrAbortHandler)
		}
		for fault == Pauses && i == last+3 && w.has(Pauses) && r.Context().Err() == nil {
			time.Sleep(eventTime)
		}
		if fault == CutsEvents && i == last+3 {
			fmt.Fprintf(rw, "id: %d\nda", i)
			http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, run.ID, i)
		http.NewResponseController(rw).Flush()
	}
}
