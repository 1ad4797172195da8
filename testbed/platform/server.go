// Package platform is a stand-in for the platform that pointpass runs on: a
// transactional table and a VM list, with their limits and their failures.
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

// The limits of the platform's table, as the users state them.
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

type listed struct {
	vm      VM
	version uint64
	visible time.Time
}

// Platform is the stand-in. It listens on loopback until closed.
type Platform struct {
	table  *table.Memory
	writes *rate.Limiter
	reads  *rate.Limiter
	server *http.Server
	addr   string

	mu          sync.Mutex
	outage      bool
	slow        time.Duration
	loseAnswers int // how many answers to commits are still to be lost
	lag         time.Duration
	vms         map[string]listed
	vmVersion   uint64

	written atomic.Int64
	read    atomic.Int64
	refused atomic.Int64
	sent    atomic.Int64
}

// Start returns a platform on a free port of loopback, and a function that
// stops it.
func Start() (*Platform, func(), error) {
	p := &Platform{
		table:  table.NewMemory(),
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		vms:    map[string]listed{},
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

// Addr returns the IP number and port.
func (p *Platform) Addr() string { return p.addr }

// SetOutage makes the table refuse everything, or answer again.
func (p *Platform) SetOutage(on bool) { p.locked(func() { p.outage = on }) }

// SetSlow delays every answer of the table.
func (p *Platform) SetSlow(d time.Duration) { p.locked(func() { p.slow = d }) }

// LoseAnswers makes the next n commits take effect without an answer.
func (p *Platform) LoseAnswers(n int) { p.locked(func() { p.loseAnswers = n }) }

// SetLag delays when changes of the VM list can be seen.
func (p *Platform) SetLag(d time.Duration) { p.locked(func() { p.lag = d }) }

// SetVM changes an entry of the VM list.
func (p *Platform) SetVM(vm VM) {
	p.locked(func() {
		p.vmVersion++
		p.vms[vm.ID] = listed{vm: vm, version: p.vmVersion, visible: time.Now().Add(p.lag)}
	})
}

// VM returns an entry of the VM list.
func (p *Platform) VM(id string) (vm VM) {
	p.locked(func() { vm = p.vms[id].vm })
	return vm
}

// Usage counts what the table did since the start.
type Usage struct {
	Writes, Reads, Refused, BytesSent int64
}

// Usage returns what the table did since the start.
func (p *Platform) Usage() Usage {
	return Usage{Writes: p.written.Load(), Reads: p.read.Load(), Refused: p.refused.Load(), BytesSent: p.sent.Load()}
}

// rows returns the present rows under a prefix.
func (p *Platform) rows(prefix string) []table.Row {
	changes, _ := p.table.Scan(context.Background(), 0, prefix)
	return changes.Rows()
}

// Keys returns the keys of present rows under a prefix, for checks of what
// really stands in the table.
func (p *Platform) Keys(prefix string) []string {
	var keys []string
	for _, r := range p.rows(prefix) {
		keys = append(keys, r.Key())
	}
	return keys
}

// Value decodes the row with a key; it tells whether there is one.
func (p *Platform) Value(key string, into any) bool {
	for _, r := range p.rows(key) {
		if r.Key() == key {
			return r.Decode(into) == nil
		}
	}
	return false
}

func (p *Platform) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// available waits out slowness and tells whether the table answers at all.
func (p *Platform) available(w http.ResponseWriter, limiter *rate.Limiter) bool {
	var outage bool
	var slow time.Duration
	p.locked(func() { outage, slow = p.outage, p.slow })
	time.Sleep(slow)
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !limiter.Allow() {
		p.refused.Add(1)
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
	if !p.available(w, p.writes) {
		return
	}
	p.written.Add(1)
	version, err := p.table.Commit(r.Context(), txn)
	lose := false
	p.locked(func() {
		if p.loseAnswers > 0 {
			p.loseAnswers--
			lose = true
		}
	})
	if lose {
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
	if !p.available(w, p.reads) {
		return
	}
	p.read.Add(1)
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
	p.locked(func() {
		now := time.Now()
		horizon := p.vmVersion
		for _, l := range p.vms {
			if now.Before(l.visible) {
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
	p.sent.Add(int64(len(body)))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}
