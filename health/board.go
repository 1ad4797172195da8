// Package health decides which groups all daemons temporarily avoid, from the reports of each
// of them. One daemon of hundreds receives a few requests per second: on its own it detects a
// dead group only through a request that is blocked there for a second.
package health

import (
	"slices"
	"strings"
	"time"
)

// Timing and thresholds for reports and warnings.
const (
	// AvoidDuration is how long daemons avoid a group after a warning. In that time the lease
	// holder has polled the group's members, twice for 300 ms, and has dissolved a dead group;
	// a healthy one is tried again.
	AvoidDuration = 1500 * time.Millisecond
	// reportLifetime is how long a report counts. The streams of a dying group stop responding
	// at the same time; those of an overloaded one only now and then.
	reportLifetime = 500 * time.Millisecond
	// aliveLifetime is how long a group counts as alive after a response from it: as long as a
	// stream is unresponsive before its daemon reports it.
	aliveLifetime = 300 * time.Millisecond
	// quorum is how many daemons have to report a group. When a member dies, the streams of
	// about ten daemons stop responding at once; a daemon that is alone with its report is more
	// likely disconnected or slow itself.
	quorum = 3
	// maxReportedGroups bounds for how many groups reports are kept, and maxReporters how many
	// for one.
	maxReportedGroups = 1024
	maxReporters      = 32
	// maxAvoidedShare is the share of all groups that may be avoided at once, at least one
	// group. If more fail, the cause is the network or the load, and avoiding groups would only
	// shift it to others.
	maxAvoidedShare = 0.15
)

// HasQuorum reports whether that many daemons can detect a dead group by their reports. Fewer
// can't outvote one of them that is disconnected.
func HasQuorum(daemons int) bool { return daemons > quorum }

// Board collects the reports of daemons about groups. It is a state machine that reads no
// clock; its state is bounded by the number of groups and daemons.
type Board struct {
	reports map[string]map[string]time.Time // by group and reporter
	warned  map[string]time.Time
	alive   map[string]time.Time // groups that responded to a daemon during a warning
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{reports: map[string]map[string]time.Time{}, warned: map[string]time.Time{}, alive: map[string]time.Time{}}
}

// Warning is a notice to all daemons to avoid a group for AvoidDuration.
type Warning struct {
	Group string
	// Dead reports whether a member was found dead. Requests that wait at the group are then
	// moved to other groups. Otherwise the group may just be slow: moving the requests would
	// process their prompts again, which makes slow groups slower.
	Dead bool
	// Reporters are the daemons whose reports led to the warning, sorted by name.
	Reporters []string
}

// Names returns the names of the reporters, separated by spaces.
func (w Warning) Names() string { return strings.Join(w.Reporters, " ") }

// deadPrefix starts the encoding of a warning about a dead group.
const deadPrefix = "dead "

// text returns the encoding of the warning without its group.
func (w Warning) text() string {
	if w.Dead {
		return deadPrefix + w.Names()
	}
	return w.Names()
}

// parse decodes the warning about a group.
func parse(group, text string) Warning {
	names, dead := strings.CutPrefix(text, deadPrefix)
	return Warning{Group: group, Dead: dead, Reporters: strings.Fields(names)}
}

// Report adds the report of a daemon that a group is unresponsive, given the total numbers of
// groups and daemons. It returns a warning if all daemons should now start or continue to avoid
// the group.
func (b *Board) Report(group, reporter string, groups, daemons int, now time.Time) (Warning, bool) {
	b.dropExpired(now)
	if _, alive := b.alive[group]; alive {
		return Warning{}, false
	}
	b.addReport(group, reporter, now)
	if len(b.reports[group]) < min(quorum, daemons-1) || now.Sub(b.warned[group]) < AvoidDuration/2 || !b.mayWarn(group, groups) {
		return Warning{}, false
	}
	b.warned[group] = now
	w := Warning{Group: group}
	for name := range b.reports[group] {
		w.Reporters = append(w.Reporters, name)
	}
	slices.Sort(w.Reporters)
	return w, true
}

// addReport adds a report if there is room for it.
func (b *Board) addReport(group, reporter string, now time.Time) {
	reporters := b.reports[group]
	if reporters == nil {
		if len(b.reports) >= maxReportedGroups {
			return
		}
		reporters = map[string]time.Time{}
		b.reports[group] = reporters
	}
	if _, found := reporters[reporter]; found || len(reporters) < maxReporters {
		reporters[reporter] = now
	}
}

// ReportDead records that a daemon probed a member of a group and found it dead, and returns
// the resulting warning.
func (b *Board) ReportDead(group, prober string, now time.Time) Warning {
	b.dropExpired(now)
	delete(b.alive, group)
	b.warned[group] = now
	return Warning{Group: group, Dead: true, Reporters: []string{prober}}
}

// mayWarn reports whether a group may be avoided in addition to those that already are.
func (b *Board) mayWarn(group string, groups int) bool {
	_, alreadyWarned := b.warned[group]
	return alreadyWarned || len(b.warned) < max(1, int(maxAvoidedShare*float64(groups)))
}

// ReportAlive records that a daemon has just had a response from a group, and reports whether
// that ends a warning. A group that responds to any daemon is slow, not dead.
func (b *Board) ReportAlive(group string, now time.Time) bool {
	b.dropExpired(now)
	if _, warned := b.warned[group]; !warned {
		return false
	}
	delete(b.warned, group)
	delete(b.reports, group)
	b.alive[group] = now
	return true
}

// Warned returns the groups to avoid, sorted by name.
func (b *Board) Warned(now time.Time) []string {
	b.dropExpired(now)
	var groups []string
	for group := range b.warned {
		groups = append(groups, group)
	}
	slices.Sort(groups)
	return groups
}

// dropExpired drops reports and warnings that no longer count.
func (b *Board) dropExpired(now time.Time) {
	for group, reporters := range b.reports {
		for name, at := range reporters {
			if now.Sub(at) > reportLifetime {
				delete(reporters, name)
			}
		}
		if len(reporters) == 0 {
			delete(b.reports, group)
		}
	}
	for group, at := range b.alive {
		if now.Sub(at) > aliveLifetime {
			delete(b.alive, group)
		}
	}
	for group, at := range b.warned {
		if now.Sub(at) > AvoidDuration {
			delete(b.warned, group)
		}
	}
}
