package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pointpass/pointpass/common/jsonc"
)

// Change is a setting that differs between two readings of a file.
type Change struct {
	// Field is its name in the file, From and To its values in the file's unit.
	Field    string
	From, To any
}

// String returns the change in one line.
func (c Change) String() string { return fmt.Sprintf("%s: %v -> %v", c.Field, c.From, c.To) }

// field is one setting of a file.
type field struct {
	name  string
	value func(s *Settings) any
	// fixed settings can't change while a daemon runs.
	fixed bool
}

// fields are all settings but first_start, which counts once, and hall_regions. Names
// and addresses are fixed: others know the daemon by them, and connections are under way
// at them.
var fields = []field{
	{"name", func(s *Settings) any { return s.name }, true},
	{"hall", func(s *Settings) any { return s.hall }, true},
	{"callers_addr", func(s *Settings) any { return s.callersAddr }, true},
	{"readiness_addr", func(s *Settings) any { return s.readinessAddr }, true},
	{"metrics_addr", func(s *Settings) any { return s.metricsAddr }, true},
	{"peers_addr", func(s *Settings) any { return s.peersAddr }, true},
	{"seeds", func(s *Settings) any { return strings.Join(s.seeds, ", ") }, false},
	{"store_addr", func(s *Settings) any { return s.storeAddr }, true},
	{"cores", func(s *Settings) any { return s.cores }, false},
	{"log_level", func(s *Settings) any { return s.logLevel }, false},
	{"bounds.grace_s", func(s *Settings) any { return s.bounds.Grace.Seconds() }, false},
	{"bounds.revoke_ms", func(s *Settings) any { return 1000 * s.bounds.Revoke.Seconds() }, false},
	{"bounds.revoke_strict", func(s *Settings) any { return s.bounds.RevokeStrict }, false},
	{"bounds.admit_s", func(s *Settings) any { return s.bounds.Admit.Seconds() }, false},
	{"bounds.retry_ratio", func(s *Settings) any { return s.bounds.RetryRatio }, false},
	{"bounds.retry_extra", func(s *Settings) any { return s.bounds.RetryExtra }, false},
	{"bounds.retry_window_s", func(s *Settings) any { return s.bounds.RetryWindow.Seconds() }, false},
	{"bounds.in_touch_ms", func(s *Settings) any { return 1000 * s.bounds.InTouch.Seconds() }, false},
	{"bounds.fenced", func(s *Settings) any { return s.bounds.Fenced }, false},
	{"bounds.load_window_s", func(s *Settings) any { return s.bounds.LoadWindow.Seconds() }, false},
	{"bounds.load_overrun", func(s *Settings) any { return s.bounds.LoadOverrun }, false},
	{"bounds.cold_overrun", func(s *Settings) any { return s.bounds.ColdOverrun }, false},
	{"bounds.cold_slack", func(s *Settings) any { return s.bounds.ColdSlack }, false},
}

// fixedMistakes names every setting of the next reading that can't change but would.
func fixedMistakes(document *jsonc.Document, before, next *Settings) error {
	var mistakes []error
	for _, f := range fields {
		if f.fixed && f.value(before) != f.value(next) {
			mistakes = append(mistakes, document.MistakeAt(f.name, "is fixed while the daemon runs: %q is in force, found %q", f.value(before), f.value(next)))
		}
	}
	return errors.Join(mistakes...)
}

// changesBetween returns what differs between two readings.
func changesBetween(before, next *Settings) []Change {
	var list []Change
	for _, f := range fields {
		if from, to := f.value(before), f.value(next); from != to {
			list = append(list, Change{Field: f.name, From: from, To: to})
		}
	}
	halls := maps.Clone(before.hallRegions)
	if halls == nil {
		halls = map[string]string{}
	}
	maps.Copy(halls, next.hallRegions)
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		if from, to := before.hallRegions[hall], next.hallRegions[hall]; from != to {
			list = append(list, Change{Field: "hall_regions." + hall, From: from, To: to})
		}
	}
	return list
}
