package load

import (
	"time"

	"github.com/pointpass/pointpass/testbed/world"
)

// Cost is the resource usage of the daemons and of the table over a measuring interval.
// Rates are per second. Those of daemons are per daemon, those of the table are totals.
type Cost struct {
	CPU        float64 // cores, mean over the daemons
	CPUMax     float64 // cores, of the daemon with the highest usage
	Bytes      float64 // control traffic in both directions, mean over the daemons
	BytesMax   float64 // control traffic of the daemon with the most
	Memory     float64 // resident bytes of the largest daemon
	Reads      float64 // of the table, by all daemons
	Writes     float64
	TableBytes float64
}

// MeasureCost runs the workload, unless nil, and returns the cost over the given duration,
// or over the run of the workload if that takes longer.
func MeasureCost(w *world.World, duration time.Duration, workload func()) Cost {
	cpu, traffic := daemonMetrics(w, "process_cpu_seconds_total"), daemonMetrics(w, "pointpass_control_bytes")
	tableBefore := w.Platform.Usage()
	start := time.Now()
	if workload != nil {
		workload()
	}
	time.Sleep(time.Until(start.Add(duration)))
	seconds := time.Since(start).Seconds()
	tableAfter := w.Platform.Usage()
	cost := Cost{
		Reads:      float64(tableAfter.Reads-tableBefore.Reads) / seconds,
		Writes:     float64(tableAfter.Writes-tableBefore.Writes) / seconds,
		TableBytes: float64(tableAfter.BytesSent-tableBefore.BytesSent) / seconds,
	}
	cost.CPU, cost.CPUMax = rates(cpu, daemonMetrics(w, "process_cpu_seconds_total"), seconds)
	cost.Bytes, cost.BytesMax = rates(traffic, daemonMetrics(w, "pointpass_control_bytes"), seconds)
	for _, memory := range daemonMetrics(w, "process_resident_memory_bytes") {
		cost.Memory = max(cost.Memory, memory)
	}
	return cost
}

func daemonMetrics(w *world.World, name string) []float64 {
	values := make([]float64, 0, len(w.Daemons))
	for _, d := range w.Daemons {
		values = append(values, fetchMetric(d, name))
	}
	return values
}

func rates(before, after []float64, seconds float64) (mean, highest float64) {
	for i := range before {
		rate := (after[i] - before[i]) / seconds
		mean += rate / float64(len(before))
		highest = max(highest, rate)
	}
	return mean, highest
}

// Line is a straight line.
type Line struct {
	Slope, Intercept float64
}

// Fit returns the least-squares line through the points.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Line{Slope: slope, Intercept: (sy - slope*sx) / n}
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
