// Command hop measures what one pointpassd adds: it asks the same stand-in
// engine directly and through pointpassd in turns, and prints both latencies,
// the processor time per request and per relayed token, and requests a second
// for each core that the daemon used.
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
	rate := flag.Int("rate", 1000, "requests a second")
	seconds := flag.Int("seconds", 5, "how long to ask each way")
	flag.Parse()
	layout := world.NilePawn(4)
	layout.Halls = layout.Halls[:1]
	layout.Settings = strings.Replace(layout.Settings, `"streams": 64`, `"streams": 4096`, 1)
	layout.Settings = strings.Replace(layout.Settings, `"streams": 8`, fmt.Sprintf(`"streams": %d`, most), 1)
	w, closeWorld, err := world.Start(world.Options{
		Layouts: []world.Layout{layout},
		Daemons: 1,
		Timing:  engine.Timing{Token: time.Millisecond, Prefill: time.Millisecond, CacheLoad: 0, Load: time.Millisecond},
		Limits:  engine.Limits{Streams: most, Prefixes: 16, Loads: 8},
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
	for _, streams := range []int{8, 32, most} {
		if err := b.measureTokens(streams); err != nil {
			return err
		}
	}
	return nil
}

// most is how many streams run at once at the most.
const most = 128

type bench struct {
	world  *world.World
	rate   int
	length time.Duration
	client *http.Client
}

// side is one way to the engine.
type side struct {
	name  string
	url   string
	times *hdrhistogram.Histogram
	wrong int
}

func (b *bench) compareCalls() error {
	plain := b.world.Fabric.Engine("table-app-000")
	sides := []*side{
		{name: "direct", url: "http://" + plain.Addr() + "/scores", times: hdrhistogram.New(1, 1e7, 3)},
		{name: "pointpassd", url: "http://" + b.world.Daemons[0].Callers + "/svc/table-app/scores", times: hdrhistogram.New(1, 1e7, 3)},
	}
	for _, s := range sides {
		b.drive(s, time.Second) // opens connections
		s.times.Reset()
	}
	cpu := load.SumMetric(b.world, "process_cpu_seconds_total")
	requests := 0
	for _, s := range sides {
		requests = b.drive(s, b.length)
	}
	cpu = load.SumMetric(b.world, "process_cpu_seconds_total") - cpu
	fmt.Printf("%d requests/s to a plain service, %v each way\n", b.rate, b.length)
	fmt.Printf("%-12s %10s %10s %8s\n", "", "p50 ms", "p99 ms", "wrong")
	for _, s := range sides {
		fmt.Printf("%-12s %10.3f %10.3f %8d\n", s.name, at(s, 50), at(s, 99), s.wrong)
	}
	fmt.Printf("%-12s %10.3f %10.3f\n", "added", at(sides[1], 50)-at(sides[0], 50), at(sides[1], 99)-at(sides[0], 99))
	fmt.Printf("processor time of pointpassd: %.0f us a request, %.0f requests/s for each core\n\n", cpu/float64(requests)*1e6, float64(requests)/cpu)
	if sides[0].wrong+sides[1].wrong > 0 {
		return fmt.Errorf("%d wrong answers", sides[0].wrong+sides[1].wrong)
	}
	return nil
}

func at(s *side, q float64) float64 { return float64(s.times.ValueAtQuantile(q)) / 1000 }

// drive asks at the rate, whether or not answers come.
func (b *bench) drive(s *side, length time.Duration) int {
	n := int(length.Seconds() * float64(b.rate))
	begun := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(b.rate))))
		wg.Go(func() {
			asked := time.Now()
			ok := b.call(s.url)
			took := time.Since(asked)
			mu.Lock()
			defer mu.Unlock()
			s.times.RecordValue(took.Microseconds())
			if !ok {
				s.wrong++
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

// measureTokens streams long answers and divides the daemon's processor time
// by the tokens relayed.
func (b *bench) measureTokens(streams int) error {
	const tokens = 1000
	cpu := load.SumMetric(b.world, "process_cpu_seconds_total")
	var wg sync.WaitGroup
	var mu sync.Mutex
	relayed := 0
	for i := range streams {
		wg.Go(func() {
			result := ask.Do(context.Background(), b.client, ask.Request{
				Addr:     b.world.Daemons[0].Callers,
				Key:      world.Key("nile-1"),
				Service:  "arbiter-lm",
				Kind:     "question",
				Question: strconv.Itoa(i),
				Context:  "rules",
				Tokens:   tokens,
				Stream:   true,
				Deadline: time.Minute,
			})
			mu.Lock()
			defer mu.Unlock()
			if result.Whole {
				relayed += result.Events
			}
		})
	}
	wg.Wait()
	cpu = load.SumMetric(b.world, "process_cpu_seconds_total") - cpu
	if relayed != streams*tokens {
		return fmt.Errorf("relayed %d tokens whole, want %d", relayed, streams*tokens)
	}
	fmt.Printf("%d streams of %d tokens: %.1f us of processor time a relayed token\n", streams, tokens, cpu/float64(relayed)*1e6)
	return nil
}
