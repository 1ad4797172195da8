package deps

import (
	"errors"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/store"
)

// eraTracker assigns each response of the store to an era. The newest era in any response counts: a
// response without an era, or with one that can't be parsed, is assigned to it, and a response of
// an earlier era is rejected. It is safe for concurrent use.
type eraTracker struct {
	set *metrics.Set
	log *log.Logger

	mu     sync.Mutex
	newest uint64
	// lastFault is the fault of the last response, "" if it had none.
	lastFault eraFault
}

// eraFault is a fault in the era of a response.
type eraFault string

const (
	eraMissing  eraFault = "missing"
	eraBackward eraFault = "back"
)

func newEraTracker(set *metrics.Set, log *log.Logger) *eraTracker {
	e := &eraTracker{set: set, log: log}
	set.NewGauge("pointpass_store_era", func() float64 { return float64(e.Newest()) })
	return e
}

// Newest returns the newest era seen in a response, 0 if none had one.
func (e *eraTracker) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// resolve returns a response with its era filled in. It returns *store.CallError with *eraError for
// a response of an earlier era.
func (e *eraTracker) resolve(s store.Snapshot, err error) (store.Snapshot, error) {
	reported, answered := eraOf(s, err)
	if !answered {
		return s, err
	}
	newest, fault := e.observe(reported)
	switch fault {
	case eraBackward:
		return store.Snapshot{}, &store.CallError{Op: "era", Err: &eraError{reported: reported, newest: newest}}
	case eraMissing:
		return stamp(s, newest), err
	}
	return s, err
}

// observe applies the era of a response, 0 if it has none, and returns the newest era.
func (e *eraTracker) observe(reported uint64) (newest uint64, fault eraFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case reported > e.newest:
		e.advance(reported)
	case reported == 0 && e.newest > 0:
		fault = eraMissing
	case reported < e.newest:
		fault = eraBackward
	}
	if fault != "" {
		e.set.GetOrCreateCounter(`pointpass_store_era_faults_total{fault="` + string(fault) + `"}`).Inc()
	}
	if fault != "" && fault != e.lastFault {
		e.log.Warn().Str("event", "store_era_fault").Str("fault", string(fault)).Uint64("told", reported).Uint64("newest", e.newest).Msg("")
	}
	e.lastFault = fault
	return e.newest, fault
}

// advance moves to a later era of the store. The caller holds the lock.
func (e *eraTracker) advance(reported uint64) {
	previous := e.newest
	e.newest = reported
	if previous == 0 {
		return
	}
	e.set.GetOrCreateCounter("pointpass_store_restores_total").Inc()
	e.log.Warn().Str("event", "store_restored").Uint64("era", reported).Uint64("era_before", previous).Msg("the store was restored from an older copy; its tables are re-read")
}

// eraOf returns the era of a response, 0 if it has none, and false if there is no response.
func eraOf(s store.Snapshot, err error) (era uint64, answered bool) {
	var lost *store.HistoryLostError
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return s.At.Era(), true
	case errors.As(err, &lost):
		return lost.Era, true
	case errors.As(err, &conflict):
		return conflict.Era, true
	}
	return 0, false
}

// stamp sets the era of a response and its rows.
func stamp(s store.Snapshot, era uint64) store.Snapshot {
	s.At = store.At(era, s.At.Version())
	for i, r := range s.Rows {
		s.Rows[i].At = store.At(era, r.At.Version())
	}
	return s
}

// eraError is the error for a response of an earlier era than the store's current one.
type eraError struct{ reported, newest uint64 }

// Error describes the error.
func (e *eraError) Error() string {
	return "the answer is of era " + strconv.FormatUint(e.reported, 10) + ", the store is in " + strconv.FormatUint(e.newest, 10)
}
