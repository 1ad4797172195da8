package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// outputReportInterval is the least time between two outputs on a part that are reported.
	outputReportInterval = 100 * time.Millisecond
	// maxWatched bounds how many parts are watched.
	maxWatched = 4096
)

// HeldParts returns a hold of parts that a prompt has all of, false if there is none.
func (g *Guard) HeldParts(parts []Fingerprint) (Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range parts {
		if h, held := g.heldLocked(f); held && len(h.Parts) == 1 {
			return h, true
		}
	}
	for _, s := range g.sets {
		if !s.Parts.In(parts) {
			continue
		}
		if h, held := g.heldLocked(s.Fingerprint); held {
			return h, true
		}
	}
	return Hold{}, false
}

// updateLocked updates what derives from the holds. The caller holds the lock.
func (g *Guard) updateLocked() {
	g.sets = nil
	for _, h := range g.held {
		if len(h.Parts) > 1 {
			g.sets = append(g.sets, h)
		}
	}
	g.active.Store(len(g.held) > 0)
}

// PartHolds returns the number of holds of parts.
func (g *Guard) PartHolds() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, h := range g.held {
		if len(h.Parts) > 0 {
			n++
		}
	}
	return n
}

// MarkOutput records that a request with the parts of a prompt was settled. It returns the output to
// report: that on parts that are watched or held back.
func (g *Guard) MarkOutput(parts []Fingerprint) (report []Output) { return g.markParts(parts, false) }

// MarkPartsCompleted is MarkOutput for a request that was completed.
func (g *Guard) MarkPartsCompleted(parts []Fingerprint) (report []Output) {
	return g.markParts(parts, true)
}

func (g *Guard) markParts(parts []Fingerprint, completed bool) (report []Output) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if len(g.outputs) >= maxFinished {
		g.outputsBefore = g.outputs
		g.outputs = make(map[Fingerprint]progress, maxFinished)
	}
	for _, f := range parts {
		p := g.progressLocked(f)
		p.settled = now
		if completed {
			p.completed = now
		}
		g.outputs[f] = p
		if now.Before(g.watched[f]) || g.isHeldPartLocked(f) {
			report = append(report, Output{Part: f, At: now, Completed: completed})
		}
	}
	return g.limitReportsLocked(report, now)
}

// progressLocked returns how far requests with a part got here. The caller holds the lock.
func (g *Guard) progressLocked(f Fingerprint) progress {
	p, found := g.outputs[f]
	if !found {
		p = g.outputsBefore[f]
	}
	return p
}

// outputKind is what is limited in its number of reports.
type outputKind struct {
	part      Fingerprint
	completed bool
}

// limitReportsLocked returns the output on parts that was not reported within outputReportInterval,
// and records that it is reported now. The caller holds the lock.
func (g *Guard) limitReportsLocked(report []Output, now time.Time) []Output {
	report = slices.DeleteFunc(report, func(o Output) bool {
		at, found := g.reported[outputKind{o.Part, o.Completed}]
		return found && now.Sub(at) < outputReportInterval
	})
	if len(g.reported) > maxWatched {
		clear(g.reported)
	}
	for _, o := range report {
		g.reported[outputKind{o.Part, o.Completed}] = now
	}
	return report
}

// Watch makes MarkOutput return output on parts for WatchDuration. It returns the last output on
// them before.
func (g *Guard) Watch(parts []Fingerprint) []Output {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	maps.DeleteFunc(g.watched, func(_ Fingerprint, until time.Time) bool { return now.After(until) })
	for _, f := range parts {
		if len(g.watched) < maxWatched {
			g.watched[f] = now.Add(WatchDuration)
		}
	}
	return g.outputsLocked(parts)
}

// Suspected reports whether daemons were asked lately about a part of a prompt and no request with it has been
// completed here since.
func (g *Guard) Suspected(parts []Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return slices.ContainsFunc(parts, func(f Fingerprint) bool {
		until := g.watched[f]
		return now.Before(until) && !g.progressLocked(f).completed.After(until.Add(-WatchDuration))
	})
}

// isHeldPartLocked reports whether a part is held back, alone or with others. The caller holds
// the lock.
func (g *Guard) isHeldPartLocked(f Fingerprint) bool {
	if h, held := g.held[f]; held && len(h.Parts) > 0 {
		return true
	}
	return slices.ContainsFunc(g.sets, func(h Hold) bool { return slices.Contains(h.Parts, f) })
}

// Outputs returns when this daemon last saw output on each of the given parts. Parts without
// output are left out.
func (g *Guard) Outputs(parts []Fingerprint) []Output {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outputsLocked(parts)
}

// outputsLocked implements Outputs. The caller holds the lock.
func (g *Guard) outputsLocked(parts []Fingerprint) []Output {
	var list []Output
	for _, f := range parts {
		p := g.progressLocked(f)
		if !p.completed.IsZero() {
			list = append(list, Output{Part: f, At: p.completed, Completed: true})
		}
		if p.settled.After(p.completed) {
			list = append(list, Output{Part: f, At: p.settled})
		}
	}
	return list
}
