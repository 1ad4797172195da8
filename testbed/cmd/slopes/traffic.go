package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/common/control"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/load"
	"github.com/pointpass/pointpass/testbed/world"
)

// atRate returns a workload that calls f at a constant rate per second for pointDuration,
// each call in its own goroutine, and waits for all calls to return.
func atRate(rate float64, f func(i int)) func() {
	return func() {
		start := time.Now()
		var wg sync.WaitGroup
		for i := range int(rate * pointDuration.Seconds()) {
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
			wg.Go(func() { f(i) })
		}
		wg.Wait()
	}
}

func measureChanges(program, client string) (series, error) {
	s := series{title: "Changes of configuration, 6 daemons", unit: "changes/s", target: targetChanges}
	w, closeWorld, err := startWorld(program, client, 6, 48)
	if err != nil {
		return s, err
	}
	defer closeWorld()
	httpClient, closeClient := control.NewClient(world.ControlToken, nil)
	defer closeClient()
	operator := rpc.NewOperatorProtobufClient("http://"+w.Daemons[0].ControlAddr, httpClient)
	failed := 0
	for _, rate := range []float64{0, 1, 3, 6, 12} {
		edit := func(i int) {
			if err := sendEdit(operator, i); err != nil {
				failed++
			}
		}
		s.add(rate, load.MeasureCost(w, pointDuration, atRate(rate, edit)))
	}
	delays, err := propagationDelays(w, operator)
	if err != nil {
		return s, err
	}
	s.extra = append(s.extra, fmt.Sprintf("edits rejected: %d; in force at all 6 daemons after p50 %v, max %v (%d edits)",
		failed, delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond), len(delays)))
	return s, nil
}

func sendEdit(operator rpc.Operator, i int) error {
	_, err := operator.TreeEdit(context.Background(), &rpc.TreeEditRequest{
		Id:           uuid.NewString(),
		Who:          "slopes",
		BaseRevision: 1 << 62,
		Changes:      []*rpc.FieldChange{{Path: "/nile-1", Field: "queue", ValueJson: fmt.Appendf(nil, "%d", i+1)}},
	})
	return err
}

// propagationDelays returns, in ascending order, the times from the acceptance of an edit
// until every daemon has applied it.
func propagationDelays(w *world.World, operator rpc.Operator) ([]time.Duration, error) {
	var delays []time.Duration
	for i := range 20 {
		if err := sendEdit(operator, 100+i); err != nil {
			return nil, err
		}
		accepted := time.Now()
		want := settingsRevision(w.Daemons[0])
		for _, d := range w.Daemons {
			if err := world.Wait("revision", func() bool { return settingsRevision(d) >= want }); err != nil {
				return nil, err
			}
		}
		delays = append(delays, time.Since(accepted))
	}
	slices.Sort(delays)
	return delays, nil
}

func settingsRevision(d *world.Daemon) float64 {
	return load.DaemonMetric(d, "pointpass_settings_revision")
}

func measureRequests(program, client string) (series, error) {
	return measureTraffic(program, client, "Requests without idempotency key to plain services, 3 daemons", "question", false)
}

func measureClaims(program, client string) (series, error) {
	return measureTraffic(program, client, "Requests with idempotency key to plain services, 3 daemons", "score", true)
}

func measureTraffic(program, client, title, kind string, withKey bool) (series, error) {
	s := series{title: title, unit: "requests/s per daemon", target: targetRequests / targetDaemons}
	w, closeWorld, err := startWorld(program, client, 3, 48)
	if err != nil {
		return s, err
	}
	defer closeWorld()
	httpClient := ask.NewClient()
	var mu sync.Mutex
	failed := 0
	for _, rate := range []float64{30, 150, 600, 1500} {
		send := func(i int) {
			if !sendRequest(w, httpClient, i, kind, withKey) {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		}
		s.add(rate/3, load.MeasureCost(w, pointDuration, atRate(rate, send)))
	}
	claims := load.SumMetric(w, "pointpass_claims")
	s.extra = append(s.extra, fmt.Sprintf("incomplete answers: %d; idempotency keys kept by all daemons: %.0f; run more than once: %d", failed, claims, len(w.Record.RepeatedKeys())))
	return s, nil
}

func sendRequest(w *world.World, client *http.Client, i int, kind string, withKey bool) bool {
	req := ask.Request{
		Addr:     w.Daemons[i%len(w.Daemons)].CallersAddr,
		APIKey:   world.Key("nile-1"),
		Service:  "table-app",
		Kind:     kind,
		Path:     "/scores",
		Question: fmt.Sprint(i),
	}
	if withKey {
		req.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	return ask.Do(context.Background(), client, req).Complete
}
