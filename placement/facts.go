// Package placement decides where a request may run: not in a data hall that the
// operator closed, only in regions that the request's route and customer allow, and at
// a worker that has just started only as far as its ramp has room. All who ask that of a
// worker ask here: when a request is sent first or again, when a stream moves, when
// groups are planned, and when a request is refused at once.
package placement

import (
	"maps"
	"slices"
	"time"
)

// Closing is a data hall that the operator closed to requests.
type Closing struct {
	Hall string
	// Version is the store's version at which the hall was closed.
	Version uint64
	// Known is when this process learned of it.
	Known time.Time
}

// Reopening is a data hall that the operator has opened again.
type Reopening struct {
	Hall string
	// Version is the store's version as of which the hall is known to be open.
	Version uint64
	// Known is when this process learned of it.
	Known time.Time
}

// Facts are what is known of data halls at one moment. They never change; the zero
// value knows of no closed hall and of no region.
type Facts struct {
	closed   map[string]Closing
	reopened map[string]Reopening
	regions  map[string]string
	evidence time.Time
}

// NewFacts returns facts without a closed hall. Regions tells the region of each hall.
func NewFacts(regions map[string]string) *Facts {
	return &Facts{regions: maps.Clone(regions)}
}

// Closed returns the closing of a hall, false if it is open.
func (f *Facts) Closed(hall string) (Closing, bool) {
	c, closed := f.closed[hall]
	return c, closed
}

// Open tells whether a hall is open to requests.
func (f *Facts) Open(hall string) bool {
	_, closed := f.closed[hall]
	return !closed
}

// Closings returns all closed halls in order of their names.
func (f *Facts) Closings() []Closing {
	var list []Closing
	for _, hall := range slices.Sorted(maps.Keys(f.closed)) {
		list = append(list, f.closed[hall])
	}
	return list
}

// Reopened returns when a hall was last opened again, false if it never was closed as
// far as this process knows.
func (f *Facts) Reopened(hall string) (Reopening, bool) {
	r, reopened := f.reopened[hall]
	return r, reopened
}

// Region returns a hall's region, "" if the settings don't tell it.
func (f *Facts) Region(hall string) string { return f.regions[hall] }

// Evidence returns when the store was asked whose answer last confirmed the facts.
func (f *Facts) Evidence() time.Time { return f.evidence }

// Change is one change of a hall's row.
type Change struct {
	Hall string
	// Closed tells that the hall gets no requests; else it was opened again.
	Closed bool
	// Version is the store's version of the change.
	Version uint64
}

// Update is what one answer of the store tells of halls.
type Update struct {
	// Changes are those since the last update, all closed halls if Full.
	Changes []Change
	Full    bool
	// Restored tells that Full is of an older copy of the store: a hall that it doesn't list
	// stays closed.
	Restored bool
	// Version is the store's version of the answer, and Evidence when it was asked.
	Version  uint64
	Evidence time.Time
}

// Apply returns the facts after an update, and the halls that it closed and opened.
func (f *Facts) Apply(u Update, now time.Time) (next *Facts, closed []Closing, opened []Reopening) {
	next = &Facts{closed: maps.Clone(f.closed), reopened: maps.Clone(f.reopened), regions: f.regions, evidence: f.evidence}
	if next.closed == nil {
		next.closed = map[string]Closing{}
		next.reopened = map[string]Reopening{}
	}
	if u.Evidence.After(next.evidence) {
		next.evidence = u.Evidence
	}
	listed := map[string]bool{}
	for _, change := range u.Changes {
		listed[change.Hall] = change.Closed
		if change.Closed {
			closed = next.close(change, now, closed)
		} else {
			opened = next.open(change.Hall, change.Version, now, opened)
		}
	}
	if u.Full && !u.Restored { // who isn't listed was opened while this process didn't listen
		for _, c := range f.Closings() {
			if !listed[c.Hall] {
				opened = next.open(c.Hall, u.Version, now, opened)
			}
		}
	}
	return next, closed, opened
}

// close notes a closing. A hall that was closed before at another version was opened
// and closed again unseen.
func (f *Facts) close(change Change, now time.Time, list []Closing) []Closing {
	before, known := f.closed[change.Hall]
	c := Closing{Hall: change.Hall, Version: change.Version, Known: now}
	if known {
		c.Known = before.Known
	}
	f.closed[change.Hall] = c
	if known {
		return list
	}
	return append(list, c)
}

// open notes an opening. It is noted as well for a hall whose closing was never seen:
// the row may have come and gone between two answers.
func (f *Facts) open(hall string, version uint64, now time.Time, list []Reopening) []Reopening {
	delete(f.closed, hall)
	r := Reopening{Hall: hall, Version: version, Known: now}
	f.reopened[hall] = r
	return append(list, r)
}
