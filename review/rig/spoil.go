package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/testbed/standin"
)

const (
	readPath  = "/get/"
	writePath = "/post/"
	// spoiledShare is the part of the answers that a faulty worker spoils, one in so many, and
	// spoilTime for how long.
	spoiledShare = 50
	spoilTime    = 5500 * time.Millisecond
	plainTimeout = 2 * time.Second
	plainWork    = 20 * time.Millisecond
)

// spoiled are what a faulty worker sends in turn in place of its answer: bytes that aren't HTTP, an
// answer that is cut short, and bytes with the form of an answer that carry neither the id of a request
// nor a signature, so that they are none in the protocol. %s stands for the headers of the answer.
var spoiled = []string{
	"#############\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sContent-Length: 26\r\n\r\nanswer",
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nwrong bytes\n",
}

// plainWorker is a worker of a plain service.
type plainWorker struct {
	id     string
	record *record
	addr   string
	faulty atomic.Bool
	served atomic.Int64
	spoils atomic.Int64
}

// addPlain starts a worker of a plain service and keeps its entry in the store.
func addPlain(store *standin.Store, r *record, id, service, zone string) (*plainWorker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &plainWorker{id: id, record: r, addr: listener.Addr().String()}
	go http.Serve(listener, http.HandlerFunc(w.serve))
	n := wire.Entry
	store.Put(workersTable, id, map[string]any{
		n["service"]: service, n["address"]: w.addr, n["zone"]: zone, n["version"]: "v1", n["slots"]: 26, n["state"]: "ready",
		n["cold"]: 0, n["orders"]: 0, n["born"]: time.Now().UnixMilli(),
	})
	return w, nil
}

func (w *plainWorker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get(wire.Header["expect"]) != w.id {
		rw.Header().Set(wire.Header["instance"], w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(wire.Header["attempt"])
	io.Copy(io.Discard, r.Body)
	time.Sleep(plainWork)
	if n := w.served.Add(1); w.faulty.Load() && n%spoiledShare == 0 {
		w.spoil(rw, r, id)
		return
	}
	rw.Header().Set(wire.Header["attempt"], id)
	rw.Header().Set(wire.Header["signature"], "sig-"+id)
	fmt.Fprintf(rw, "answer to %s", id)
}

func init() { cases["spoil"] = runSpoil }

// spoil sends wrong bytes in place of an answer.
func (w *plainWorker) spoil(rw http.ResponseWriter, r *http.Request, id string) {
	kind := int(w.spoils.Add(1)) % len(spoiled)
	w.record.add("%s spoils its answer to %s %s, way %d", w.id, r.Method, id, kind)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		w.record.add("%s can't: %v", w.id, err)
		return
	}
	headers := fmt.Sprintf("%s: %s\r\n%s: sig-%s\r\n", wire.Header["attempt"], id, wire.Header["signature"], id)
	io.WriteString(conn, strings.Replace(spoiled[kind], "%s", headers, 1))
	conn.Close()
}

// runSpoil sends requests to a plain service of four workers, two of which spoil one answer in fifty
// for some seconds.
func runSpoil(s *setup) error {
	s.store.Apply(standin.Config{
		Version:  7,
		Limits:   standin.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20},
		Services: []standin.Service{{Name: "app"}},
		Routes: []standin.Route{
			{Name: "read", Host: host, Prefix: readPath, Type: "idempotent", TimeoutMs: int(plainTimeout.Milliseconds()), GoalMs: 300, Priority: 2, Service: "app", Attempts: 2},
			{Name: "write", Host: host, Prefix: writePath, Type: "non_idempotent", TimeoutMs: int(plainTimeout.Milliseconds()), GoalMs: 300, Priority: 2, Service: "app", Attempts: 1},
		},
		Tenants: []standin.Tenant{{Name: "desk", Keys: []string{key}}},
	})
	var workers []*plainWorker
	for i := range 4 {
		w, err := addPlain(s.store, s.record, fmt.Sprint("p", i), "app", "z1")
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	daemons, err := startDaemons(s.dir, s.program, s.store.Addr(), []string{"z1", "z2"})
	defer func() {
		for _, d := range daemons {
			d.kill()
		}
	}()
	if err != nil {
		return err
	}
	var stop atomic.Bool
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
			for n := 0; !stop.Load(); n++ {
				method, path := http.MethodGet, readPath
				if n%3 == 0 {
					method, path = http.MethodPost, writePath
				}
				s.call(transport, daemons[i%len(daemons)].callers, method, path)
				time.Sleep(20*time.Millisecond + rand.N(20*time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.record.add("%s and %s spoil one answer in %d from now on", workers[0].id, workers[1].id, spoiledShare)
		workers[0].faulty.Store(true)
		workers[1].faulty.Store(true)
	}
	time.Sleep(spoilTime)
	workers[0].faulty.Store(false)
	workers[1].faulty.Store(false)
	s.record.add("no worker spoils answers any more")
	time.Sleep(2 * time.Second)
	stop.Store(true)
	callers.Wait()
	return nil
}

// call sends one request of a client and checks rule MIXED for its answer.
func (s *setup) call(transport *http.Transport, addr, method, path string) {
	id := fmt.Sprintf("%016x", attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), plainTimeout)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = "move " + id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path+id, strings.NewReader(body))
	if err != nil {
		s.record.add("request %s: %v", id, err)
		return
	}
	req.Host = host
	req.Header.Set(wire.Header["attempt"], id)
	req.Header.Set(wire.Header["deadline"], strconv.FormatInt(plainTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.record.add("client gets no answer to %s %s: %v", method, id, err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get(wire.Header["signature"])
	s.record.add("client gets %d to %s %s, signature %q, body %q, error %v", resp.StatusCode, method, id, signature, text, err)
	if err == nil && resp.StatusCode/100 == 2 && (signature != "sig-"+id || string(text) != "answer to "+id) {
		s.record.fail("MIXED: the client gets %d to %s %s with the signature %q and the body %q", resp.StatusCode, method, id, signature, text)
	}
}
