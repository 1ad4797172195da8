package relay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/rpc"
)

// crashRecorder records crash reports.
type crashRecorder struct{ reports []CrashReport }

func (k *crashRecorder) Suspect(Report)                               {}
func (k *crashRecorder) Begun()                                       {}
func (k *crashRecorder) Load(_ string, r LoadReport) LoadReport       { return r }
func (k *crashRecorder) Enlist(context.Context, string, []byte) error { return nil }
func (k *crashRecorder) Crashes(r CrashReport)                        { k.reports = append(k.reports, r) }

// Guards against crashes losing data or getting a wrong time on the way. The receiver's
// clock is ahead of the sender's.
func TestCrashes_RoundTrip(t *testing.T) {
	const ahead = 40 * time.Second
	k := &crashRecorder{}
	server := httptest.NewServer(rpc.NewRelayServer(NewServer(k, func() time.Time { return time.Now().Add(ahead) })))
	t.Cleanup(server.Close)
	c := newTestClient(t, time.Now)
	seen := time.Now().Add(-3 * time.Second)
	runs := []quarantine.LostRequest{
		{Fingerprint: quarantine.Fingerprint{1}, Stage: quarantine.Queued},
		{Fingerprint: quarantine.Fingerprint{2}, Stage: quarantine.Begun, Resent: true, Parts: []quarantine.Fingerprint{{5}, {6}}},
		{Fingerprint: quarantine.Fingerprint{3}, Stage: quarantine.Producing},
		{Fingerprint: quarantine.Fingerprint{4}, Stage: quarantine.Settled},
	}
	must.NoError(t, c.Crashes(t.Context(), strings.TrimPrefix(server.URL, "http://"), CrashReport{
		Reporter: "e1",
		Crashes:  []quarantine.Crash{{Worker: "w", Reporter: "e1", At: seen, LostRequests: runs}},
		Finished: []quarantine.Fingerprint{{4}},
		Outputs:  []quarantine.Output{{Part: quarantine.Fingerprint{7}, At: seen, Completed: true}},
	}))
	must.SliceLen(t, 1, k.reports)
	got := k.reports[0]
	must.EqOp(t, "e1", got.Reporter)
	must.Eq(t, []quarantine.Fingerprint{{4}}, got.Finished)
	must.SliceLen(t, 1, got.Outputs)
	must.EqOp(t, quarantine.Fingerprint{7}, got.Outputs[0].Part)
	must.True(t, got.Outputs[0].Completed)
	must.Less(t, time.Second, got.Outputs[0].At.Sub(seen.Add(ahead)).Abs())
	must.SliceLen(t, 1, got.Crashes)
	must.Eq(t, runs, got.Crashes[0].LostRequests)
	must.Less(t, time.Second, got.Crashes[0].At.Sub(seen.Add(ahead)).Abs())
}

// Guards against reading an invalid fingerprint, which a daemon of another version may
// send.
func TestCrashes_SkipsInvalidFingerprints(t *testing.T) {
	k := &crashRecorder{}
	s := NewServer(k, time.Now)
	valid := quarantine.Fingerprint{1}
	_, err := s.Crashes(t.Context(), &rpc.CrashesRequest{
		Crashes:  []*rpc.WorkerCrash{{Worker: "w", Runs: []*rpc.LostRun{{Fingerprint: []byte("short")}, {Fingerprint: valid[:], Stage: 77, Parts: [][]byte{[]byte("a prompt"), valid[:]}}}}},
		Finished: [][]byte{nil, valid[:]},
		Outputs:  []*rpc.PartOutput{{Part: []byte("a prompt")}, {Part: valid[:]}},
	})
	must.NoError(t, err)
	must.Eq(t, []quarantine.LostRequest{{Fingerprint: valid, Parts: []quarantine.Fingerprint{valid}}}, k.reports[0].Crashes[0].LostRequests)
	must.Eq(t, []quarantine.Fingerprint{valid}, k.reports[0].Finished)
	must.SliceLen(t, 1, k.reports[0].Outputs)
}
