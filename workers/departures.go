package workers

import "slices"

// mostLeavers bounds how many workers that have left are remembered: those of an hour where
// 4,000 an hour do.
const mostLeavers = 4096

// leaver is a start of a worker that leaves or has left.
type leaver struct {
	born int64
	// announced tells that it had said so; else its entry only went.
	announced bool
}

// leavers are the starts of workers that have said that they leave, or whose entries went. A
// store that comes back from an older copy may list them as ready.
type leavers struct {
	starts map[string]leaver
	// order holds their ids, the earliest first.
	order []string
	// withheld are entries of such a copy that are taken to leave until they prove alive.
	withheld map[string]Worker
	// restores counts such copies.
	restores int
}

func newLeavers() *leavers {
	return &leavers{starts: map[string]leaver{}, withheld: map[string]Worker{}}
}

// note remembers that a worker leaves or has left.
func (l *leavers) note(w Worker) {
	before, known := l.starts[w.ID]
	announced := w.Draining || known && before.announced && before.born == w.Born
	l.starts[w.ID] = leaver{born: w.Born, announced: announced}
	if known {
		return
	}
	l.order = append(l.order, w.ID)
	if len(l.order) > mostLeavers {
		delete(l.starts, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
}

// forget takes in that a worker's entry is ready.
func (l *leavers) forget(id string) {
	delete(l.withheld, id)
	if _, known := l.starts[id]; !known {
		return
	}
	delete(l.starts, id)
	if i := slices.Index(l.order, id); i >= 0 {
		l.order = slices.Delete(l.order, i, i+1)
	}
}

// restored returns the entry of an older copy of the store as it counts. One that had said
// that it leaves doesn't come back; one whose entry only went may be alive.
func (l *leavers) restored(w Worker) Worker {
	left, known := l.starts[w.ID]
	if !known || w.Draining || Restarted(Worker{Born: left.born}, w) {
		return w
	}
	if !left.announced {
		l.withheld[w.ID] = w
	}
	w.Draining = true
	return w
}

// takeWithheld returns the entries that were withheld, which count from now on.
func (l *leavers) takeWithheld() map[string]Worker {
	taken := l.withheld
	l.withheld = map[string]Worker{}
	return taken
}
