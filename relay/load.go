package relay

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/throttle"
)

// LoadReport is what one daemon tells another about load.
type LoadReport struct {
	// Sum is what callers ask for.
	Sum load.Sum
	// Limits are those that workers name.
	Limits []throttle.Limit
}

// Load takes in what a daemon is asked for, and answers with the sum over all.
func (s *Server) Load(_ context.Context, m *rpc.LoadRequest) (*rpc.LoadReply, error) {
	now := s.now()
	told := load.Sum{Offered: offeredOf(m.Models), Daemons: int(m.Daemons), At: now}
	all := s.reports.Load(m.Reporter, LoadReport{Sum: told, Limits: limitsOf(m.Limits, now)})
	return &rpc.LoadReply{
		Models:  modelLoads(all.Sum.Offered),
		Daemons: int32(all.Sum.Daemons),
		AgeUs:   max(now.Sub(all.Sum.At), 0).Microseconds(),
		Hall:    modelLoads(all.Sum.Hall),
		Limits:  workerLimits(all.Limits, now),
	}, nil
}

// Load tells another daemon what reporter is asked for, and returns the sum over all as
// it is known there. It is dated by when this call was sent.
func (c *Client) Load(ctx context.Context, addr, reporter string, r LoadReport) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	sent := c.now()
	reply, err := c.stub(addr).Load(ctx, &rpc.LoadRequest{
		Reporter: reporter,
		Models:   modelLoads(r.Sum.Offered),
		Daemons:  int32(r.Sum.Daemons),
		Limits:   workerLimits(r.Limits, sent),
	})
	if err != nil {
		return LoadReport{}, &CallError{Addr: addr, Err: err}
	}
	all := load.Sum{
		Offered: offeredOf(reply.Models),
		Daemons: int(reply.Daemons),
		At:      sent.Add(-time.Duration(reply.AgeUs) * time.Microsecond),
	}
	if len(reply.Hall) > 0 {
		all.Hall = offeredOf(reply.Hall)
	}
	return LoadReport{Sum: all, Limits: limitsOf(reply.Limits, sent)}, nil
}

// limitsOf returns limits whose ages count from a moment.
func limitsOf(limits []*rpc.WorkerLimit, now time.Time) []throttle.Limit {
	var list []throttle.Limit
	for _, l := range limits {
		list = append(list, throttle.Limit{
			Worker: l.Worker, Born: l.Born, Rate: l.Rate, Ended: l.Ended,
			At: now.Add(-time.Duration(l.AgeUs) * time.Microsecond),
		})
	}
	return list
}

func workerLimits(limits []throttle.Limit, now time.Time) []*rpc.WorkerLimit {
	var list []*rpc.WorkerLimit
	for _, l := range limits {
		list = append(list, &rpc.WorkerLimit{
			Worker: l.Worker, Born: l.Born, Rate: l.Rate, Ended: l.Ended,
			AgeUs: max(now.Sub(l.At), 0).Microseconds(),
		})
	}
	return list
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
