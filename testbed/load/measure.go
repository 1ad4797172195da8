package load

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pointpass/pointpass/testbed/world"
)

// Summary holds the results of one surge. Durations are in milliseconds.
type Summary struct {
	Requests int `json:"requests"`
	// Value is the weighted share of requests that were answered completely within
	// their deadline, counted from the first attempt.
	Value float64 `json:"value"`
	// InTime is the unweighted share of these requests.
	InTime float64 `json:"in_time"`
	// Late is the share that was answered completely but after the deadline.
	Late float64 `json:"late"`
	// Refused is the share that was rejected at least once.
	Refused float64 `json:"refused"`
	// RefusedFirst is the rejected share of the requests planned for the first daemon,
	// which receives the most (Scenario.Skew).
	RefusedFirst float64 `json:"refused_first"`
	// Returned is the share of the rejected requests that a retry completed.
	Returned float64 `json:"returned"`
	// Fair is the in-time share of the small customers divided by that of the large
	// ones.
	Fair float64 `json:"fair"`
	// FirstP50, FirstP95 and FirstP99 are quantiles of the time to the first token.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	// GapP95 is a quantile of the time between tokens.
	GapP95 float64 `json:"gap_p95_ms"`
	// Retries is the number of the daemons' own retries per request.
	Retries float64 `json:"retries_per_request"`
	// Unknown is the number of requests that ended with the outcome "unknown".
	Unknown int `json:"unknown"`
	// Doubled is the number of idempotency keys that ran more than once.
	Doubled int `json:"doubled"`
	// Wrong is the number of requests with an idempotency key whose outcome doesn't
	// match how often they ran.
	Wrong int `json:"wrong"`
}

// maxLatencyMicros is the upper bound of the histograms, in microseconds.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

func summarize(w *world.World, s Scenario, outcomes []outcome) Summary {
	m := Summary{Requests: len(outcomes)}
	firstTokens, gaps := newHistogram(), newHistogram()
	var weight, inTimeWeight, late, rejected, recovered, firstDaemon, rejectedFirst float64
	bySize := map[bool][2]float64{} // by fromLarge: requests, and those answered in time
	for _, o := range outcomes {
		weight += o.request.kind.Weight
		counts := bySize[o.request.fromLarge]
		counts[0]++
		switch {
		case o.inTime:
			inTimeWeight += o.request.kind.Weight
			m.InTime++
			counts[1]++
		case o.result.Complete:
			late++
		case o.result.Outcome == "unknown":
			m.Unknown++
		}
		bySize[o.request.fromLarge] = counts
		if o.request.daemon == 0 {
			firstDaemon++
			if o.rejections > 0 {
				rejectedFirst++
			}
		}
		if o.rejections > 0 {
			rejected++
			if o.result.Complete {
				recovered++
			}
		}
		if o.request.kind.Stream && o.result.Complete {
			firstTokens.RecordValue(o.firstTokenLatency.Microseconds())
			for _, gap := range o.result.Gaps {
				gaps.RecordValue(max(1, gap.Microseconds()))
			}
		}
		m.countWrong(w, o)
	}
	n := float64(max(1, len(outcomes)))
	m.Value = inTimeWeight / weight
	m.InTime /= n
	m.Late = late / n
	m.Refused = rejected / n
	m.RefusedFirst = rejectedFirst / max(1, firstDaemon)
	m.Returned = recovered / max(1, rejected)
	m.Fair = inTimeShare(bySize[false]) / max(0.001, inTimeShare(bySize[true]))
	m.FirstP50, m.FirstP95, m.FirstP99 = quantile(firstTokens, 50), quantile(firstTokens, 95), quantile(firstTokens, 99)
	m.GapP95 = quantile(gaps, 95)
	m.Doubled = len(w.Record.RepeatedKeys())
	return m
}

// countWrong counts complete answers to requests that did not run exactly once, and
// outcomes "not-run" of requests that ran.
func (m *Summary) countWrong(w *world.World, o outcome) {
	if !o.request.kind.ExactlyOnce || o.request.request.IdempotencyKey == "" {
		return
	}
	runs := w.Record.RunCount(o.request.request.IdempotencyKey)
	if o.result.Complete && runs != 1 || o.result.Outcome == "not-run" && runs > 0 {
		m.Wrong++
	}
}

func inTimeShare(counts [2]float64) float64 { return counts[1] / max(1, counts[0]) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// SumMetric returns the sum of a metric over all daemons and labels.
func SumMetric(w *world.World, name string) float64 {
	total := 0.0
	for _, d := range w.Daemons {
		total += fetchMetric(d, name)
	}
	return total
}

func fetchMetric(d *world.Daemon, name string) float64 {
	resp, err := http.Get("http://" + d.ControlAddr + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	total := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), " ")
		base, _, _ := strings.Cut(key, "{")
		if number, err := strconv.ParseFloat(value, 64); ok && base == name && err == nil {
			total += number
		}
	}
	return total
}

// Header is the table header for Row.
const Header = "SCENARIO\tPOLICY\tLEVEL\tREQUESTS\tVALUE\tIN TIME\tLATE\tREFUSED/FIRST\tRETURNED\tFAIR\tFIRST p50/p95/p99 ms\tGAP p95\tRETRIES\tUNKNOWN\tDOUBLED\tWRONG"

// Row returns the summary as a tab-separated table row.
func (m Summary) Row(scenario, policy string, level float64) string {
	cells := []string{
		scenario, policy, fmt.Sprintf("%.1f", level), fmt.Sprint(m.Requests),
		fmt.Sprintf("%.3f", m.Value), fmt.Sprintf("%.3f", m.InTime), fmt.Sprintf("%.3f", m.Late),
		fmt.Sprintf("%.3f/%.3f", m.Refused, m.RefusedFirst), fmt.Sprintf("%.3f", m.Returned), fmt.Sprintf("%.2f", m.Fair),
		fmt.Sprintf("%.0f/%.0f/%.0f", m.FirstP50, m.FirstP95, m.FirstP99), fmt.Sprintf("%.1f", m.GapP95),
		fmt.Sprintf("%.3f", m.Retries), fmt.Sprint(m.Unknown), fmt.Sprint(m.Doubled), fmt.Sprint(m.Wrong),
	}
	return strings.Join(slices.Clip(cells), "\t")
}

// DaemonMetric returns the sum of a daemon's metric over its labels, 0 if the metrics
// can't be fetched.
func DaemonMetric(d *world.Daemon, name string) float64 { return fetchMetric(d, name) }
