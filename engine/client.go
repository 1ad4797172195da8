// Package engine is the client of the model engines and plain services on endpoint
// VMs. No other package depends on their protocol.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pointpass/pointpass/common/conns"
	"github.com/pointpass/pointpass/common/meter"
)

// Role is the role of an endpoint in its group, if it belongs to one.
type Role string

const (
	// Idle engines belong to no group.
	Idle Role = "idle"
	// Loading engines load a model to serve in a group.
	Loading Role = "loading"
	// Ready engines are loaded and joined to their group.
	Ready Role = "ready"
	// Draining engines finish their requests and accept no new ones.
	Draining Role = "draining"
	// Plain endpoints run a plain service and join no group.
	Plain Role = "plain"
)

// Status is the state that an endpoint reports.
type Status struct {
	VM      string `json:"vm"`
	Boot    string `json:"boot"`
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Role    Role   `json:"role"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// Order is a command to an engine to load a model, to leave its group or to change its role.
type Order struct {
	Role    Role     `json:"role"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

const maxResponseBytes = 64 << 10

// Client sends orders to endpoints and queries their state.
type Client struct {
	http *http.Client
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient(dial meter.DialFunc) (*Client, func()) {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{http: &http.Client{Transport: conns.Checked(transport)}}, transport.CloseIdleConnections
}

// Status queries the state of an endpoint.
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

// Order sends an order and returns once the engine has accepted it.
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

func (c *Client) do(r *http.Request, addr string, result any) error {
	resp, err := c.http.Do(r)
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &CallError{addr: addr, err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return &CallError{addr: addr, status: resp.StatusCode, err: fmt.Errorf("%.200s", body)}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &CallError{addr: addr, err: err}
	}
	return nil
}

// CallError reports that a call to an endpoint failed or was refused.
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

// Status returns the HTTP status of a refusal, 0 if the call failed in another way.
func (e *CallError) Status() int { return e.status }
