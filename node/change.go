package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pointpass/pointpass/common/jsonc"
)

// Change is a setting that differs between two versions of a settings file.
type Change struct {
	// Field is the setting's name in the file. From and To are its values in the unit that
	// the file uses.
	Field    string
	From, To any
}

// String formats the change as one line.
func (c Change) String() string { return fmt.Sprintf("%s: %v -> %v", c.Field, c.From, c.To) }

// field describes one setting of a file.
type field struct {
	name  string
	value func(s *Settings) any
	// fixed is true for a setting that can't change while a daemon runs.
	fixed bool
}

// fields lists all settings except first_start, which is read at startup only, and
// hall_regions, which changesBetween compares by hall. Names and addresses are fixed, since
// other programs identify the daemon by them and have connections open to them.
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
	{"memory_mb", func(s *Settings) any { return s.memoryMB }, false},
	{"max_fds", func(s *Settings) any { return s.maxFDs }, false},
	{"log_level", func(s *Settings) any { return s.logLevel }, false},
	{"bounds.grace_s", func(s *Settings) any { return s.bounds.GracePeriod.Seconds() }, false},
	{"bounds.revoke_ms", func(s *Settings) any { return 1000 * s.bounds.MaxRevocationDelay.Seconds() }, false},
	{"bounds.revoke_strict", func(s *Settings) any { return s.bounds.StrictRevocation }, false},
	{"bounds.admit_s", func(s *Settings) any { return s.bounds.MaxEvidenceAge.Seconds() }, false},
	{"bounds.retry_ratio", func(s *Settings) any { return s.bounds.RetryRatio }, false},
	{"bounds.retry_extra", func(s *Settings) any { return s.bounds.RetryExtra }, false},
	{"bounds.retry_window_s", func(s *Settings) any { return s.bounds.RetryWindow.Seconds() }, false},
	{"bounds.in_touch_ms", func(s *Settings) any { return 1000 * s.bounds.ReconnectDeadline.Seconds() }, false},
	{"bounds.fenced", func(s *Settings) any { return s.bounds.Fenced }, false},
	{"bounds.load_window_s", func(s *Settings) any { return s.bounds.LoadWindow.Seconds() }, false},
	{"bounds.load_overrun", func(s *Settings) any { return s.bounds.LoadOverrun }, false},
	{"bounds.cold_overrun", func(s *Settings) any { return s.bounds.ColdOverrun }, false},
	{"bounds.cold_slack", func(s *Settings) any { return s.bounds.ColdSlack }, false},
}

// fixedMistakes returns an error for every fixed setting that would change.
func fixedMistakes(document *jsonc.Document, previous, next *Settings) error {
	var mistakes []error
	for _, f := range fields {
		if f.fixed && f.value(previous) != f.value(next) {
			mistakes = append(mistakes, document.ErrorAt(f.name, "is fixed while the daemon runs: %q is in force, found %q", f.value(previous), f.value(next)))
		}
	}
	return errors.Join(mistakes...)
}

// changesBetween returns the settings that differ between previous and next.
func changesBetween(previous, next *Settings) []Change {
	var list []Change
	for _, f := range fields {
		if from, to := f.value(previous), f.value(next); from != to {
			list = append(list, Change{Field: f.name, From: from, To: to})
		}
	}
	halls := maps.Clone(previous.hallRegions)
	if halls == nil {
		halls = map[string]string{}
	}
	maps.Copy(halls, next.hallRegions)
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		if from, to := previous.hallRegions[hall], next.hallRegions[hall]; from != to {
			list = append(list, Change{Field: "hall_regions." + hall, From: from, To: to})
		}
	}
	return list
}
