package relay

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/rpc"
)

const (
	// enlistTimeout bounds a call to have a daemon's row written. The receiver batches rows
	// for 150 ms, and a transaction queues for up to a second.
	enlistTimeout = 1500 * time.Millisecond
	// maxNameBytes and maxRowBytes bound a daemon's name and row.
	maxNameBytes = 180
	maxRowBytes  = 4 << 10
)

// Enlist writes the row that announces another daemon.
func (s *Server) Enlist(ctx context.Context, m *rpc.EnlistRequest) (*rpc.EnlistReply, error) {
	if m.Name == "" || len(m.Name) > maxNameBytes || len(m.Value) > maxRowBytes {
		return nil, twirp.InvalidArgumentError("name", "or row too long")
	}
	if err := s.handler.Enlist(ctx, m.Name, m.Value); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &rpc.EnlistReply{}, nil
}

// Enlist has another daemon write the row that announces this one.
func (c *Client) Enlist(ctx context.Context, addr, name string, row []byte) error {
	ctx, cancel := context.WithTimeout(ctx, enlistTimeout)
	defer cancel()
	if _, err := c.stub(addr).Enlist(ctx, &rpc.EnlistRequest{Name: name, Value: row}); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}
