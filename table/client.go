// Package table is the adapter to the platform's table service and VM list. It contains
// all knowledge of their protocol.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pointpass/pointpass/common/conns"
	"github.com/pointpass/pointpass/common/meter"
	"github.com/pointpass/pointpass/fleet"
)

// maxReplyBytes is the maximum number of bytes read of one reply.
const maxReplyBytes = 64 << 20

// Client is an HTTP client of the platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at an IP address and port, and a function
// that closes its idle connections. timeout limits each call.
func NewClient(addr string, timeout time.Duration, dial meter.DialFunc) (*Client, func()) {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	c := &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: conns.Checked(transport), Timeout: timeout},
	}
	return c, transport.CloseIdleConnections
}

// Commit applies a transaction atomically. It returns the table's version after the
// commit, or a *ConflictError if a check failed.
func (c *Client) Commit(ctx context.Context, txn Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, &RequestError{op: "commit", err: err}
	}
	status, reply, err := c.call(ctx, http.MethodPost, "/v1/table/commit", body)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		var ok struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(reply, &ok); err != nil {
			return 0, &UnavailableError{op: "commit", err: err, mayHaveRun: true}
		}
		return ok.Version, nil
	case http.StatusConflict:
		var conflict struct {
			Rows []Row `json:"rows"`
		}
		if err := json.Unmarshal(reply, &conflict); err != nil {
			return 0, &UnavailableError{op: "commit", err: err}
		}
		return 0, &ConflictError{rows: conflict.Rows}
	}
	return 0, statusError("commit", status, reply)
}

// Scan returns the rows under any of the prefixes that changed after a version
// of the table, including removed rows, in one consistent snapshot.
func (c *Client) Scan(ctx context.Context, after uint64, prefixes ...string) (Changes, error) {
	query := url.Values{"prefix": prefixes}
	query.Set("after", strconv.FormatUint(after, 10))
	return c.scan(ctx, query)
}

// Last returns the last rows under a prefix, at most limit of them, sorted by key.
func (c *Client) Last(ctx context.Context, prefix string, limit int) (Changes, error) {
	query := url.Values{"prefix": {prefix}}
	query.Set("last", strconv.Itoa(limit))
	return c.scan(ctx, query)
}

func (c *Client) scan(ctx context.Context, query url.Values) (Changes, error) {
	status, reply, err := c.call(ctx, http.MethodGet, "/v1/table/scan?"+query.Encode(), nil)
	if err != nil {
		return Changes{}, err
	}
	if status != http.StatusOK {
		return Changes{}, statusError("scan", status, reply)
	}
	var wire struct {
		Version uint64 `json:"version"`
		Rows    []Row  `json:"rows"`
	}
	if err := json.Unmarshal(reply, &wire); err != nil {
		return Changes{}, &UnavailableError{op: "scan", err: err}
	}
	return Changes{version: wire.Version, rows: wire.Rows}, nil
}

// VMs returns the VMs whose entry in the platform's list changed after a
// version of that list, and the list's version.
func (c *Client) VMs(ctx context.Context, after uint64) ([]fleet.VM, uint64, error) {
	path := "/v1/vms?after=" + strconv.FormatUint(after, 10)
	status, reply, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, 0, err
	}
	if status != http.StatusOK {
		return nil, 0, statusError("vms", status, reply)
	}
	var wire struct {
		Version uint64   `json:"version"`
		VMs     []wireVM `json:"vms"`
	}
	if err := json.Unmarshal(reply, &wire); err != nil {
		return nil, 0, &UnavailableError{op: "vms", err: err}
	}
	vms := make([]fleet.VM, 0, len(wire.VMs))
	for _, vm := range wire.VMs {
		vms = append(vms, fleet.NewVM(vm.ID, vm.Addr, vm.Hall, vm.Domain, vm.Pool, fleet.State(vm.State)))
	}
	return vms, wire.Version, nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &RequestError{op: path, err: err}
	}
	r.GetBody = nil
	resp, err := c.http.Do(r)
	write := method != http.MethodGet
	if err != nil {
		return 0, nil, &UnavailableError{op: path, err: err, mayHaveRun: write}
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, &UnavailableError{op: path, err: err, mayHaveRun: write}
	}
	return resp.StatusCode, reply, nil
}

func statusError(op string, status int, reply []byte) error {
	return &UnavailableError{op: op, err: fmt.Errorf("status %d: %.200s", status, reply)}
}
