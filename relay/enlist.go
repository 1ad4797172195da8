package relay

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/rpc"
)

const (
	// enlistTimeout bounds a call that has a daemon's row written: rows gather for 150 ms, and
	// a transaction waits for a second at most behind others.
	enlistTimeout = 1500 * time.Millisecond
	// mostName and mostAnnounced bound a daemon's name and row, in bytes.
	mostName      = 180
	mostAnnounced = 4 << 10
)

// Enlist writes the row by which another daemon announces itself.
func (s *Server) Enlist(ctx context.Context, m *rpc.EnlistRequest) (*rpc.EnlistReply, error) {
	if m.Name == "" || len(m.Name) > mostName || len(m.Value) > mostAnnounced {
		return nil, twirp.InvalidArgumentError("name", "or row too long")
	}
	if err := s.reports.Enlist(ctx, m.Name, m.Value); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &rpc.EnlistReply{}, nil
}

// Enlist has another daemon write the row by which a daemon announces itself.
func (c *Client) Enlist(ctx context.Context, addr, name string, row []byte) error {
	ctx, cancel := context.WithTimeout(ctx, enlistTimeout)
	defer cancel()
	if _, err := c.stub(addr).Enlist(ctx, &rpc.EnlistRequest{Name: name, Value: row}); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}
