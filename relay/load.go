package relay

import (
	"context"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/rpc"
)

// Load takes in what callers ask for at a daemon and at those that tell it. It is dated
// by when this call arrived: the caller's own clock may differ.
func (s *Server) Load(_ context.Context, m *rpc.LoadRequest) (*rpc.LoadReply, error) {
	offered := load.Offered{}
	for _, l := range m.Models {
		m := load.Model{Service: l.Service, Name: l.Model, Regions: catalog.NewRegionSet(l.Regions)}
		offered[m] += l.Offered
	}
	s.reports.Load(m.Reporter, load.Sum{Offered: offered, Daemons: int(m.Daemons), At: s.now()})
	return &rpc.LoadReply{}, nil
}

// Load tells another daemon what callers ask for at reporter and those that tell it.
func (c *Client) Load(ctx context.Context, addr, reporter string, sum load.Sum) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &rpc.LoadRequest{Reporter: reporter, Daemons: int32(sum.Daemons)}
	for m, work := range sum.Offered {
		request.Models = append(request.Models, &rpc.ModelLoad{Service: m.Service, Model: m.Name, Offered: work, Regions: m.Regions.Names()})
	}
	if _, err := c.stub(addr).Load(ctx, request); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}
