// Package platform provides a stand-in for the platform that pointpass runs on: a
// transactional table and a VM list, with rate limits and injectable failures.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/pointpass/pointpass/table"
)

// Rate limits of the platform's table, as the users specify them.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// VM is an entry of the VM list.
type VM struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Hall   string `json:"hall"`
	Domain string `json:"domain"`
	Pool   string `json:"pool"`
	State  string `json:"state"`
}

// vmEntry is a VM of the list with the list's version of its last change and the time
// from which that change is visible.
type vmEntry struct {
	vm        VM
	version   uint64
	visibleAt time.Time
}

// Platform is the stand-in. It listens on loopback until closed.
type Platform struct {
	table        *table.Memory
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	server       *http.Server
	addr         string

	mu            sync.Mutex
	outage        bool
	latency       time.Duration
	dropResponses int // number of commits still to be applied without a response
	vmListLag     time.Duration
	vms           map[string]vmEntry
	vmVersion     uint64

	writeCount  atomic.Int64
	readCount   atomic.Int64
	rateLimited atomic.Int64
	bytesSent   atomic.Int64
}

// Start starts a platform on a free loopback port. The returned function stops it.
func Start() (*Platform, func(), error) {
	p := &Platform{
		table:        table.NewMemory(),
		writeLimiter: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		readLimiter:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		vms:          map[string]vmEntry{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/commit", p.commit)
	mux.HandleFunc("GET /v1/table/scan", p.scan)
	mux.HandleFunc("GET /v1/vms", p.listVMs)
	p.addr = listener.Addr().String()
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(listener)
	return p, func() { p.server.Close() }, nil
}

// Addr returns the IP address and port.
func (p *Platform) Addr() string { return p.addr }

// SetOutage starts or ends an outage, in which the table answers all requests with 503.
func (p *Platform) SetOutage(on bool) { p.withLock(func() { p.outage = on }) }

// SetLatency delays every response of the table.
func (p *Platform) SetLatency(d time.Duration) { p.withLock(func() { p.latency = d }) }

// DropResponses applies the next n commits but aborts their connections without a
// response.
func (p *Platform) DropResponses(n int) { p.withLock(func() { p.dropResponses = n }) }

// SetVMListLag delays the visibility of later changes to the VM list.
func (p *Platform) SetVMListLag(d time.Duration) { p.withLock(func() { p.vmListLag = d }) }

// SetVM adds or replaces an entry of the VM list.
func (p *Platform) SetVM(vm VM) {
	p.withLock(func() {
		p.vmVersion++
		p.vms[vm.ID] = vmEntry{vm: vm, version: p.vmVersion, visibleAt: time.Now().Add(p.vmListLag)}
	})
}

// VM returns an entry of the VM list, or the zero VM if there is none.
func (p *Platform) VM(id string) (vm VM) {
	p.withLock(func() { vm = p.vms[id].vm })
	return vm
}

// Usage counts the requests that the table served, those that it rejected over the rate
// limit, and the bytes of its responses.
type Usage struct {
	Writes, Reads, RateLimited, BytesSent int64
}

// Usage returns the counts since the start.
func (p *Platform) Usage() Usage {
	return Usage{Writes: p.writeCount.Load(), Reads: p.readCount.Load(), RateLimited: p.rateLimited.Load(), BytesSent: p.bytesSent.Load()}
}

// rows returns the current rows whose keys have a prefix.
func (p *Platform) rows(prefix string) []table.Row {
	changes, _ := p.table.Scan(context.Background(), 0, prefix)
	return changes.Rows()
}

// Keys returns the keys of the current rows with a prefix, so that tests can check the
// table's content directly.
func (p *Platform) Keys(prefix string) []string {
	var keys []string
	for _, r := range p.rows(prefix) {
		keys = append(keys, r.Key())
	}
	return keys
}

// Value decodes the row with a key. It reports whether the row exists and could be
// decoded.
func (p *Platform) Value(key string, into any) bool {
	for _, r := range p.rows(key) {
		if r.Key() == key {
			return r.Decode(into) == nil
		}
	}
	return false
}

func (p *Platform) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// available applies the latency, the outage and the rate limit to a request. It reports
// whether the table serves the request; otherwise the error is written.
func (p *Platform) available(w http.ResponseWriter, limiter *rate.Limiter) bool {
	var outage bool
	var latency time.Duration
	p.withLock(func() { outage, latency = p.outage, p.latency })
	time.Sleep(latency)
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !limiter.Allow() {
		p.rateLimited.Add(1)
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.available(w, p.writeLimiter) {
		return
	}
	p.writeCount.Add(1)
	version, err := p.table.Commit(r.Context(), txn)
	drop := false
	p.withLock(func() {
		if p.dropResponses > 0 {
			p.dropResponses--
			drop = true
		}
	})
	if drop {
		panic(http.ErrAbortHandler)
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		p.reply(w, http.StatusConflict, map[string]any{"rows": conflict.Rows()})
		return
	}
	p.reply(w, http.StatusOK, map[string]any{"version": version})
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	if !p.available(w, p.readLimiter) {
		return
	}
	p.readCount.Add(1)
	query := r.URL.Query()
	var changes table.Changes
	if limit, err := strconv.Atoi(query.Get("last")); err == nil {
		changes, _ = p.table.Last(r.Context(), query.Get("prefix"), limit)
	} else {
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		changes, _ = p.table.Scan(r.Context(), after, query["prefix"]...)
	}
	p.reply(w, http.StatusOK, map[string]any{"version": changes.Version(), "rows": changes.Rows()})
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	version := after
	vms := []VM{}
	p.withLock(func() {
		now := time.Now()
		horizon := p.vmVersion
		for _, l := range p.vms {
			if now.Before(l.visibleAt) {
				horizon = min(horizon, l.version-1)
			}
		}
		for _, l := range p.vms {
			if l.version > after && l.version <= horizon {
				vms = append(vms, l.vm)
			}
		}
		version = max(version, horizon)
	})
	p.reply(w, http.StatusOK, map[string]any{"version": version, "vms": vms})
}

func (p *Platform) reply(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	p.bytesSent.Add(int64(len(body)))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}
