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

// evenly calls f at a rate for the length of a measurement, each call on its
// own.
func evenly(rate float64, f func(i int)) func() {
	return func() {
		begun := time.Now()
		var wg sync.WaitGroup
		for i := range int(rate * length.Seconds()) {
			time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
			wg.Go(func() { f(i) })
		}
		wg.Wait()
	}
}

func changes(program, client string) (series, error) {
	s := series{title: "Changes of configuration, 6 daemons", unit: "changes/s", target: targetChanges}
	w, closeWorld, err := up(program, client, 6, 48)
	if err != nil {
		return s, err
	}
	defer closeWorld()
	httpClient, closeClient := control.NewClient(world.ControlToken, nil)
	defer closeClient()
	operator := rpc.NewOperatorProtobufClient("http://"+w.Daemons[0].Control, httpClient)
	failed := 0
	for _, rate := range []float64{0, 1, 3, 6, 12} {
		edit := func(i int) {
			if err := editOnce(operator, i); err != nil {
				failed++
			}
		}
		s.add(rate, load.MeasureCost(w, length, evenly(rate, edit)))
	}
	delays, err := timeToForce(w, operator)
	if err != nil {
		return s, err
	}
	s.extra = append(s.extra, fmt.Sprintf("edits refused: %d; in force at all 6 daemons after p50 %v, most %v (%d edits)",
		failed, delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond), len(delays)))
	return s, nil
}

func editOnce(operator rpc.Operator, i int) error {
	_, err := operator.TreeEdit(context.Background(), &rpc.TreeEditRequest{
		Id:           uuid.NewString(),
		Who:          "slopes",
		BaseRevision: 1 << 62,
		Changes:      []*rpc.FieldChange{{Path: "/nile-1", Field: "queue", ValueJson: fmt.Appendf(nil, "%d", i+1)}},
	})
	return err
}

// timeToForce measures how long accepted edits take until every daemon has
// them, counted from the acceptance.
func timeToForce(w *world.World, operator rpc.Operator) ([]time.Duration, error) {
	var delays []time.Duration
	for i := range 20 {
		if err := editOnce(operator, 100+i); err != nil {
			return nil, err
		}
		accepted := time.Now()
		want := revisionOf(w.Daemons[0])
		for _, d := range w.Daemons {
			if err := world.Wait("revision", func() bool { return revisionOf(d) >= want }); err != nil {
				return nil, err
			}
		}
		delays = append(delays, time.Since(accepted))
	}
	slices.Sort(delays)
	return delays, nil
}

func revisionOf(d *world.Daemon) float64 { return load.DaemonMetric(d, "pointpass_settings_revision") }

func requests(program, client string) (series, error) {
	return traffic(program, client, "Requests that may be repeated, to plain services, 3 daemons", "question", false)
}

func claimed(program, client string) (series, error) {
	return traffic(program, client, "Requests that may not be repeated, to plain services, 3 daemons", "score", true)
}

func traffic(program, client, title, kind string, keyed bool) (series, error) {
	s := series{title: title, unit: "requests/s each", target: targetRequests / targetDaemons}
	w, closeWorld, err := up(program, client, 3, 48)
	if err != nil {
		return s, err
	}
	defer closeWorld()
	httpClient := ask.NewClient()
	var mu sync.Mutex
	wrong := 0
	for _, rate := range []float64{30, 150, 600, 1500} {
		send := func(i int) {
			if !askOnce(w, httpClient, i, kind, keyed) {
				mu.Lock()
				defer mu.Unlock()
				wrong++
			}
		}
		s.add(rate/3, load.MeasureCost(w, length, evenly(rate, send)))
	}
	kept := load.SumMetric(w, "pointpass_claims")
	s.extra = append(s.extra, fmt.Sprintf("not answered whole: %d; keys remembered by all daemons: %.0f; doubled: %d", wrong, kept, len(w.Record.Doubled())))
	return s, nil
}

func askOnce(w *world.World, client *http.Client, i int, kind string, keyed bool) bool {
	req := ask.Request{
		Addr:     w.Daemons[i%len(w.Daemons)].Callers,
		Key:      world.Key("nile-1"),
		Service:  "table-app",
		Kind:     kind,
		Path:     "/scores",
		Question: fmt.Sprint(i),
	}
	if keyed {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	return ask.Do(context.Background(), client, req).Whole
}
