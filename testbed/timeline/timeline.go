package timeline

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"
)

// Row summarizes an interval: its events, and the state of the workers at its end.
type Row struct {
	// End is the end of the interval.
	End time.Duration
	// Workers is the number of workers of services that form groups.
	Workers int
	// Open is the number of open groups by model. Forming is the number of workers in
	// groups that aren't open, by model.
	Open, Forming map[string]int
	// Idle is the number of workers without a group by the model staged on their host,
	// which is "none" if there is none. IdleByDomain is the same by domain and model.
	Idle         map[string]int
	IdleByDomain map[string]map[string]int
	// Loads is the number of loads started in the interval, by model.
	Loads map[string]int
	// Dissolved is the number of groups dissolved in the interval, by reason. The reason
	// has the prefix "serving, " for groups that could still serve requests.
	Dissolved map[string]int
	// Ended is the number of requests that ended in the interval, by status. Resumed is
	// the number of those that moved to another group in the middle of the response.
	Ended   map[int]int
	Resumed int
	// FirstEvent is the median time to the first event of a response, 0 without any.
	FirstEvent time.Duration
	// Started is the number of daemons that started in the interval.
	Started int
}

// noModel is the key for workers on hosts without a staged model.
const noModel = "none"

// Read summarizes the logs of daemons in one row for each step from the offset 0 on.
// Records with a negative offset count towards the first row.
func Read(r io.Reader, step time.Duration) ([]Row, error) {
	records, err := parseLog(r)
	if err != nil || len(records) == 0 {
		return nil, err
	}
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.offset, b.offset) })
	fleet := newFleet(records)
	var rows []Row
	current := newInterval()
	end := step
	for _, rec := range records {
		for rec.offset >= end {
			rows = append(rows, fleet.row(end, current))
			current = newInterval()
			end += step
		}
		fleet.apply(rec)
		current.count(rec)
	}
	return append(rows, fleet.row(end, current)), nil
}

// fleet is the state of all workers, merged from the logs of all daemons.
type fleet struct {
	// grouped is the set of services whose workers form groups.
	grouped map[string]bool
	workers map[string]record
}

func newFleet(records []record) *fleet {
	f := &fleet{grouped: map[string]bool{}, workers: map[string]record{}}
	for _, rec := range records {
		if rec.Event == "worker" && (rec.Group != "" || len(rec.Staged) > 0) {
			f.grouped[rec.Service] = true
		}
	}
	return f
}

// apply applies a worker event. Daemons log the same store row at different times, so
// that events with an older version are ignored.
func (f *fleet) apply(rec record) {
	switch rec.Event {
	case "worker":
		if f.grouped[rec.Service] && f.workers[rec.Worker].Version <= rec.Version {
			f.workers[rec.Worker] = rec
		}
	case "worker_gone":
		if f.workers[rec.Worker].Version <= rec.Version {
			delete(f.workers, rec.Worker)
		}
	}
}

// row returns the row of an interval, with the current state of the workers.
func (f *fleet) row(end time.Duration, iv *interval) Row {
	row := Row{
		End: end, Workers: len(f.workers), Open: map[string]int{}, Forming: map[string]int{}, Idle: map[string]int{}, IdleByDomain: map[string]map[string]int{},
		Loads: iv.loads, Dissolved: iv.dissolved, Ended: iv.ended, Resumed: iv.resumed, FirstEvent: iv.medianFirstEvent(), Started: iv.started,
	}
	members := map[string][]record{}
	for _, w := range f.workers {
		if w.Group != "" {
			members[w.Group] = append(members[w.Group], w)
			continue
		}
		staged := noModel
		if len(w.Staged) > 0 {
			staged = w.Staged[0]
		}
		row.Idle[staged]++
		if row.IdleByDomain[w.Domain] == nil {
			row.IdleByDomain[w.Domain] = map[string]int{}
		}
		row.IdleByDomain[w.Domain][staged]++
	}
	for name, list := range members {
		model := modelOf(name)
		if slices.ContainsFunc(list, func(w record) bool { return w.State == "open" }) {
			row.Open[model]++
		} else {
			row.Forming[model] += len(list)
		}
	}
	return row
}

// modelOf returns the model of a group named MODEL.NUMBER.
func modelOf(group string) string {
	if i := strings.LastIndexByte(group, '.'); i >= 0 {
		return group[:i]
	}
	return group
}

// interval counts the events that belong to one row.
type interval struct {
	loads       map[string]int
	dissolved   map[string]int
	ended       map[int]int
	resumed     int
	firstEvents []float64 // ms
	started     int
}

func newInterval() *interval {
	return &interval{loads: map[string]int{}, dissolved: map[string]int{}, ended: map[int]int{}}
}

func (iv *interval) count(rec record) {
	switch rec.Event {
	case "order":
		if rec.Op == "stage" {
			iv.loads[rec.Model]++
		}
	case "group_dissolved":
		reason := rec.Reason
		if rec.Serving {
			reason = "serving, " + reason
		}
		iv.dissolved[reason]++
	case "request":
		iv.ended[rec.Status]++
		if rec.Resumed > 0 {
			iv.resumed++
		}
		if rec.FirstEvent > 0 {
			iv.firstEvents = append(iv.firstEvents, rec.FirstEvent)
		}
	case "started":
		iv.started++
	}
}

func (iv *interval) medianFirstEvent() time.Duration {
	if len(iv.firstEvents) == 0 {
		return 0
	}
	slices.Sort(iv.firstEvents)
	return time.Duration(iv.firstEvents[len(iv.firstEvents)/2] * float64(time.Millisecond))
}
