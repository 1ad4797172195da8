package workers

import "slices"

// maxDepartures bounds the number of departed workers that are tracked: those of an hour at
// a rate of 4,000 an hour.
const maxDepartures = 4096

// departure is a start of a worker that is leaving or has left.
type departure struct {
	born int64
	// announced reports that the worker announced that it leaves. Otherwise, its entry only
	// disappeared.
	announced bool
}

// departures tracks the starts of workers that announced that they leave, or whose entries
// disappeared. A store that is restored from an older copy may list them as ready.
type departures struct {
	starts map[string]departure
	// order holds their ids, the earliest first.
	order []string
	// withheld are entries of a restored copy that count as draining until a newer entry
	// arrives, or until the function that Registry.Restore returned is called.
	withheld map[string]Worker
	// restores counts the restores.
	restores int
}

func newDepartures() *departures {
	return &departures{starts: map[string]departure{}, withheld: map[string]Worker{}}
}

// record records that a worker is leaving or has left.
func (l *departures) record(w Worker) {
	previous, tracked := l.starts[w.ID]
	announced := w.Draining || tracked && previous.announced && previous.born == w.StartMs
	l.starts[w.ID] = departure{born: w.StartMs, announced: announced}
	if tracked {
		return
	}
	l.order = append(l.order, w.ID)
	if len(l.order) > maxDepartures {
		delete(l.starts, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
}

// forget stops tracking a worker whose entry is ready.
func (l *departures) forget(id string) {
	delete(l.withheld, id)
	if _, tracked := l.starts[id]; !tracked {
		return
	}
	delete(l.starts, id)
	if i := slices.Index(l.order, id); i >= 0 {
		l.order = slices.Delete(l.order, i, i+1)
	}
}

// restored returns the entry of a restored copy with its effective state. A worker that
// announced that it leaves doesn't come back; one whose entry only disappeared may be
// alive.
func (l *departures) restored(w Worker) Worker {
	left, tracked := l.starts[w.ID]
	if !tracked || w.Draining || Restarted(Worker{StartMs: left.born}, w) {
		return w
	}
	if !left.announced {
		l.withheld[w.ID] = w
	}
	w.Draining = true
	return w
}

// takeWithheld returns the withheld entries and stops withholding them.
func (l *departures) takeWithheld() map[string]Worker {
	taken := l.withheld
	l.withheld = map[string]Worker{}
	return taken
}
