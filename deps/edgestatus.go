package deps

import (
	"slices"
	"strings"
	"time"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/throttle"
)

// EdgeStatus is what a daemon knows of closed data halls, of requests that are held back and
// of workers that ask for less, as it tells operators.
type EdgeStatus struct {
	Node    string `json:"node"`
	Hall    string `json:"hall"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	// EvidenceAgeMs is how long ago the store was asked whose answer last confirmed which
	// halls are closed, -1 if it never answered.
	EvidenceAgeMs int64 `json:"evidence_age_ms"`
	// UnderWay is how many requests are being served, in all halls.
	UnderWay int64 `json:"under_way"`
	// ClosedHalls are those that get no further requests from here, in order of their names.
	ClosedHalls []ClosedHall `json:"closed_halls"`
	// HeldRequests are those that get to no worker, in order of their fingerprints.
	HeldRequests []HeldRequest `json:"held_requests"`
	// Store is what is known of the store's tables, in order of their names.
	Store []TableStatus `json:"store"`
	// AskingWorkers are those that ask for less than they would get, in order of their ids.
	AskingWorkers []AskingWorker `json:"asking_workers"`
}

// TableStatus is where the store's history stood when a table was last heard of.
type TableStatus struct {
	Table   string `json:"table"`
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
	// AgeMs is how long ago the store was asked, -1 if it never answered.
	AgeMs int64 `json:"age_ms"`
}

// AskingWorker is a worker that asked in its answers for less than it would get.
type AskingWorker struct {
	Worker  string `json:"worker"`
	Service string `json:"service"`
	Hall    string `json:"hall"`
	// Limit is how many requests a second it takes from all daemons together, LimitedMs for
	// how long, -1 if it names no limit.
	Limit     float64 `json:"limit"`
	LimitedMs int64   `json:"limited_ms"`
	// PausedMs is for how much longer it wants nothing of this daemon, 0 if it doesn't say.
	PausedMs int64 `json:"paused_ms"`
	// LeavingMs is for how long it has said that it leaves, -1 if it doesn't say.
	LeavingMs int64 `json:"leaving_ms"`
}

// HeldRequest is a request that is held back since it crashes workers.
type HeldRequest struct {
	Fingerprint string `json:"fingerprint"`
	// StoreVersion is the store's version of its row, 0 while there is none, Known when
	// this daemon learned of it, and KnownMs how long ago that was.
	StoreVersion uint64    `json:"store_version"`
	Known        time.Time `json:"known"`
	KnownMs      int64     `json:"known_ms"`
	// Charge is how many crashes were put down to it, Workers are some that ended under it.
	Charge  float64  `json:"charge"`
	Workers []string `json:"workers"`
}

// ClosedHall is a hall that the operator closed.
type ClosedHall struct {
	Hall string `json:"hall"`
	// StoreVersion is the store's version at which it was closed, Known when this daemon
	// learned of it, and KnownMs how long ago that was.
	StoreVersion uint64    `json:"store_version"`
	Known        time.Time `json:"known"`
	KnownMs      int64     `json:"known_ms"`
	// UnderWay is how many requests of this daemon still run there, and Targets at whom.
	UnderWay int            `json:"under_way"`
	Targets  []TargetStatus `json:"targets"`
}

// TargetStatus is a worker, or a group by its head, that requests run at.
type TargetStatus struct {
	Target   string `json:"target"`
	Worker   string `json:"worker"`
	UnderWay int    `json:"under_way"`
}

// Status returns what this daemon knows now.
func (e *Edge) Status(now time.Time) EdgeStatus {
	facts := e.Placement.Facts()
	s := EdgeStatus{
		Node:          e.settings.Current().Name(),
		Hall:          e.settings.Current().Hall(),
		Version:       Version,
		Ready:         e.Ready(),
		EvidenceAgeMs: -1,
		UnderWay:      e.Server.UnderWay(),
		ClosedHalls:   []ClosedHall{},
	}
	if !facts.Evidence().IsZero() {
		s.EvidenceAgeMs = now.Sub(facts.Evidence()).Milliseconds()
	}
	for _, c := range facts.Closings() {
		hall := ClosedHall{Hall: c.Hall, StoreVersion: c.Version, Known: c.Known, KnownMs: now.Sub(c.Known).Milliseconds(), Targets: []TargetStatus{}}
		for _, t := range e.Balancer.UnderWay() {
			if t.Worker.Hall == c.Hall {
				hall.UnderWay += t.Requests
				hall.Targets = append(hall.Targets, TargetStatus{Target: t.Target, Worker: t.Worker.ID, UnderWay: t.Requests})
			}
		}
		s.ClosedHalls = append(s.ClosedHalls, hall)
	}
	s.Store = e.following.status(now)
	s.HeldRequests = heldRequests(e.Guard.Holds(), now)
	s.AskingWorkers = askingWorkers(e.Throttle.Asking(now), now)
	return s
}

func askingWorkers(asking []throttle.Asking, now time.Time) []AskingWorker {
	since := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return now.Sub(at).Milliseconds()
	}
	list := []AskingWorker{}
	for _, a := range asking {
		w := AskingWorker{Worker: a.Worker, Service: a.Service, Hall: a.Hall, Limit: a.Rate, LimitedMs: since(a.LimitedSince), LeavingMs: since(a.LeavingSince)}
		if !a.PausedUntil.IsZero() {
			w.PausedMs = a.PausedUntil.Sub(now).Milliseconds()
		}
		list = append(list, w)
	}
	return list
}

func heldRequests(holds []quarantine.Hold, now time.Time) []HeldRequest {
	list := []HeldRequest{}
	for _, h := range holds {
		list = append(list, HeldRequest{
			Fingerprint: h.Fingerprint.String(), StoreVersion: h.Version,
			Known: h.Known, KnownMs: now.Sub(h.Known).Milliseconds(), Charge: h.Charge, Workers: h.Workers,
		})
	}
	slices.SortFunc(list, func(a, b HeldRequest) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
