package deps

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/common/drain"
	"github.com/pointpass/pointpass/health"
	"github.com/pointpass/pointpass/node"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
)

// roleDurations is one duration for each role of a daemon between the store and other daemons.
type roleDurations struct {
	// A standalone daemon reads the store for itself only, a direct relay also for its data
	// hall.
	standalone, directRelay time.Duration
	// The root reads the store for the relays of several halls, which pass on its updates.
	root, relayBehindRoot time.Duration
	// A leaf reads from a relay.
	leaf time.Duration
}

// pollTiming is how often a table is polled.
type pollTiming struct {
	// longPoll is how long a poll waits while nothing changes, debounce is how long changes
	// accumulate before the next poll.
	longPoll, debounce roleDurations
	// maxAge is the maximum age of a relay's evidence. It covers two consecutive long polls and
	// their latency, since evidence dates from when a poll was sent, and one more poll behind a
	// root.
	maxAge time.Duration
}

// The poll timing of each table. A configuration change must take effect everywhere within two
// seconds at the shortest bound, and a daemon must notice before that when its relay loses the
// store. Workers have four seconds. The lease's table is read by the holder and to find other
// daemons. A root polls more often than a relay for its own hall, since its evidence gets
// older on the way through other relays.
var (
	configTiming = pollTiming{
		longPoll: roleDurations{standalone: maxConfigWait, directRelay: 600 * time.Millisecond, root: 350 * time.Millisecond, relayBehindRoot: 350 * time.Millisecond, leaf: 600 * time.Millisecond},
		maxAge:   1400 * time.Millisecond,
	}
	workersTiming = pollTiming{
		longPoll: roleDurations{standalone: 4 * time.Second, directRelay: time.Second, root: 600 * time.Millisecond, relayBehindRoot: 600 * time.Millisecond, leaf: time.Second},
		debounce: roleDurations{standalone: 400 * time.Millisecond, directRelay: 200 * time.Millisecond, root: 100 * time.Millisecond, relayBehindRoot: 50 * time.Millisecond, leaf: 150 * time.Millisecond},
		maxAge:   2500 * time.Millisecond,
	}
	leaseTiming = pollTiming{
		longPoll: roleDurations{standalone: 3 * time.Second, directRelay: 700 * time.Millisecond, root: 500 * time.Millisecond, relayBehindRoot: 450 * time.Millisecond, leaf: 700 * time.Millisecond},
		debounce: roleDurations{standalone: 1200 * time.Millisecond, directRelay: 600 * time.Millisecond, root: 400 * time.Millisecond, relayBehindRoot: 100 * time.Millisecond, leaf: 150 * time.Millisecond},
		maxAge:   2200 * time.Millisecond,
	}
)

const (
	// minConfigWait and maxConfigWait limit how long the store holds a poll for a newer
	// configuration. configSlack is the latency allowed for two responses beyond that: at least
	// 200 ms each at a store that is fifty times slower than usual.
	minConfigWait = 150 * time.Millisecond
	maxConfigWait = 1500 * time.Millisecond
	configSlack   = 600 * time.Millisecond
	// holderDebounce is how long changes of workers accumulate at the lease holder, where each
	// step of forming a group waits until the previous one shows. It is far below the bounds on
	// leaving workers, and long enough that the results of a group's orders show in one
	// response.
	holderDebounce = 120 * time.Millisecond
	// maxControlAge is the maximum age of the lease's table to act on it.
	maxControlAge = 4 * time.Second
	// firstStartDelay is how long a daemon waits at a first start before it reads which other
	// daemons exist, until most of them have announced themselves. discoveryTimeout is how long
	// it then waits for a response before it also reads the other tables from the store. With the
	// list of daemons first, a starting daemon reads one small table from the store and the
	// long ones from another daemon.
	firstStartDelay  = time.Second
	discoveryTimeout = 700 * time.Millisecond
)

// timingOf returns the poll timing of a table.
func timingOf(table string) pollTiming {
	switch table {
	case platform.ConfigTable:
		return configTiming
	case platform.WorkersTable:
		return workersTiming
	}
	return leaseTiming
}

// followedTables are the tables of the store that a daemon follows.
var followedTables = []string{platform.ConfigTable, platform.WorkersTable, replica.LeaseTable}

// tableFollowers follows the store's tables, through other daemons where that saves calls to the
// store. The lease is read and written through it.
type tableFollowers struct {
	store.Writer
	edge   *Edge
	reader *relay.Reader
	caches map[string]*relay.Cache
	peers  *relay.Client
	eras   *eraTracker
	// enlister writes the rows of other daemons.
	enlister *replica.Enlister
	seeds    *seedFinder
	// directory holds the contents of the lease's table.
	directory *replica.Directory
	control   atomic.Pointer[controlView]
	// warnings are read from other daemons only. lastWarningsRead is when that last succeeded.
	warnings         *relay.Reader
	lastWarningsRead atomic.Pointer[time.Time]
	// peersLoaded is closed once the other daemons have been read.
	peersLoaded chan struct{}
	peersOnce   sync.Once
}

// controlView is the last observed state of the other daemons.
type controlView struct {
	replica.Control
	// upstreams are the daemons to read from in place of the store.
	upstreams []relay.Member
	// isRelay reports whether other daemons of the hall read from this one, isRoot whether the
	// relays of other halls do.
	isRelay, isRoot bool
	// settings are the settings that the roles were derived from.
	settings *node.Settings
}

func newTableFollowers(e *Edge, client storeClient, peers *relay.Client) *tableFollowers {
	f := &tableFollowers{edge: e, peers: peers, caches: map[string]*relay.Cache{}, directory: replica.NewDirectory(clock.Now), seeds: newSeedFinder(), peersLoaded: make(chan struct{})}
	f.eras = newEraTracker(e.Metrics, e.Log)
	calls := &storeCalls{client: client, eras: f.eras, set: e.Metrics, log: e.Log, upstreams: func() int { return len(f.control.Load().upstreams) }}
	f.Writer = calls
	f.enlister = replica.NewEnlister(calls)
	for _, table := range followedTables {
		f.caches[table] = relay.NewCache(table, timingOf(table).maxAge, clock.Now).EnableDiffs()
	}
	f.caches[health.Table] = relay.NewCache(health.Table, health.MaxAge, clock.Now)
	f.control.Store(&controlView{})
	f.reader = relay.NewReader(relay.ReaderOptions{
		Direct:           calls,
		Peers:            peers,
		Upstreams:        f.upstreams,
		IsRelay:          func() bool { return f.control.Load().isRelay },
		MaxAge:           func(table string) time.Duration { return timingOf(table).maxAge },
		ReconnectTimeout: func() time.Duration { return e.settings.Bounds().ReconnectDeadline },
		Now:              clock.Now,
		Log:              e.Log,
	})
	f.warnings = relay.NewReader(relay.ReaderOptions{
		Direct:           noStore{},
		Peers:            peers,
		Upstreams:        f.warningSources,
		IsRelay:          func() bool { return f.control.Load().isRelay },
		MaxAge:           func(string) time.Duration { return health.MaxAge },
		ReconnectTimeout: func() time.Duration { return 0 },
		Now:              clock.Now,
		Log:              e.Log,
	})
	return f
}

// handler returns the handler for other daemons. It passes what they report to reports. A stop doesn't wait for what they
// ask: most of it is long polls.
func (f *tableFollowers) handler(reports relay.ReportHandler) http.Handler {
	var caches []*relay.Cache
	for _, c := range f.caches {
		caches = append(caches, c)
	}
	return drain.Background(relay.NewHandler(relay.NewServer(reports, clock.Now, caches...), f.edge.Clients.bodies))
}

// Run follows all tables until ctx ends, starting with the one that lists the other daemons.
func (f *tableFollowers) Run(ctx context.Context) {
	var running sync.WaitGroup
	f.findSeed(ctx)
	if f.edge.settings.Current().FirstStart() {
		sleep(ctx, firstStartDelay)
	}
	running.Go(func() { f.follower(replica.LeaseTable, f.applyControl).Run(ctx) })
	select {
	case <-f.peersLoaded:
	case <-ctx.Done():
	case <-time.After(discoveryTimeout):
	}
	running.Go(func() { f.configFollower().Run(ctx) })
	running.Go(func() { f.follower(platform.WorkersTable, f.edge.applyWorkers).Run(ctx) })
	running.Go(func() { f.followWarnings(ctx) })
	running.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *tableFollowers) follower(table string, apply func(store.Update)) *store.Follower {
	cache := f.caches[table]
	return &store.Follower{
		Reader:   f.reader,
		Table:    table,
		Wait:     func() time.Duration { return f.longPoll(table) },
		Debounce: func() time.Duration { return f.debounce(table) },
		Apply: func(u store.Update) {
			if u.Restored {
				f.logRestored(table, cache.At(), u)
			}
			if u.Restored && table == platform.ConfigTable {
				cached, _ := cache.Rows()
				u.Rows = keepConfig(cached.Rows, u)
			}
			cache.Apply(u)
			apply(u)
		},
		ReportHealth: f.edge.storeHealth,
		Now:          clock.Now,
	}
}

// status returns the state of the followed tables.
func (f *tableFollowers) status(now time.Time) []TableStatus {
	var tables []TableStatus
	for _, table := range slices.Sorted(slices.Values(followedTables)) {
		cache := f.caches[table]
		t := TableStatus{Table: table, Era: cache.At().Era(), Version: cache.At().Version(), AgeMs: -1}
		if at := cache.Evidence(); !at.IsZero() {
			t.AgeMs = now.Sub(at).Milliseconds()
		}
		tables = append(tables, t)
	}
	return tables
}

// logRestored logs that a table was re-read after the store was restored from an older copy.
func (f *tableFollowers) logRestored(table string, before store.Position, u store.Update) {
	f.edge.Log.Warn().Str("event", "table_restored").Str("table", table).Uint64("era", u.At.Era()).Uint64("version", u.At.Version()).
		Uint64("era_before", before.Era()).Uint64("version_before", before.Version()).Int("rows", len(u.Rows)).Dur("evidence_age", clock.Since(u.Evidence)).Msg("")
}

// longPoll returns how long a poll of a table may wait now.
func (f *tableFollowers) longPoll(table string) time.Duration {
	p := timingOf(table)
	limit := p.longPoll.standalone
	if table == platform.ConfigTable {
		if !f.edge.stall.Fresh() {
			return 0 // requests wait for the response
		}
		limit = configWait(min(maxEvidenceAge(f.edge.settings.Bounds().MaxRevocationDelay), maxDenyAge))
	}
	return min(limit, f.durationFor(table, p.longPoll))
}

// pollsAsRelay reports whether a standalone daemon polls a table as often as a relay. Where workers
// start cold or set limits, the view of the other daemons must be fresh, which costs 0.5 more calls
// per second.
func (f *tableFollowers) pollsAsRelay(table string) bool {
	return table == replica.LeaseTable && (f.edge.cold.enabled() || f.edge.Throttle.Limited() > 0)
}

// configWait returns how long the store holds a poll for a newer configuration. Each response is
// evidence as of when its poll was sent. While the store responds, evidence is therefore at most
// twice as old as the wait, and must stay below the given age.
func configWait(age time.Duration) time.Duration {
	return min(max((age-configSlack)/2, minConfigWait), maxConfigWait)
}

// debounce returns how long changes of a table accumulate now.
func (f *tableFollowers) debounce(table string) time.Duration {
	p := timingOf(table)
	if _, held := f.edge.Lease.Held(); held && table == platform.WorkersTable {
		return holderDebounce
	}
	return f.durationFor(table, p.debounce)
}

// durationFor returns the duration for this daemon's current role.
func (f *tableFollowers) durationFor(table string, t roleDurations) time.Duration {
	view := f.control.Load()
	direct := f.reader.Direct()
	switch {
	case !direct && view.isRelay:
		return t.relayBehindRoot
	case !direct:
		return t.leaf
	case view.isRoot:
		return t.root
	case view.isRelay || f.pollsAsRelay(table):
		return t.directRelay
	}
	return t.standalone
}

// applyControl applies an update of the lease's table, which lists the other daemons.
func (f *tableFollowers) applyControl(u store.Update) {
	changed := f.directory.Apply(u)
	latest, _ := f.directory.Snapshot()
	daemons := quota.View{Rows: latest.NodeVersions, Evidence: u.Evidence}
	f.edge.cold.learnDaemons(daemons)
	f.edge.retries.learnDaemons(daemons)
	view := *f.control.Load()
	changed = changed || view.Holder != latest.Holder
	view.Control = latest.Control
	if settings := f.edge.settings.Current(); changed || settings != view.settings {
		f.assignRole(&view, settings)
	}
	f.control.Store(&view)
	if f.isHolder() {
		f.edge.Warnings.StartTerm(f.edge.Lease.Term())
	}
	if u.Restored {
		f.edge.quarantine.applyRestored(latest.OtherRows)
	}
	f.edge.quarantine.applyRows(latest.OtherRows)
	f.peersOnce.Do(func() { close(f.peersLoaded) })
}

// assignRole determines this daemon's role between the store and the other daemons.
func (f *tableFollowers) assignRole(view *controlView, settings *node.Settings) {
	view.settings = settings
	var members []relay.Member
	for _, n := range view.Nodes {
		members = append(members, relay.Member(n))
	}
	halls := settings.HallRegions()
	region := func(hall string) string { return halls[hall] }
	self := relay.Member(f.edge.self())
	fleet := relay.Fleet{Members: members, Region: region, Holder: view.Holder}
	view.upstreams = fleet.Upstreams(self)
	view.isRelay = relay.IsRelay(self, members)
	view.isRoot = fleet.IsRoot(self)
	for _, table := range followedTables {
		f.caches[table].KeepHistory(view.isRelay || view.isRoot)
	}
}

// holder returns the lease holder, and false if its address is missing.
func (f *tableFollowers) holder() (replica.Node, bool) {
	view := f.control.Load()
	n, ok := view.Node(view.Holder)
	return n, ok && n.Addr != ""
}

// Known returns the contents of the lease's table as last read, with the earliest time that the
// store's clock can show now. It fails if they are older than maxControlAge.
func (f *tableFollowers) Known(context.Context) (replica.TableSnapshot, error) {
	latest, read := f.directory.Snapshot()
	age := clock.Since(latest.Evidence)
	if !read || age > maxControlAge {
		return replica.TableSnapshot{}, &store.CallError{Op: "rows", Err: &relay.StaleError{Addr: replica.LeaseTable, Age: age}}
	}
	return latest, nil
}
