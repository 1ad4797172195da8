// Command hop measures the overhead of one pointpassd. It sends requests to a simulated
// engine first directly and then through pointpassd, and prints both latencies, the CPU
// time per request and per relayed token, and the requests per second and core of the
// daemon.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/engine"
	"github.com/pointpass/pointpass/testbed/load"
	"github.com/pointpass/pointpass/testbed/world"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "hop:", err)
		os.Exit(1)
	}
}

func run() error {
	rate := flag.Int("rate", 1000, "requests per second")
	seconds := flag.Int("seconds", 5, "duration of each measurement, in seconds")
	flag.Parse()
	layout := world.NilePawn(4)
	layout.Halls = layout.Halls[:1]
	layout.Settings = strings.Replace(layout.Settings, `"streams": 64`, `"streams": 4096`, 1)
	layout.Settings = strings.Replace(layout.Settings, `"streams": 8`, fmt.Sprintf(`"streams": %d`, maxStreams), 1)
	w, closeWorld, err := world.Start(world.Options{
		Layouts: []world.Layout{layout},
		Daemons: 1,
		Timing:  engine.Timing{Token: time.Millisecond, Prefill: time.Millisecond, CacheLoad: 0, Load: time.Millisecond},
		Limits:  engine.Limits{Streams: maxStreams, Prefixes: 16, Loads: 8},
	})
	if err != nil {
		return err
	}
	defer closeWorld()
	if err := w.WaitGroups("arbiter-lm", 1); err != nil {
		return err
	}
	b := bench{world: w, rate: *rate, length: time.Duration(*seconds) * time.Second, client: ask.NewClient()}
	if err := b.compareCalls(); err != nil {
		return err
	}
	for _, streams := range []int{8, 32, maxStreams} {
		if err := b.measureTokens(streams); err != nil {
			return err
		}
	}
	return nil
}

// maxStreams is the highest number of concurrent streams.
const maxStreams = 128

type bench struct {
	world  *world.World
	rate   int
	length time.Duration
	client *http.Client
}

// route is a path to the engine, direct or through pointpassd, and its results.
type route struct {
	name      string
	url       string
	latencies *hdrhistogram.Histogram
	wrong     int
}

func (b *bench) compareCalls() error {
	plain := b.world.Fabric.Engine("table-app-000")
	routes := []*route{
		{name: "direct", url: "http://" + plain.Addr() + "/scores", latencies: hdrhistogram.New(1, 1e7, 3)},
		{name: "pointpassd", url: "http://" + b.world.Daemons[0].CallersAddr + "/svc/table-app/scores", latencies: hdrhistogram.New(1, 1e7, 3)},
	}
	for _, r := range routes {
		b.sendAtRate(r, time.Second) // warms up the connections
		r.latencies.Reset()
	}
	cpu := load.SumMetric(b.world, "process_cpu_seconds_total")
	requests := 0
	for _, r := range routes {
		requests = b.sendAtRate(r, b.length)
	}
	cpu = load.SumMetric(b.world, "process_cpu_seconds_total") - cpu
	fmt.Printf("%d requests/s to a plain service, %v each way\n", b.rate, b.length)
	fmt.Printf("%-12s %10s %10s %8s\n", "", "p50 ms", "p99 ms", "wrong")
	for _, r := range routes {
		fmt.Printf("%-12s %10.3f %10.3f %8d\n", r.name, percentileMs(r, 50), percentileMs(r, 99), r.wrong)
	}
	fmt.Printf("%-12s %10.3f %10.3f\n", "added", percentileMs(routes[1], 50)-percentileMs(routes[0], 50), percentileMs(routes[1], 99)-percentileMs(routes[0], 99))
	fmt.Printf("CPU time of pointpassd: %.0f us per request, %.0f requests/s per core\n\n", cpu/float64(requests)*1e6, float64(requests)/cpu)
	if routes[0].wrong+routes[1].wrong > 0 {
		return fmt.Errorf("%d wrong answers", routes[0].wrong+routes[1].wrong)
	}
	return nil
}

func percentileMs(r *route, q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1000 }

// sendAtRate sends requests at a constant rate without waiting for answers. It returns
// the number of requests.
func (b *bench) sendAtRate(r *route, length time.Duration) int {
	n := int(length.Seconds() * float64(b.rate))
	start := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(b.rate))))
		wg.Go(func() {
			sent := time.Now()
			ok := b.call(r.url)
			latency := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			r.latencies.RecordValue(latency.Microseconds())
			if !ok {
				r.wrong++
			}
		})
	}
	wg.Wait()
	return n
}

func (b *bench) call(url string) bool {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"move": 1}`)))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+world.Key("nile-1"))
	r.Header.Set("Pointpass-Kind", "question")
	resp, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// measureTokens relays concurrent streams with long answers and prints the daemon's CPU
// time per token.
func (b *bench) measureTokens(streams int) error {
	const tokens = 1000
	cpu := load.SumMetric(b.world, "process_cpu_seconds_total")
	var wg sync.WaitGroup
	var mu sync.Mutex
	relayed := 0
	for i := range streams {
		wg.Go(func() {
			result := ask.Do(context.Background(), b.client, ask.Request{
				Addr:         b.world.Daemons[0].CallersAddr,
				APIKey:       world.Key("nile-1"),
				Service:      "arbiter-lm",
				Kind:         "question",
				Question:     strconv.Itoa(i),
				SystemPrompt: "rules",
				Tokens:       tokens,
				Stream:       true,
				Deadline:     time.Minute,
			})
			mu.Lock()
			defer mu.Unlock()
			if result.Complete {
				relayed += result.Events
			}
		})
	}
	wg.Wait()
	cpu = load.SumMetric(b.world, "process_cpu_seconds_total") - cpu
	if relayed != streams*tokens {
		return fmt.Errorf("relayed %d tokens in complete streams, want %d", relayed, streams*tokens)
	}
	fmt.Printf("%d streams of %d tokens: %.1f us of CPU time per relayed token\n", streams, tokens, cpu/float64(relayed)*1e6)
	return nil
}
