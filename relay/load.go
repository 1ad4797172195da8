package relay

import (
	"context"
	"math"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/throttle"
)

// LoadReport is a report of load from one daemon to another.
type LoadReport struct {
	// Sum is the work that clients request.
	Sum load.Sum
	// Limits are the rate limits that workers set.
	Limits []throttle.Limit
}

// Load handles a daemon's report of the work that its clients request, and returns the sum
// over all daemons.
func (s *Server) Load(_ context.Context, m *rpc.LoadRequest) (*rpc.LoadReply, error) {
	if err := checkNames(m.Reporter); err != nil {
		return nil, err
	}
	now := s.now()
	reported := load.Sum{Offered: offeredFromProto(m.Models), Daemons: max(int(m.Daemons), 0), At: now}
	total := s.handler.Load(m.Reporter, LoadReport{Sum: reported, Limits: limitsFromProto(m.Limits, now)})
	return &rpc.LoadReply{
		Models:  offeredToProto(total.Sum.Offered),
		Daemons: int32(total.Sum.Daemons),
		AgeUs:   max(now.Sub(total.Sum.At), 0).Microseconds(),
		Hall:    offeredToProto(total.Sum.Hall),
		Limits:  limitsToProto(total.Limits, now),
	}, nil
}

// Load reports the work that reporter's clients request to another daemon, and returns that
// daemon's sum over all daemons. Ages count from when this call was sent.
func (c *Client) Load(ctx context.Context, addr, reporter string, r LoadReport) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	sent := c.now()
	reply, err := c.stub(addr).Load(ctx, &rpc.LoadRequest{
		Reporter: reporter,
		Models:   offeredToProto(r.Sum.Offered),
		Daemons:  int32(r.Sum.Daemons),
		Limits:   limitsToProto(r.Limits, sent),
	})
	if err != nil {
		return LoadReport{}, &CallError{Addr: addr, Err: err}
	}
	total := load.Sum{
		Offered: offeredFromProto(reply.Models),
		Daemons: max(int(reply.Daemons), 0),
		At:      sent.Add(-age(reply.AgeUs)),
	}
	if len(reply.Hall) > 0 {
		total.Hall = offeredFromProto(reply.Hall)
	}
	return LoadReport{Sum: total, Limits: limitsFromProto(reply.Limits, sent)}, nil
}

// age returns an age in a message. What another daemon has observed is never in the future.
func age(us int64) time.Duration { return max(units.Micros(us), 0) }

// limitsFromProto converts limits, whose ages count from now, and leaves out impossible ones.
func limitsFromProto(limits []*rpc.WorkerLimit, now time.Time) []throttle.Limit {
	var list []throttle.Limit
	for _, l := range limits {
		if len(l.Worker) > maxKeyBytes {
			continue
		}
		if len(list) == maxReportedLimits {
			break
		}
		if !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
			continue
		}
		list = append(list, throttle.Limit{
			Worker: l.Worker, StartMs: l.Born, Rate: l.Rate, Ended: l.Ended,
			At: now.Add(-age(l.AgeUs)),
		})
	}
	return list
}

func limitsToProto(limits []throttle.Limit, now time.Time) []*rpc.WorkerLimit {
	var list []*rpc.WorkerLimit
	for _, l := range limits {
		list = append(list, &rpc.WorkerLimit{
			Worker: l.Worker, Born: l.StartMs, Rate: l.Rate, Ended: l.Ended,
			AgeUs: max(now.Sub(l.At), 0).Microseconds(),
		})
	}
	return list
}

func offeredFromProto(models []*rpc.ModelLoad) load.Offered {
	offered := load.Offered{}
	for _, m := range models {
		if modelBytes(m) > maxModelBytes {
			continue
		}
		if len(offered) == maxReportedModels {
			break
		}
		offered[load.Model{Service: m.Service, Name: m.Model, Regions: catalog.NewRegionSet(m.Regions)}] += units.Amount(m.Offered)
	}
	return offered
}

func modelBytes(m *rpc.ModelLoad) int {
	n := len(m.Service) + len(m.Model)
	for _, region := range m.Regions {
		n += len(region) + 1
	}
	return n
}

func offeredToProto(offered load.Offered) []*rpc.ModelLoad {
	var models []*rpc.ModelLoad
	for m, work := range offered {
		models = append(models, &rpc.ModelLoad{Service: m.Service, Model: m.Name, Offered: work, Regions: m.Regions.Names()})
	}
	return models
}
