package relay

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/rpc"
)

// CrashReport holds a daemon's observations of requests that crash workers.
type CrashReport struct {
	Reporter string
	Crashes  []quarantine.Crash
	// Finished are held requests that have completed successfully at the daemon before.
	Finished []quarantine.Fingerprint
}

// Crashes handles a report of worker crashes at another daemon.
func (s *Server) Crashes(_ context.Context, m *rpc.CrashesRequest) (*rpc.CrashesReply, error) {
	now := s.now()
	report := CrashReport{Reporter: m.Reporter}
	for _, c := range m.Crashes {
		crash := quarantine.Crash{Worker: c.Worker, Reporter: m.Reporter, At: now.Add(-time.Duration(c.AgeUs) * time.Microsecond)}
		for _, run := range c.Runs {
			if f, ok := quarantine.FromBytes(run.Fingerprint); ok {
				crash.LostRequests = append(crash.LostRequests, quarantine.LostRequest{Fingerprint: f, Stage: stageFromProto(run.Stage), Resent: run.Again})
			}
		}
		report.Crashes = append(report.Crashes, crash)
	}
	for _, data := range m.Finished {
		if f, ok := quarantine.FromBytes(data); ok {
			report.Finished = append(report.Finished, f)
		}
	}
	s.handler.Crashes(report)
	return &rpc.CrashesReply{}, nil
}

// Crashes reports worker crashes to another daemon.
func (c *Client) Crashes(ctx context.Context, addr string, r CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, c.reportTimeout)
	defer cancel()
	now := c.now()
	m := &rpc.CrashesRequest{Reporter: r.Reporter}
	for _, crash := range r.Crashes {
		workerCrash := &rpc.WorkerCrash{Worker: crash.Worker, AgeUs: now.Sub(crash.At).Microseconds()}
		for _, run := range crash.LostRequests {
			workerCrash.Runs = append(workerCrash.Runs, &rpc.LostRun{Fingerprint: run.Fingerprint[:], Stage: stageToProto(run.Stage), Again: run.Resent})
		}
		m.Crashes = append(m.Crashes, workerCrash)
	}
	for _, f := range r.Finished {
		m.Finished = append(m.Finished, f[:])
	}
	if _, err := c.stub(addr).Crashes(ctx, m); err != nil {
		return &CallError{Addr: addr, Err: err}
	}
	return nil
}

func stageFromProto(s rpc.RunStage) quarantine.Stage {
	switch s {
	case rpc.RunStage_RUN_BEGUN:
		return quarantine.Begun
	case rpc.RunStage_PRODUCING:
		return quarantine.Producing
	}
	return quarantine.Queued
}

func stageToProto(s quarantine.Stage) rpc.RunStage {
	switch s {
	case quarantine.Begun:
		return rpc.RunStage_RUN_BEGUN
	case quarantine.Producing:
		return rpc.RunStage_PRODUCING
	}
	return rpc.RunStage_QUEUED
}
