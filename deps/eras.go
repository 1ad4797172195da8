package deps

import (
	"errors"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/store"
)

// eras tells to which era of the store an answer belongs. The newest era that an answer told
// counts: an answer that tells none, or one that can't be read, is taken for one of it, and
// one of an earlier era for none at all. It is safe for use by many goroutines.
type eras struct {
	set *metrics.Set
	log *log.Logger

	mu     sync.Mutex
	newest uint64
	// odd is the fault of the last answer, "" if it had none.
	odd eraFault
}

// eraFault is what is wrong with the era that an answer tells.
type eraFault string

const (
	eraMissing eraFault = "missing"
	eraBack    eraFault = "back"
)

func newEras(set *metrics.Set, log *log.Logger) *eras {
	e := &eras{set: set, log: log}
	set.NewGauge("pointpass_store_era", func() float64 { return float64(e.Newest()) })
	return e
}

// Newest returns the newest era that an answer told, 0 if none did.
func (e *eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// place returns an answer as one of the era that it belongs to. It returns *store.CallError
// with *eraError for an answer of an earlier era.
func (e *eras) place(s store.Snapshot, err error) (store.Snapshot, error) {
	told, answered := eraOf(s, err)
	if !answered {
		return s, err
	}
	newest, fault := e.take(told)
	switch fault {
	case eraBack:
		return store.Snapshot{}, &store.CallError{Op: "era", Err: &eraError{told: told, newest: newest}}
	case eraMissing:
		return stamp(s, newest), err
	}
	return s, err
}

// take takes in the era that an answer told, 0 if none.
func (e *eras) take(told uint64) (newest uint64, fault eraFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case told > e.newest:
		e.begin(told)
	case told == 0 && e.newest > 0:
		fault = eraMissing
	case told < e.newest:
		fault = eraBack
	}
	if fault != "" {
		e.set.GetOrCreateCounter(`pointpass_store_era_faults_total{fault="` + string(fault) + `"}`).Inc()
	}
	if fault != "" && fault != e.odd {
		e.log.Warn().Str("event", "store_era_fault").Str("fault", string(fault)).Uint64("told", told).Uint64("newest", e.newest).Msg("")
	}
	e.odd = fault
	return e.newest, fault
}

// begin notes that the store is in a later era. The caller holds the lock.
func (e *eras) begin(told uint64) {
	before := e.newest
	e.newest = told
	if before == 0 {
		return
	}
	e.set.GetOrCreateCounter("pointpass_store_restores_total").Inc()
	e.log.Warn().Str("event", "store_restored").Uint64("era", told).Uint64("era_before", before).Msg("the store came back from an older copy; its tables are read anew")
}

// eraOf returns the era that an answer tells, 0 if none, and false if there is no answer.
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

// stamp returns an answer as one of an era.
func stamp(s store.Snapshot, era uint64) store.Snapshot {
	s.At = store.At(era, s.At.Version())
	for i, r := range s.Rows {
		s.Rows[i].At = store.At(era, r.At.Version())
	}
	return s
}

// eraError tells that an answer is of an earlier era than the store is in.
type eraError struct{ told, newest uint64 }

// Error describes the error.
func (e *eraError) Error() string {
	return "the answer is of era " + strconv.FormatUint(e.told, 10) + ", the store is in " + strconv.FormatUint(e.newest, 10)
}
