// Package health decides which groups all daemons leave alone for a moment, from what
// each of them sees. One daemon of hundreds gets a few requests a second: alone it
// meets a dead group only by a request that waits there for a second.
package health

import (
	"slices"
	"strings"
	"time"
)

// Bounds of believing reports.
const (
	// Avoided is how long daemons leave a group alone after a warning. By then the
	// holder of the lease has asked the group's members whether they are there, twice
	// 300 ms, and has dissolved a dead group; a sound one is tried again.
	Avoided = 1500 * time.Millisecond
	// reportLife is how long a report counts. The streams of a group that dies fall
	// silent together; those of one with too much to do, now and then.
	reportLife = 500 * time.Millisecond
	// soundLife is how long a group that somebody heard is taken for alive: as long
	// as a stream falls silent before its daemon reports it.
	soundLife = 300 * time.Millisecond
	// quorum is how many daemons have to report a group. When a member dies, the
	// streams of about ten daemons fall silent at once; a daemon that reports alone is
	// more likely cut off or slow itself.
	quorum = 3
	// mostShare is the part of all groups that may be left alone at once, at least
	// one. Where more fail, the fault is the network's or the load's, and leaving
	// groups alone would only move it.
	mostShare = 0.15
)

// Enough tells whether that many daemons notice a dead group together. Fewer can't
// outvote one of them that is cut off.
func Enough(daemons int) bool { return daemons > quorum }

// Board gathers the reports of daemons about groups. It is a state machine that reads
// no clock; its state is bounded by the groups and daemons there are.
type Board struct {
	reports map[string]map[string]time.Time // by group and reporter
	warned  map[string]time.Time
	sound   map[string]time.Time // groups that somebody heard against a warning
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{reports: map[string]map[string]time.Time{}, warned: map[string]time.Time{}, sound: map[string]time.Time{}}
}

// Warning tells all daemons to leave a group alone.
type Warning struct {
	Group string
	// Dead tells that a member was found dead. Requests that wait at the group go
	// elsewhere then. Before that it may be slow: moving them would have prompts read
	// again, which makes slow groups slower.
	Dead bool
	// Reporters are the daemons on whose word, in order of their names.
	Reporters []string
}

// Names returns the reporters in one text.
func (w Warning) Names() string { return strings.Join(w.Reporters, " ") }

// deadMark begins the text of a warning about a dead group.
const deadMark = "dead "

// text returns all but the group.
func (w Warning) text() string {
	if w.Dead {
		return deadMark + w.Names()
	}
	return w.Names()
}

// parse returns the warning about a group that a text tells.
func parse(group, text string) Warning {
	names, dead := strings.CutPrefix(text, deadMark)
	return Warning{Group: group, Dead: dead, Reporters: strings.Fields(names)}
}

// Report takes in that a daemon found a group silent, of that many groups and daemons
// in all. It returns a warning if that makes all leave the group alone from now on, or
// for longer.
func (b *Board) Report(group, reporter string, groups, daemons int, now time.Time) (Warning, bool) {
	b.forget(now)
	if _, sound := b.sound[group]; sound {
		return Warning{}, false
	}
	if b.reports[group] == nil {
		b.reports[group] = map[string]time.Time{}
	}
	b.reports[group][reporter] = now
	if len(b.reports[group]) < min(quorum, daemons-1) || now.Sub(b.warned[group]) < Avoided/2 || !b.room(group, groups) {
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

// Dead takes in that a member of a group was found dead by a daemon that asked it, and
// returns the warning to give.
func (b *Board) Dead(group, prober string, now time.Time) Warning {
	b.forget(now)
	delete(b.sound, group)
	b.warned[group] = now
	return Warning{Group: group, Dead: true, Reporters: []string{prober}}
}

// room tells whether a group may be left alone beside those that are.
func (b *Board) room(group string, groups int) bool {
	_, again := b.warned[group]
	return again || len(b.warned) < max(1, int(mostShare*float64(groups)))
}

// Object takes in that a daemon has heard from a group just now, and tells whether that
// ends a warning. A group that answers anybody is slow, not dead.
func (b *Board) Object(group string, now time.Time) bool {
	b.forget(now)
	if _, warned := b.warned[group]; !warned {
		return false
	}
	delete(b.warned, group)
	delete(b.reports, group)
	b.sound[group] = now
	return true
}

// Warned returns the groups that are left alone, in order of their names.
func (b *Board) Warned(now time.Time) []string {
	b.forget(now)
	var groups []string
	for group := range b.warned {
		groups = append(groups, group)
	}
	slices.Sort(groups)
	return groups
}

// forget drops reports and warnings that no longer count.
func (b *Board) forget(now time.Time) {
	for group, reporters := range b.reports {
		for name, at := range reporters {
			if now.Sub(at) > reportLife {
				delete(reporters, name)
			}
		}
		if len(reporters) == 0 {
			delete(b.reports, group)
		}
	}
	for group, at := range b.sound {
		if now.Sub(at) > soundLife {
			delete(b.sound, group)
		}
	}
	for group, at := range b.warned {
		if now.Sub(at) > Avoided {
			delete(b.warned, group)
		}
	}
}
