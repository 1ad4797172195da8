// Package mirror follows the platform's table: it polls for the rows that
// changed and hands them to the parts of the daemon that keep state.
package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/table"
)

// gapPolls is how many polls in a row must have failed for a gap.
const gapPolls = 3

// never is the age of a poll that hasn't been.
const never = time.Duration(1<<63 - 1)

// Store is what the mirror reads.
type Store interface {
	Scan(ctx context.Context, after uint64, prefixes ...string) (table.Changes, error)
	VMs(ctx context.Context, after uint64) ([]fleet.VM, uint64, error)
}

// Follower takes in the changes under one prefix. Observed is when the read
// that brought them was begun.
type Follower func(rows []table.Row, observed time.Time)

// Mirror polls the table and the VM list.
type Mirror struct {
	store     Store
	interval  time.Duration
	now       func() time.Time
	prefixes  []string
	followers []Follower
	onVMs     func([]fleet.VM)
	onGap     func()
	onRead    func(begun time.Time)

	mu        sync.Mutex // serialises polls
	version   uint64
	vmVersion uint64
	lastGood  atomic.Pointer[time.Time] // when the last good poll was begun
	kick      chan struct{}
}

// New returns a mirror that polls at an interval once Run is called.
func New(store Store, interval time.Duration, now func() time.Time, onVMs func([]fleet.VM)) *Mirror {
	return &Mirror{
		store:    store,
		interval: interval,
		now:      now,
		onVMs:    onVMs,
		kick:     make(chan struct{}, 1),
	}
}

// Follow hands all changes under a prefix to a follower. It is to be called
// before Run.
func (m *Mirror) Follow(prefix string, f Follower) {
	m.prefixes = append(m.prefixes, prefix)
	m.followers = append(m.followers, f)
}

// OnGap calls f when the platform answers again after a time without answers,
// before any change is handed on: what stood still meanwhile proves nothing.
func (m *Mirror) OnGap(f func()) { m.onGap = f }

// OnRead calls f after each good read of the table, once its changes were handed
// on, with the moment at which the read was begun.
func (m *Mirror) OnRead(f func(begun time.Time)) { m.onRead = f }

// Run polls until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	ticker := time.NewTicker(m.interval)
	defer ticker.Stop()
	for {
		m.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.kick:
		}
	}
}

// Kick asks for a poll at once, after a change of our own.
func (m *Mirror) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Poll reads what changed. A failed read changes nothing and is tried again at
// the next interval.
func (m *Mirror) Poll(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pollVMs(ctx)
	m.pollTable(ctx)
}

func (m *Mirror) pollTable(ctx context.Context) {
	begun := m.now()
	changes, err := m.store.Scan(ctx, m.version, m.prefixes...)
	if err != nil {
		return
	}
	if m.Age() > gapPolls*m.interval && m.onGap != nil {
		m.onGap()
	}
	if changes.Version() > m.version {
		m.hand(changes, begun)
		m.version = changes.Version()
	}
	m.lastGood.Store(&begun)
	if m.onRead != nil {
		m.onRead(begun)
	}
}

func (m *Mirror) pollVMs(ctx context.Context) {
	vms, version, err := m.store.VMs(ctx, m.vmVersion)
	if err == nil && version > m.vmVersion {
		m.onVMs(vms)
		m.vmVersion = version
	}
}

func (m *Mirror) hand(changes table.Changes, begun time.Time) {
	for i, prefix := range m.prefixes {
		var rows []table.Row
		for _, row := range changes.Rows() {
			if row.Under(prefix) {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			m.followers[i](rows, begun)
		}
	}
}

// Age returns how long ago the last good poll was begun.
func (m *Mirror) Age() time.Duration {
	last := m.lastGood.Load()
	if last == nil {
		return never
	}
	return m.now().Sub(*last)
}
