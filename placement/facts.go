// Package placement decides where a request may run: not in a data hall that the operator
// closed, only in regions that the request's route and customer allow, and at a worker that
// has just started only within its ramp. All such decisions are made here: for first attempts
// and retries, when a stream moves, when groups are planned, and when a request is refused at
// once.
package placement

import (
	"maps"
	"slices"
	"time"
)

// Closing is the closing of a data hall to requests by the operator.
type Closing struct {
	Hall string
	// Version is the store's version at which the hall was closed.
	Version uint64
	// ObservedAt is when this process learned of it.
	ObservedAt time.Time
}

// Reopening is the reopening of a data hall by the operator.
type Reopening struct {
	Hall string
	// Version is the store's version at which the hall was open again at the latest.
	Version uint64
	// ObservedAt is when this process learned of it.
	ObservedAt time.Time
}

// Facts are what this process knows of data halls at one time. They are immutable; the zero
// value has no closed hall and no region.
type Facts struct {
	closed   map[string]Closing
	reopened map[string]Reopening
	regions  map[string]string
	evidence time.Time
}

// NewFacts returns facts without a closed hall, with the region of each hall.
func NewFacts(regions map[string]string) *Facts {
	return &Facts{regions: maps.Clone(regions)}
}

// Closed returns the closing of a hall, false if the hall is open.
func (f *Facts) Closed(hall string) (Closing, bool) {
	c, closed := f.closed[hall]
	return c, closed
}

// Open reports whether a hall is open to requests.
func (f *Facts) Open(hall string) bool {
	_, closed := f.closed[hall]
	return !closed
}

// Closings returns all closed halls, sorted by name.
func (f *Facts) Closings() []Closing {
	var list []Closing
	for _, hall := range slices.Sorted(maps.Keys(f.closed)) {
		list = append(list, f.closed[hall])
	}
	return list
}

// Reopened returns the last reopening of a hall, false if this process has observed none.
func (f *Facts) Reopened(hall string) (Reopening, bool) {
	r, reopened := f.reopened[hall]
	return r, reopened
}

// Region returns a hall's region, "" if the settings have none.
func (f *Facts) Region(hall string) string { return f.regions[hall] }

// Evidence returns the time of the store query that last confirmed the facts.
func (f *Facts) Evidence() time.Time { return f.evidence }

// Change is a change of a hall's row in the store.
type Change struct {
	Hall string
	// Closed is set if the hall was closed; otherwise it was reopened.
	Closed bool
	// Version is the store's version of the change.
	Version uint64
}

// Update is the content of one answer of the store about halls.
type Update struct {
	// Changes are the changes since the last update, or all closed halls if Full is set.
	Changes []Change
	Full    bool
	// Restored is set if Full comes from an older copy of the store. Halls that it doesn't
	// list then stay closed.
	Restored bool
	// Version is the store's version of the answer, and Evidence the time of the query.
	Version  uint64
	Evidence time.Time
}

// Apply returns the facts after an update, and the halls that it closed and reopened.
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
	if u.Full && !u.Restored { // an unlisted hall was reopened by a change that this process missed
		for _, c := range f.Closings() {
			if !listed[c.Hall] {
				opened = next.open(c.Hall, u.Version, now, opened)
			}
		}
	}
	return next, closed, opened
}

// close records a closing and appends it to list if the hall was open. A hall that was
// already closed, at another version, was reopened and closed again unobserved.
func (f *Facts) close(change Change, now time.Time, list []Closing) []Closing {
	before, known := f.closed[change.Hall]
	c := Closing{Hall: change.Hall, Version: change.Version, ObservedAt: now}
	if known {
		c.ObservedAt = before.ObservedAt
	}
	f.closed[change.Hall] = c
	if known {
		return list
	}
	return append(list, c)
}

// open records a reopening and appends it to list. It also does so for a hall whose
// closing wasn't observed, since the row may have existed only between two answers.
func (f *Facts) open(hall string, version uint64, now time.Time, list []Reopening) []Reopening {
	delete(f.closed, hall)
	r := Reopening{Hall: hall, Version: version, ObservedAt: now}
	f.reopened[hall] = r
	return append(list, r)
}
