package presence

import (
	"maps"
	"slices"
	"time"

	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/groups"
)

// targetKey identifies a group by its domain and epoch, or a plain VM by its domain and ID.
type targetKey struct {
	domain string
	epoch  uint64
	vm     string
}

// notePresent records which targets a report shows to be present, and forgets those that were not
// for long. The caller holds the lock.
func (t *Tracker) notePresent(r groups.Report) {
	present := r.Presence()
	for _, epoch := range present.Epochs {
		t.lastPresent[targetKey{domain: r.Domain(), epoch: epoch}] = present.Evidence
	}
	for _, vm := range present.Plain {
		t.lastPresent[targetKey{domain: r.Domain(), vm: vm}] = present.Evidence
	}
	now := t.opts.Now()
	maps.DeleteFunc(t.lastPresent, func(key targetKey, at time.Time) bool {
		return key.domain == r.Domain() && now.Sub(at) > t.opts.Timing.Absent
	})
}

// Unknown reports whether a pool without targets may have some that can't be told apart from lost
// ones at present: the evidence on them is too old, since this daemon has stalled or has just
// started, or they were present a short time ago and have not been found lost. It then triggers a
// refresh.
func (t *Tracker) Unknown(pool string) bool {
	if !t.mayHaveTargets(pool) {
		return false
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return true
}

func (t *Tracker) mayHaveTargets(pool string) bool {
	vms := t.opts.Fleet.InPool(pool)
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, g := range t.opts.Groups.All() {
		_, stopped := t.stopped[g.ID()]
		if g.Pool() != pool || g.State() != groups.Serving || stopped {
			continue
		}
		if !t.fresh(t.reports[g.Domain()]) || t.presentLately(targetKey{domain: g.Domain(), epoch: g.Epoch()}) {
			return true
		}
	}
	return slices.ContainsFunc(vms, func(vm fleet.VM) bool {
		if t.leaving(vm) {
			return false
		}
		r, reported := t.reports[vm.Domain()]
		stale := !t.fresh(r) && (!reported || slices.Contains(r.Presence().Plain, vm.ID()))
		return stale || t.presentLately(targetKey{domain: vm.Domain(), vm: vm.ID()})
	})
}

// presentLately reports whether a target was present within the time after which silent members are
// given up. The caller holds the lock.
func (t *Tracker) presentLately(key targetKey) bool {
	at, known := t.lastPresent[key]
	return known && t.opts.Now().Sub(at) <= t.opts.Timing.Absent
}
