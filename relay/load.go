package relay

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/rpc"
)

// Load takes in what a daemon is asked for, and answers with the sum over all.
func (s *Server) Load(_ context.Context, m *rpc.LoadRequest) (*rpc.LoadReply, error) {
	now := s.now()
	told := load.Sum{Offered: offeredOf(m.Models), Daemons: int(m.Daemons), At: now}
	total := s.reports.Load(m.Reporter, told)
	return &rpc.LoadReply{
		Models:  modelLoads(total.Offered),
		Daemons: int32(total.Daemons),
		AgeUs:   max(now.Sub(total.At), 0).Microseconds(),
		Hall:    modelLoads(total.Hall),
	}, nil
}

// Load tells another daemon what reporter is asked for, and returns the sum over all as
// it is known there. It is dated by when this call was sent.
func (c *Client) Load(ctx context.Context, addr, reporter string, s load.Sum) (load.Sum, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := c.now()
	reply, err := c.stub(addr).Load(ctx, &rpc.LoadRequest{Reporter: reporter, Models: modelLoads(s.Offered), Daemons: int32(s.Daemons)})
	if err != nil {
		return load.Sum{}, &CallError{Addr: addr, Err: err}
	}
	all := load.Sum{
		Offered: offeredOf(reply.Models),
		Daemons: int(reply.Daemons),
		At:      sent.Add(-time.Duration(reply.AgeUs) * time.Microsecond),
	}
	if len(reply.Hall) > 0 {
		all.Hall = offeredOf(reply.Hall)
	}
	return all, nil
}

func offeredOf(models []*rpc.ModelLoad) load.Offered {
	offered := load.Offered{}
	for _, m := range models {
		offered[load.Model{Service: m.Service, Name: m.Model, Regions: catalog.NewRegionSet(m.Regions)}] += m.Offered
	}
	return offered
}

func modelLoads(offered load.Offered) []*rpc.ModelLoad {
	var models []*rpc.ModelLoad
	for m, work := range offered {
		models = append(models, &rpc.ModelLoad{Service: m.Service, Model: m.Name, Offered: work, Regions: m.Regions.Names()})
	}
	return models
}
