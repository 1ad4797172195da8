package load

import (
	"time"

	"github.com/pointpass/pointpass/testbed/world"
)

// Cost is what the daemons and the table spent in a stretch of time, per second
// and, but for the table's, per daemon.
type Cost struct {
	CPU        float64 // share of a core, the mean over the daemons
	CPUMax     float64 // the same of the busiest daemon
	Bytes      float64 // control traffic, both directions
	BytesMax   float64
	Memory     float64 // resident bytes of the largest daemon
	Reads      float64 // of the table, all daemons together
	Writes     float64
	TableBytes float64
}

// Measure watches the daemons for a while.
func Measure(w *world.World, length time.Duration, during func()) Cost {
	cpu, bytes := snapshot(w, "process_cpu_seconds_total"), snapshot(w, "pointpass_control_bytes")
	usage := w.Platform.Usage()
	begun := time.Now()
	if during != nil {
		during()
	}
	time.Sleep(time.Until(begun.Add(length)))
	seconds := time.Since(begun).Seconds()
	after := w.Platform.Usage()
	cost := Cost{
		Reads:      float64(after.Reads-usage.Reads) / seconds,
		Writes:     float64(after.Writes-usage.Writes) / seconds,
		TableBytes: float64(after.BytesSent-usage.BytesSent) / seconds,
	}
	cost.CPU, cost.CPUMax = difference(cpu, snapshot(w, "process_cpu_seconds_total"), seconds)
	cost.Bytes, cost.BytesMax = difference(bytes, snapshot(w, "pointpass_control_bytes"), seconds)
	for _, memory := range snapshot(w, "process_resident_memory_bytes") {
		cost.Memory = max(cost.Memory, memory)
	}
	return cost
}

func snapshot(w *world.World, name string) []float64 {
	values := make([]float64, 0, len(w.Daemons))
	for _, d := range w.Daemons {
		values = append(values, counterOf(d, name))
	}
	return values
}

func difference(before, after []float64, seconds float64) (mean, most float64) {
	for i := range before {
		rate := (after[i] - before[i]) / seconds
		mean += rate / float64(len(before))
		most = max(most, rate)
	}
	return mean, most
}

// Line is a straight line through points, by least squares.
type Line struct {
	Slope, Intercept float64
}

// Fit returns the line through the points.
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

// At returns the line's height.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
