package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "games.example"
	// The prefixes of two routes: streams of the first may be resumed, those of the second not.
	resumable = "/ask/"
	once      = "/once/"
	key       = "key-1"
	deadline  = 8 * time.Second
)

var attempts atomic.Int64

// client is a caller that keeps one connection.
type client struct {
	addr, path string
	record     *record
	transport  *http.Transport
}

func newClient(addr, path string, r *record) *client {
	return &client{addr: addr, path: path, record: r, transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// result is what a caller saw of one request.
type result struct {
	id string
	// status is 0 if no answer came. events is how many events came, in order.
	status, events int
	// complete is set if the answer ended as the protocol says.
	complete bool
	// reused is set if the request went out on a connection that was used before.
	reused bool
	err    error
	took   time.Duration
}

// ask sends a request for a stream with a number of events and reads the answer.
func (c *client) ask(name string, events int) result {
	res := result{id: fmt.Sprintf("%016x", attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { res.reused = i.Reused }}
	body := "question " + res.id
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+c.addr+c.path+"q", strings.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	req.Host = host
	h := wire.Header
	req.Header.Set(h["attempt"], res.id)
	req.Header.Set(h["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set(h["model"], name)
	req.Header.Set(h["tokens"], fmt.Sprintf("1420,%d", events*tokensPerEvent))
	req.Header.Set(h["parts"], "5c1e07a2:40,"+res.id+":1380")
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	c.record.add("client sends %s to %s%s for %d events", res.id, c.addr, c.path, events)
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		res.status = resp.StatusCode
		res.events, err = readEvents(resp.Body, res.id)
		resp.Body.Close()
		res.complete = err == nil
	}
	res.err = err
	res.took = time.Since(start)
	c.record.add("client gets %s: status %d, %d events, complete %t, on a kept connection %t, after %.3f s, error %v", res.id, res.status, res.events, res.complete, res.reused, res.took.Seconds(), err)
	return res
}

// readEvents reads a stream to its end and returns how many events came in order.
func readEvents(body io.Reader, id string) (int, error) {
	n := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if lines.Text() == fmt.Sprintf("data: %s-%d", id, n+1) {
			n++
		}
	}
	return n, lines.Err()
}
