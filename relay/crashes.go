package relay

import (
	"context"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/rpc"
)

// CrashReport holds a daemon's observations of requests that crash workers.
type CrashReport struct {
	Reporter string
	Crashes  []quarantine.Crash
	// Finished are held requests that have completed successfully at the daemon before.
	Finished []quarantine.Fingerprint
	// Outputs are when the daemon last saw output on suspected parts of prompts.
	Outputs []quarantine.Output
}

// Empty reports whether the report holds nothing.
func (r CrashReport) Empty() bool { return len(r.Crashes)+len(r.Finished)+len(r.Outputs) == 0 }

// Crashes handles a report of worker crashes at another daemon.
func (s *Server) Crashes(_ context.Context, m *rpc.CrashesRequest) (*rpc.CrashesReply, error) {
	if err := checkNames(m.Reporter); err != nil {
		return nil, err
	}
	now := s.now()
	report := CrashReport{Reporter: m.Reporter}
	for _, c := range m.Crashes {
		if len(c.Worker) > maxKeyBytes {
			continue
		}
		crash := quarantine.Crash{Worker: c.Worker, Reporter: m.Reporter, At: now.Add(-age(c.AgeUs))}
		for _, run := range c.Runs {
			if f, ok := quarantine.FromBytes(run.Fingerprint); ok {
				lost := quarantine.LostRequest{Fingerprint: f, Stage: stageFromProto(run.Stage), Resent: run.Again, Parts: fingerprints(run.Parts)}
				crash.LostRequests = append(crash.LostRequests, lost)
			}
		}
		report.Crashes = append(report.Crashes, crash)
	}
	report.Finished = fingerprints(m.Finished)
	for _, o := range m.Outputs {
		if f, ok := quarantine.FromBytes(o.Part); ok {
			report.Outputs = append(report.Outputs, quarantine.Output{Part: f, At: now.Add(-age(o.AgeUs)), Completed: o.Completed})
		}
	}
	s.handler.Crashes(report)
	return &rpc.CrashesReply{}, nil
}

// fingerprints decodes fingerprints and leaves out malformed ones.
func fingerprints(list [][]byte) []quarantine.Fingerprint {
	var decoded []quarantine.Fingerprint
	for _, data := range list {
		if f, ok := quarantine.FromBytes(data); ok {
			decoded = append(decoded, f)
		}
	}
	return decoded
}

// encode encodes fingerprints.
func encode(list []quarantine.Fingerprint) [][]byte {
	var encoded [][]byte
	for _, f := range list {
		encoded = append(encoded, f[:])
	}
	return encoded
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
			workerCrash.Runs = append(workerCrash.Runs, &rpc.LostRun{Fingerprint: run.Fingerprint[:], Stage: stageToProto(run.Stage), Again: run.Resent, Parts: encode(run.Parts)})
		}
		m.Crashes = append(m.Crashes, workerCrash)
	}
	m.Finished = encode(r.Finished)
	for _, o := range r.Outputs {
		m.Outputs = append(m.Outputs, &rpc.PartOutput{Part: o.Part[:], AgeUs: now.Sub(o.At).Microseconds(), Completed: o.Completed})
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
	case rpc.RunStage_SETTLED:
		return quarantine.Settled
	}
	return quarantine.Queued
}

func stageToProto(s quarantine.Stage) rpc.RunStage {
	switch s {
	case quarantine.Begun:
		return rpc.RunStage_RUN_BEGUN
	case quarantine.Producing:
		return rpc.RunStage_PRODUCING
	case quarantine.Settled:
		return rpc.RunStage_SETTLED
	}
	return rpc.RunStage_QUEUED
}
