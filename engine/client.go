// Package engine is the adapter to the model engines and plain services on
// endpoint VMs. All that it knows of their protocol stays in this package.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/common/meter"
)

// Role is what an engine is doing.
type Role string

const (
	// Idle engines belong to no group.
	Idle Role = "idle"
	// Loading engines are on their way to serving in a group.
	Loading Role = "loading"
	// Ready engines are loaded and joined to their group.
	Ready Role = "ready"
	// Draining engines finish what they have and take nothing new.
	Draining Role = "draining"
	// Plain endpoints run a plain service and join no group.
	Plain Role = "plain"
)

// Status is what an endpoint says of itself.
type Status struct {
	VM      string `json:"vm"`
	Boot    string `json:"boot"`
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Role    Role   `json:"role"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// Order tells an engine to load, to leave or to change its role in a group.
type Order struct {
	Role    Role     `json:"role"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

const maxStatus = 64 << 10

// Client gives orders to endpoints and asks for their state.
type Client struct {
	http *http.Client
}

// NewClient returns a client and a function that frees its connections.
func NewClient(dial meter.Dial) (*Client, func()) {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	return &Client{http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Status asks an endpoint for its state.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/engine/status", nil)
	if err != nil {
		return Status{}, &CallError{addr: addr, err: err}
	}
	var status Status
	if err := c.do(r, addr, &status); err != nil {
		return Status{}, err
	}
	return status, nil
}

// Order gives an order and returns once the engine has taken it.
func (c *Client) Order(ctx context.Context, addr string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/engine/order", bytes.NewReader(body))
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	r.GetBody = nil
	return c.do(r, addr, nil)
}

func (c *Client) do(r *http.Request, addr string, into any) error {
	resp, err := c.http.Do(r)
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatus))
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return &CallError{addr: addr, status: resp.StatusCode, err: fmt.Errorf("%.200s", body)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &CallError{addr: addr, err: err}
	}
	return nil
}

// CallError says that an endpoint could not be asked or refused.
type CallError struct {
	addr   string
	status int
	err    error
}

// Error names the endpoint.
func (e *CallError) Error() string {
	if e.status != 0 {
		return fmt.Sprintf("engine %s: status %d: %v", e.addr, e.status, e.err)
	}
	return fmt.Sprintf("engine %s: %v", e.addr, e.err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.err }

// Status returns the HTTP status of a refusal, 0 if there was no answer.
func (e *CallError) Status() int { return e.status }
