package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/pointpass/pointpass/testbed/loopback"
)

// Links are the links of some daemons to all workers. Their frontend of the store lists a proxy in
// place of each worker's address, so that they can be cut off while others reach the workers.
type Links struct {
	mu      sync.Mutex
	proxies map[string]*proxy // by the worker's address
	cut     bool
	closed  bool
}

// NewLinks returns links, and a function that closes them.
func NewLinks() (*Links, func()) {
	l := &Links{proxies: map[string]*proxy{}}
	return l, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closed = true
		for _, p := range l.proxies {
			p.close()
		}
	}
}

// Cut resets all connections and refuses new ones until Restore.
func (l *Links) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for _, p := range l.proxies {
		p.close()
	}
}

// Restore ends a cut, if there is one.
func (l *Links) Restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return nil
	}
	l.cut = false
	for _, p := range l.proxies {
		if err := p.listen(); err != nil {
			return err
		}
	}
	return nil
}

// through returns the address of the proxy in front of a worker, and the worker's own address if
// there can be none.
func (l *Links) through(worker string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.proxies[worker]; ok {
		return p.addr
	}
	addr, err := loopback.FreeAddr()
	if err != nil || l.closed {
		return worker
	}
	p := &proxy{addr: addr, worker: worker, conns: map[net.Conn]bool{}}
	l.proxies[worker] = p
	if !l.cut {
		if err := p.listen(); err != nil {
			return worker
		}
	}
	return addr
}

// wrap replaces the addresses in rows of workers that a handler returns.
func (l *Links) wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next(recorder, r)
		body := recorder.Body.Bytes()
		var reply map[string]json.RawMessage
		var rows []Row
		if r.URL.Query().Get("table") == "servers" && json.Unmarshal(body, &reply) == nil && json.Unmarshal(reply["rows"], &rows) == nil {
			for i := range rows {
				rows[i].Value = l.rewrite(rows[i].Value)
			}
			reply["rows"], _ = json.Marshal(rows)
			body, _ = json.Marshal(reply)
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		io.Copy(w, bytes.NewReader(body))
	}
}

// rewrite replaces the address in a worker's entry.
func (l *Links) rewrite(value []byte) []byte {
	var e map[string]json.RawMessage
	var addr string
	if json.Unmarshal(value, &e) != nil || json.Unmarshal(e["address"], &addr) != nil {
		return value
	}
	e["address"], _ = json.Marshal(l.through(addr))
	value, _ = json.Marshal(e)
	return value
}

// proxy forwards connections to one worker.
type proxy struct {
	addr, worker string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (p *proxy) listen() error {
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go p.serve(listener, conn)
		}
	}()
	return nil
}

// serve forwards one connection.
func (p *proxy) serve(listener net.Listener, conn net.Conn) {
	worker, err := net.Dial("tcp", p.worker)
	if err != nil {
		abort(conn)
		return
	}
	p.mu.Lock()
	open := p.listener == listener
	if open {
		p.conns[conn], p.conns[worker] = true, true
	}
	p.mu.Unlock()
	if !open {
		abort(conn)
		abort(worker)
		return
	}
	go p.copy(worker, conn)
	p.copy(conn, worker)
}

// copy forwards one direction of a connection, and closes both ends at its end.
func (p *proxy) copy(to, from net.Conn) {
	io.Copy(to, from)
	to.Close()
	from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, to)
	delete(p.conns, from)
}

// close refuses new connections and resets the open ones.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	for conn := range p.conns {
		abort(conn)
		delete(p.conns, conn)
	}
}

// abort closes a connection so that the peer gets a TCP reset.
func abort(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	conn.Close()
}
