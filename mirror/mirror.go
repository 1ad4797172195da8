// Package mirror polls the platform's table for changed rows and passes them to the
// parts of the daemon that cache them.
package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/table"
)

// outagePolls is the number of poll intervals without a successful poll that count as
// an outage.
const outagePolls = 3

// neverPolled is the age before the first successful poll.
const neverPolled = time.Duration(1<<63 - 1)

// Store is the part of the platform that the mirror reads.
type Store interface {
	Scan(ctx context.Context, after uint64, prefixes ...string) (table.Changes, error)
	VMs(ctx context.Context, after uint64) ([]fleet.VM, uint64, error)
}

// Handler applies the changed rows under one prefix. observed is when the read that
// returned them started.
type Handler func(rows []table.Row, observed time.Time)

// Mirror polls the table and the VM list.
type Mirror struct {
	store      Store
	interval   time.Duration
	now        func() time.Time
	prefixes   []string
	handlers   []Handler
	onVMs      func([]fleet.VM)
	onRecovery func()
	onRead     func(started time.Time)

	mu          sync.Mutex // serializes polls
	version     uint64
	vmVersion   uint64
	lastSuccess atomic.Pointer[time.Time] // when the last successful poll started
	trigger     chan struct{}
}

// New returns a mirror that polls at an interval once Run is called.
func New(store Store, interval time.Duration, now func() time.Time, onVMs func([]fleet.VM)) *Mirror {
	return &Mirror{
		store:    store,
		interval: interval,
		now:      now,
		onVMs:    onVMs,
		trigger:  make(chan struct{}, 1),
	}
}

// Subscribe passes all changes under a prefix to a handler. It must be called before
// Run.
func (m *Mirror) Subscribe(prefix string, f Handler) {
	m.prefixes = append(m.prefixes, prefix)
	m.handlers = append(m.handlers, f)
}

// OnRecovery sets f to be called when the platform answers again after an outage,
// before any changes are passed on. Rows that didn't change during the outage don't
// show that their writers are gone.
func (m *Mirror) OnRecovery(f func()) { m.onRecovery = f }

// OnRead sets f to be called after each successful read of the table, once its changes
// are passed on, with the time at which the read started.
func (m *Mirror) OnRead(f func(started time.Time)) { m.onRead = f }

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
		case <-m.trigger:
		}
	}
}

// PollNow triggers a poll without waiting for the interval, such as after a write by
// this daemon.
func (m *Mirror) PollNow() {
	select {
	case m.trigger <- struct{}{}:
	default:
	}
}

// Poll reads the changes since the last poll. A failed read changes nothing and is
// retried at the next interval.
func (m *Mirror) Poll(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pollVMs(ctx)
	m.pollTable(ctx)
}

func (m *Mirror) pollTable(ctx context.Context) {
	started := m.now()
	changes, err := m.store.Scan(ctx, m.version, m.prefixes...)
	if err != nil {
		return
	}
	if m.Age() > outagePolls*m.interval && m.onRecovery != nil {
		m.onRecovery()
	}
	if changes.Version() > m.version {
		m.dispatch(changes, started)
		m.version = changes.Version()
	}
	m.lastSuccess.Store(&started)
	if m.onRead != nil {
		m.onRead(started)
	}
}

func (m *Mirror) pollVMs(ctx context.Context) {
	vms, version, err := m.store.VMs(ctx, m.vmVersion)
	if err == nil && version > m.vmVersion {
		m.onVMs(vms)
		m.vmVersion = version
	}
}

func (m *Mirror) dispatch(changes table.Changes, started time.Time) {
	for i, prefix := range m.prefixes {
		var rows []table.Row
		for _, row := range changes.Rows() {
			if row.HasPrefix(prefix) {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			m.handlers[i](rows, started)
		}
	}
}

// Age returns the time since the last successful poll started.
func (m *Mirror) Age() time.Duration {
	last := m.lastSuccess.Load()
	if last == nil {
		return neverPolled
	}
	return m.now().Sub(*last)
}
