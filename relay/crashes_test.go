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

// taker keeps the crashes that it is told of.
type taker struct{ told []CrashReport }

func (k *taker) Suspect(Report)                               {}
func (k *taker) Begun()                                       {}
func (k *taker) Load(_ string, r LoadReport) LoadReport       { return r }
func (k *taker) Enlist(context.Context, string, []byte) error { return nil }
func (k *taker) Crashes(r CrashReport)                        { k.told = append(k.told, r) }

// TestCrashes_ArriveAsTheyWereSeen, dated by the clock of the daemon that takes them, which
// is ahead of the other's.
func TestCrashes_ArriveAsTheyWereSeen(t *testing.T) {
	const ahead = 40 * time.Second
	k := &taker{}
	server := httptest.NewServer(rpc.NewRelayServer(NewServer(k, func() time.Time { return time.Now().Add(ahead) })))
	t.Cleanup(server.Close)
	c := newTestClient(t, time.Now)
	seen := time.Now().Add(-3 * time.Second)
	runs := []quarantine.Run{
		{Fingerprint: quarantine.Fingerprint{1}, Stage: quarantine.Queued},
		{Fingerprint: quarantine.Fingerprint{2}, Stage: quarantine.Begun, Again: true},
		{Fingerprint: quarantine.Fingerprint{3}, Stage: quarantine.Producing},
	}
	must.NoError(t, c.Crashes(t.Context(), strings.TrimPrefix(server.URL, "http://"), CrashReport{
		Reporter: "e1",
		Crashes:  []quarantine.Crash{{Worker: "w", Reporter: "e1", At: seen, Runs: runs}},
		Finished: []quarantine.Fingerprint{{4}},
	}))
	must.SliceLen(t, 1, k.told)
	told := k.told[0]
	must.EqOp(t, "e1", told.Reporter)
	must.Eq(t, []quarantine.Fingerprint{{4}}, told.Finished)
	must.SliceLen(t, 1, told.Crashes)
	must.Eq(t, runs, told.Crashes[0].Runs)
	must.Less(t, time.Second, told.Crashes[0].At.Sub(seen.Add(ahead)).Abs())
}

// TestCrashes_WhatIsNoFingerprintIsLeftOut: a daemon of another version may tell it.
func TestCrashes_WhatIsNoFingerprintIsLeftOut(t *testing.T) {
	k := &taker{}
	s := NewServer(k, time.Now)
	whole := quarantine.Fingerprint{1}
	_, err := s.Crashes(t.Context(), &rpc.CrashesRequest{
		Crashes:  []*rpc.WorkerCrash{{Worker: "w", Runs: []*rpc.LostRun{{Fingerprint: []byte("short")}, {Fingerprint: whole[:], Stage: 77}}}},
		Finished: [][]byte{nil, whole[:]},
	})
	must.NoError(t, err)
	must.Eq(t, []quarantine.Run{{Fingerprint: whole}}, k.told[0].Crashes[0].Runs)
	must.Eq(t, []quarantine.Fingerprint{whole}, k.told[0].Finished)
}
