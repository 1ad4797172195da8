package deps

import (
	"slices"
	"strings"
	"time"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/throttle"
)

// EdgeStatus is the state of a daemon as operators see it: closed data halls, requests that are
// held back, and workers that signal backpressure.
type EdgeStatus struct {
	Node    string `json:"node"`
	Hall    string `json:"hall"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	// EvidenceAgeMs is how long ago the request was sent to the store whose response last
	// confirmed the closed halls, -1 if the store never responded.
	EvidenceAgeMs int64 `json:"evidence_age_ms"`
	// InFlight is the number of requests in flight, in all halls.
	InFlight int64 `json:"under_way"`
	// ClosedHalls are the halls that get no further requests from this daemon, sorted by name.
	ClosedHalls []ClosedHall `json:"closed_halls"`
	// HeldRequests are the requests that are sent to no worker, sorted by fingerprint.
	HeldRequests []HeldRequest `json:"held_requests"`
	// Store is the state of the store's tables, sorted by name.
	Store []TableStatus `json:"store"`
	// ThrottledWorkers are the workers that signal backpressure, sorted by id.
	ThrottledWorkers []ThrottledWorker `json:"asking_workers"`
}

// TableStatus is the position of the store as of the last update of a table.
type TableStatus struct {
	Table   string `json:"table"`
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
	// AgeMs is how long ago the request was sent to the store, -1 if the store never responded.
	AgeMs int64 `json:"age_ms"`
}

// ThrottledWorker is a worker that signals backpressure in its responses.
type ThrottledWorker struct {
	Worker  string `json:"worker"`
	Service string `json:"service"`
	Hall    string `json:"hall"`
	// Limit is the number of requests per second that the worker accepts from all daemons
	// together, LimitedMs for how long it has set that limit, -1 if it has none.
	Limit     float64 `json:"limit"`
	LimitedMs int64   `json:"limited_ms"`
	// PausedMs is how much longer the worker accepts nothing from this daemon, 0 if it isn't
	// paused.
	PausedMs int64 `json:"paused_ms"`
	// LeavingMs is how long ago the worker first reported that it is leaving, -1 if it isn't.
	LeavingMs int64 `json:"leaving_ms"`
}

// HeldRequest is a request that is held back since it crashes workers.
type HeldRequest struct {
	Fingerprint string `json:"fingerprint"`
	// StoreVersion is the store's version of its row, 0 while there is none. Learned is when
	// this daemon learned of the hold, and LearnedMs how long ago that was.
	StoreVersion uint64    `json:"store_version"`
	Learned      time.Time `json:"known"`
	LearnedMs    int64     `json:"known_ms"`
	// Charge is the number of crashes attributed to the request, Workers are some of the
	// workers that crashed while running it.
	Charge  float64  `json:"charge"`
	Workers []string `json:"workers"`
	// Parts are the fingerprints of the parts of prompts that are held back together, none if
	// the hold is of a single request.
	Parts []string `json:"parts"`
}

// ClosedHall is a hall that the operator closed.
type ClosedHall struct {
	Hall string `json:"hall"`
	// StoreVersion is the store's version at which the hall was closed. Learned is when this
	// daemon learned of it, and LearnedMs how long ago that was.
	StoreVersion uint64    `json:"store_version"`
	Learned      time.Time `json:"known"`
	LearnedMs    int64     `json:"known_ms"`
	// InFlight is the number of this daemon's requests that still run in the hall, Targets the
	// workers and groups that run them.
	InFlight int            `json:"under_way"`
	Targets  []TargetStatus `json:"targets"`
}

// TargetStatus is a worker, or a group named by its head, that has requests in flight.
type TargetStatus struct {
	Target   string `json:"target"`
	Worker   string `json:"worker"`
	InFlight int    `json:"under_way"`
}

// Status returns the current state of this daemon.
func (e *Edge) Status(now time.Time) EdgeStatus {
	facts := e.Placement.Facts()
	s := EdgeStatus{
		Node:          e.settings.Current().Name(),
		Hall:          e.settings.Current().Hall(),
		Version:       Version,
		Ready:         e.Ready(),
		EvidenceAgeMs: -1,
		InFlight:      e.Server.InFlight(),
		ClosedHalls:   []ClosedHall{},
	}
	if !facts.Evidence().IsZero() {
		s.EvidenceAgeMs = now.Sub(facts.Evidence()).Milliseconds()
	}
	for _, c := range facts.Closings() {
		hall := ClosedHall{Hall: c.Hall, StoreVersion: c.Version, Learned: c.ObservedAt, LearnedMs: now.Sub(c.ObservedAt).Milliseconds(), Targets: []TargetStatus{}}
		for _, t := range e.Balancer.InFlight() {
			if t.Worker.Hall == c.Hall {
				hall.InFlight += t.Requests
				hall.Targets = append(hall.Targets, TargetStatus{Target: t.Target, Worker: t.Worker.ID, InFlight: t.Requests})
			}
		}
		s.ClosedHalls = append(s.ClosedHalls, hall)
	}
	s.Store = e.followers.status(now)
	s.HeldRequests = heldRequests(e.Guard.Holds(), now)
	s.ThrottledWorkers = throttledWorkers(e.Throttle.Constrained(now), now)
	return s
}

func throttledWorkers(throttled []throttle.WorkerConstraints, now time.Time) []ThrottledWorker {
	msSince := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return now.Sub(at).Milliseconds()
	}
	list := []ThrottledWorker{}
	for _, a := range throttled {
		w := ThrottledWorker{Worker: a.Worker, Service: a.Service, Hall: a.Hall, Limit: a.Rate, LimitedMs: msSince(a.LimitedSince), LeavingMs: msSince(a.LeavingSince)}
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
			Learned: h.ReceivedAt, LearnedMs: now.Sub(h.ReceivedAt).Milliseconds(), Charge: h.Charge, Workers: h.Workers, Parts: quarantine.Strings(h.Parts),
		})
	}
	slices.SortFunc(list, func(a, b HeldRequest) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
