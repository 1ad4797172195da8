package deps

import (
	"runtime/debug"
	"strings"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/node"
)

// maxLoggedChanges limits how many changes or mistakes of one reading are logged.
const maxLoggedChanges = 32

// OnSettingsRead handles the result of re-reading the settings file. Most parts read the current
// settings from the holder each time; those that keep values are updated here. Only one goroutine
// may call it.
func (e *Edge) OnSettingsRead(r node.ReloadResult) {
	e.reloads[r.Outcome].Inc()
	if r.Outcome == node.Changed {
		s := e.settings.Current()
		e.Log.SetLevel(LogLevel(s))
		limitMemory(s.Memory())
		e.Placement.SetRegions(s.HallRegions())
		e.Controller.Wake()
	}
	e.logReading(r)
}

// logReading logs the result of a reading.
func (e *Edge) logReading(r node.ReloadResult) {
	switch r.Outcome {
	case node.Changed, node.Unchanged:
		changes := r.Changes[:min(maxLoggedChanges, len(r.Changes))]
		var texts []string
		for _, c := range changes {
			texts = append(texts, c.String())
		}
		e.Log.Info().Str("event", "settings_read").Str("outcome", string(r.Outcome)).Strs("changes", texts).Int("changed", len(r.Changes)).Msg("")
	default:
		mistakes := strings.Split(r.Err.Error(), "\n")
		e.Log.Error().Str("event", "settings_refused").Str("outcome", string(r.Outcome)).Strs("mistakes", mistakes[:min(maxLoggedChanges, len(mistakes))]).
			Int("found", len(mistakes)).Dur("in_force_for", e.settings.Age(clock.Now())).Msg("keeping the previous settings")
	}
}

// LogLevel returns the minimum level that is logged.
func LogLevel(s *node.Settings) log.Level {
	if s.LogLevel() == "" {
		return log.InfoLevel
	}
	return log.ParseLevel(s.LogLevel())
}

func (e *Edge) registerSettingsMetrics() {
	for _, o := range node.Outcomes() {
		e.reloads[o] = e.Metrics.NewCounter(`pointpass_settings_reloads_total{outcome="` + string(o) + `"}`)
	}
	e.Metrics.NewGauge("pointpass_go_memory_limit_bytes", func() float64 { return float64(debug.SetMemoryLimit(-1)) })
	e.Metrics.NewGauge("pointpass_settings_age_seconds", func() float64 { return e.settings.Age(clock.Now()).Seconds() })
}
