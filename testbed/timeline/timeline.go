package timeline

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"
)

// Row is what the logs tell of one span of time and of the moment at its end.
type Row struct {
	// At is the end of the span.
	At time.Duration
	// Workers are those listed that may join groups.
	Workers int
	// Open are the open groups by model, and Forming the workers in groups that aren't.
	Open, Forming map[string]int
	// Idle are the workers in no group by the model on their host, "none" if there is
	// none, and IdleIn the same by domain.
	Idle   map[string]int
	IdleIn map[string]map[string]int
	// Loads are the loads that began in the span, by model.
	Loads map[string]int
	// Dissolved are the groups that were given up in the span, by reason; those that
	// could still be sent requests have "serving, " before it.
	Dissolved map[string]int
	// Ended are the requests that ended in the span, by status, and Resumed how many of
	// them moved to another group in the middle.
	Ended   map[int]int
	Resumed int
	// FirstEvent is the median time to a first event, 0 without any.
	FirstEvent time.Duration
	// Started are the daemons that started in the span.
	Started int
}

// nothingStaged stands for a host without a model.
const nothingStaged = "none"

// Read returns the rows of daemons' logs, one for each step from 0 on. What was before 0
// counts towards the first.
func Read(r io.Reader, step time.Duration) ([]Row, error) {
	records, err := read(r)
	if err != nil || len(records) == 0 {
		return nil, err
	}
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	fleet := newFleet(records)
	var rows []Row
	span := newSpan()
	end := step
	for _, rec := range records {
		for rec.at >= end {
			rows = append(rows, fleet.row(end, span))
			span = newSpan()
			end += step
		}
		fleet.take(rec)
		span.take(rec)
	}
	return append(rows, fleet.row(end, span)), nil
}

// fleet is the workers as all daemons together know them.
type fleet struct {
	// grouped are the services whose workers form groups.
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

// take takes in a line about a worker. Daemons tell of the same row at different times;
// the newest version counts.
func (f *fleet) take(rec record) {
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

// row returns the row of a span that ends now.
func (f *fleet) row(at time.Duration, s *span) Row {
	row := Row{
		At: at, Workers: len(f.workers), Open: map[string]int{}, Forming: map[string]int{}, Idle: map[string]int{}, IdleIn: map[string]map[string]int{},
		Loads: s.loads, Dissolved: s.dissolved, Ended: s.ended, Resumed: s.resumed, FirstEvent: s.median(), Started: s.started,
	}
	members := map[string][]record{}
	for _, w := range f.workers {
		if w.Group != "" {
			members[w.Group] = append(members[w.Group], w)
			continue
		}
		staged := nothingStaged
		if len(w.Staged) > 0 {
			staged = w.Staged[0]
		}
		row.Idle[staged]++
		if row.IdleIn[w.Domain] == nil {
			row.IdleIn[w.Domain] = map[string]int{}
		}
		row.IdleIn[w.Domain][staged]++
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

// modelOf returns the model in a group's name, which a number follows.
func modelOf(group string) string {
	if i := strings.LastIndexByte(group, '.'); i >= 0 {
		return group[:i]
	}
	return group
}

// span is what happened in a span of time.
type span struct {
	loads     map[string]int
	dissolved map[string]int
	ended     map[int]int
	resumed   int
	firsts    []float64 // ms
	started   int
}

func newSpan() *span {
	return &span{loads: map[string]int{}, dissolved: map[string]int{}, ended: map[int]int{}}
}

func (s *span) take(rec record) {
	switch rec.Event {
	case "order":
		if rec.Op == "stage" {
			s.loads[rec.Model]++
		}
	case "group_dissolved":
		reason := rec.Reason
		if rec.Serving {
			reason = "serving, " + reason
		}
		s.dissolved[reason]++
	case "request":
		s.ended[rec.Status]++
		if rec.Resumed > 0 {
			s.resumed++
		}
		if rec.FirstEvent > 0 {
			s.firsts = append(s.firsts, rec.FirstEvent)
		}
	case "started":
		s.started++
	}
}

func (s *span) median() time.Duration {
	if len(s.firsts) == 0 {
		return 0
	}
	slices.Sort(s.firsts)
	return time.Duration(s.firsts[len(s.firsts)/2] * float64(time.Millisecond))
}
