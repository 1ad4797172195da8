package deps

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/health"
	"github.com/pointpass/pointpass/node"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// tiers is one length for each place that a daemon may have between the store and others.
type tiers struct {
	// alone follows the store for itself, relaying for its data hall.
	alone, relaying time.Duration
	// root follows the store for the relays of several halls, which are passing on what it
	// says.
	root, passing time.Duration
	// relayed is behind a daemon that relays.
	relayed time.Duration
}

// pace is how often a table is asked for.
type pace struct {
	// hold is how long a question is held if there is nothing to tell, and gather how long
	// changes gather before the next.
	hold, gather tiers
	// mostAge is how old the evidence of a daemon that relays may be. It covers two
	// questions held in a row, each evidence of when it was sent, and what they take, and
	// behind a root one more.
	mostAge time.Duration
}

// The paces of the tables. What a configuration changes has to be in force everywhere
// within two seconds at the least; before that a daemon has to notice that the one that
// relays to it lost the store. Workers have four seconds. The lease's table is used by
// the holder itself, and to find others. A root asks more often than one that relays for
// its own hall, since what it says grows older on its way.
var (
	configPace = pace{
		hold:    tiers{alone: mostConfigWait, relaying: 600 * time.Millisecond, root: 350 * time.Millisecond, passing: 350 * time.Millisecond, relayed: 600 * time.Millisecond},
		mostAge: 1400 * time.Millisecond,
	}
	workersPace = pace{
		hold:    tiers{alone: 4 * time.Second, relaying: time.Second, root: 600 * time.Millisecond, passing: 600 * time.Millisecond, relayed: time.Second},
		gather:  tiers{alone: 400 * time.Millisecond, relaying: 200 * time.Millisecond, root: 100 * time.Millisecond, passing: 50 * time.Millisecond, relayed: 150 * time.Millisecond},
		mostAge: 2500 * time.Millisecond,
	}
	leasePace = pace{
		hold:    tiers{alone: 3 * time.Second, relaying: 700 * time.Millisecond, root: 500 * time.Millisecond, passing: 450 * time.Millisecond, relayed: 700 * time.Millisecond},
		gather:  tiers{alone: 1200 * time.Millisecond, relaying: 600 * time.Millisecond, root: 400 * time.Millisecond, passing: 100 * time.Millisecond, relayed: 150 * time.Millisecond},
		mostAge: 2200 * time.Millisecond,
	}
)

const (
	// leastConfigWait and mostConfigWait bound how long the store holds a question
	// for a newer configuration, and configSlack is what two answers may take beyond
	// that: 200 ms and more each at a store that takes fifty times as long as usual.
	leastConfigWait = 150 * time.Millisecond
	mostConfigWait  = 1500 * time.Millisecond
	configSlack     = 600 * time.Millisecond
	// holderGather is how long changes of workers gather where orders are given, since
	// each step of a group's forming waits for the one before to show: far below the
	// bounds on leaving workers, and long enough that a group's orders show in one
	// answer.
	holderGather = 120 * time.Millisecond
	// mostControlAge is how old what is known of the lease may be to act on it.
	mostControlAge = 4 * time.Second
	// settleTime is how long a daemon of a first start waits before it reads who the
	// others are, until most of them have announced themselves, and mostBlind how long
	// after that it waits for an answer before it asks the store for the other tables
	// too. Knowing the others first, a daemon that starts reads one small table from
	// the store and the long ones from a neighbour.
	settleTime = time.Second
	mostBlind  = 700 * time.Millisecond
)

// paceOf returns the pace of a table.
func paceOf(table string) pace {
	switch table {
	case platform.ConfigTable:
		return configPace
	case platform.WorkersTable:
		return workersPace
	}
	return leasePace
}

// followedTables are the tables of the store that a daemon follows.
var followedTables = []string{platform.ConfigTable, platform.WorkersTable, replica.LeaseTable}

// following follows the store's tables, through other daemons where that saves
// calls. It is what the lease reads and writes.
type following struct {
	store.Writer
	edge   *Edge
	reader *relay.Reader
	caches map[string]*relay.Cache
	peers  *relay.Client
	eras   *eras
	// enlister writes the rows of other daemons.
	enlister *replica.Enlister
	seeker   *seeker
	// directory is what the lease's table says.
	directory *replica.Directory
	control   atomic.Pointer[controlView]
	// warnings are read from other daemons alone, warningsRead is when that last
	// went well.
	warnings     *relay.Reader
	warningsRead atomic.Pointer[time.Time]
	// learned is closed once it is known who the other daemons are.
	learned   chan struct{}
	learnOnce sync.Once
}

// controlView is what is known of the other daemons.
type controlView struct {
	replica.Control
	// upstreams are the daemons to ask in place of the store.
	upstreams []relay.Member
	// relays tells that others ask this daemon, and root that the relays of other halls do.
	relays, root bool
	// placedBy are the settings by which that was found.
	placedBy *node.Settings
}

func newFollowing(e *Edge, client storeClient, peers *relay.Client) *following {
	f := &following{edge: e, peers: peers, caches: map[string]*relay.Cache{}, directory: replica.NewDirectory(clock.Now), seeker: newSeeker(), learned: make(chan struct{})}
	f.eras = newEras(e.Metrics, e.Log)
	calls := &storeCalls{client: client, eras: f.eras, set: e.Metrics, log: e.Log, relays: func() int { return len(f.control.Load().upstreams) }}
	f.Writer = calls
	f.enlister = replica.NewEnlister(calls)
	for _, table := range followedTables {
		f.caches[table] = relay.NewCache(table, paceOf(table).mostAge, clock.Now).TellDifferences()
	}
	f.caches[health.Table] = relay.NewCache(health.Table, health.MostAge, clock.Now)
	f.control.Store(&controlView{})
	f.reader = relay.NewReader(relay.ReaderOptions{
		Direct:    calls,
		Peers:     peers,
		Upstreams: f.upstreams,
		Relays:    func() bool { return f.control.Load().relays },
		MostAge:   func(table string) time.Duration { return paceOf(table).mostAge },
		InTouch:   func() time.Duration { return e.settings.Bounds().InTouch },
		Now:       clock.Now,
		Log:       e.Log,
	})
	f.warnings = relay.NewReader(relay.ReaderOptions{
		Direct:    nowhere{},
		Peers:     peers,
		Upstreams: f.warners,
		Relays:    func() bool { return f.control.Load().relays },
		MostAge:   func(string) time.Duration { return health.MostAge },
		InTouch:   func() time.Duration { return 0 },
		Now:       clock.Now,
		Log:       e.Log,
	})
	return f
}

// handler serves other daemons; reports is told what they report.
func (f *following) handler(reports relay.Reports) http.Handler {
	var caches []*relay.Cache
	for _, c := range f.caches {
		caches = append(caches, c)
	}
	return rpc.NewRelayServer(relay.NewServer(reports, clock.Now, caches...))
}

// Run follows all tables until ctx ends, first that which tells of other daemons.
func (f *following) Run(ctx context.Context) {
	var running sync.WaitGroup
	f.seek(ctx)
	if f.edge.settings.Current().FirstStart() {
		pause(ctx, settleTime)
	}
	running.Go(func() { f.follower(replica.LeaseTable, f.applyControl).Run(ctx) })
	select {
	case <-f.learned:
	case <-ctx.Done():
	case <-time.After(mostBlind):
	}
	running.Go(func() { f.settlingFollower().Run(ctx) })
	running.Go(func() { f.follower(platform.WorkersTable, f.edge.applyWorkers).Run(ctx) })
	running.Go(func() { f.followWarnings(ctx) })
	running.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *following) follower(table string, apply func(store.Update)) *store.Follower {
	cache := f.caches[table]
	return &store.Follower{
		Reader: f.reader,
		Table:  table,
		Wait:   func() time.Duration { return f.hold(table) },
		Pause:  func() time.Duration { return f.gather(table) },
		Apply: func(u store.Update) {
			if u.Restored {
				f.logRestored(table, cache.At(), u)
			}
			if u.Restored && table == platform.ConfigTable {
				known, _ := cache.Rows()
				u.Rows = keepConfig(known.Rows, u)
			}
			cache.Apply(u)
			apply(u)
		},
		Health: f.edge.storeHealth,
		Now:    clock.Now,
	}
}

// status returns what is known of the store's tables.
func (f *following) status(now time.Time) []TableStatus {
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

// logRestored tells that a table was read anew after the store came back from an older copy.
func (f *following) logRestored(table string, before store.Position, u store.Update) {
	f.edge.Log.Warn().Str("event", "table_restored").Str("table", table).Uint64("era", u.At.Era()).Uint64("version", u.At.Version()).
		Uint64("era_before", before.Era()).Uint64("version_before", before.Version()).Int("rows", len(u.Rows)).Dur("evidence_age", clock.Since(u.Evidence)).Msg("")
}

// hold returns how long a question for a table is held now.
func (f *following) hold(table string) time.Duration {
	p := paceOf(table)
	most := p.hold.alone
	if table == platform.ConfigTable {
		if !f.edge.standstill.Settled() {
			return 0 // requests wait for the answer
		}
		most = configWait(min(mostAge(f.edge.settings.Bounds().Revoke), denyAge))
	}
	return min(most, f.paced(table, p.hold))
}

// asRelay tells whether a daemon that follows the store alone asks for a table as often as
// one that relays: where workers start cold or name limits, what is known of other daemons
// has to be young, at 0.5 calls a second more.
func (f *following) asRelay(table string) bool {
	return table == replica.LeaseTable && (f.edge.cold.needed() || f.edge.Throttle.Limited() > 0)
}

// configWait returns how long the store holds a question for a newer
// configuration. Each answer is evidence that there is none as of the moment the
// question was sent: while the store answers, evidence is at most twice as old,
// and that has to stay below the age that counts.
func configWait(age time.Duration) time.Duration {
	return min(max((age-configSlack)/2, leastConfigWait), mostConfigWait)
}

// gather returns how long changes of a table gather now.
func (f *following) gather(table string) time.Duration {
	p := paceOf(table)
	if _, held := f.edge.Lease.Held(); held && table == platform.WorkersTable {
		return holderGather
	}
	return f.paced(table, p.gather)
}

// paced returns the length for this daemon's place now.
func (f *following) paced(table string, t tiers) time.Duration {
	view := f.control.Load()
	direct := f.reader.Direct()
	switch {
	case !direct && view.relays:
		return t.passing
	case !direct:
		return t.relayed
	case view.root:
		return t.root
	case view.relays || f.asRelay(table):
		return t.relaying
	}
	return t.alone
}

// applyControl takes in who the other daemons are.
func (f *following) applyControl(u store.Update) {
	others := f.directory.Apply(u)
	known, _ := f.directory.Known()
	f.edge.cold.learnDaemons(known.Announced, u)
	view := *f.control.Load()
	others = others || view.Holder != known.Holder
	view.Control = known.Control
	if settings := f.edge.settings.Current(); others || settings != view.placedBy {
		f.place(&view, settings)
	}
	f.control.Store(&view)
	if f.isHolder() {
		f.edge.Warnings.Begin(f.edge.Lease.Term())
	}
	if u.Restored {
		f.edge.quarantine.restore(known.Others)
	}
	f.edge.quarantine.learn(known.Others)
	f.learnOnce.Do(func() { close(f.learned) })
}

// place finds this daemon's place between the store and the other daemons.
func (f *following) place(view *controlView, settings *node.Settings) {
	view.placedBy = settings
	var members []relay.Member
	for _, n := range view.Nodes {
		members = append(members, relay.Member(n))
	}
	halls := settings.HallRegions()
	region := func(hall string) string { return halls[hall] }
	self := relay.Member(f.edge.self())
	fleet := relay.Fleet{Members: members, Region: region, Holder: view.Holder}
	view.upstreams = fleet.Upstreams(self)
	view.relays = relay.Relays(self, members)
	view.root = fleet.IsRoot(self)
	for _, table := range followedTables {
		f.caches[table].Remember(view.relays || view.root)
	}
}

// holder returns where the holder of the lease serves other daemons.
func (f *following) holder() (replica.Node, bool) {
	view := f.control.Load()
	n, known := view.Node(view.Holder)
	return n, known && n.Addr != ""
}

// Known returns what the lease's table says as it is known, with the least that the
// store's clock can show by now.
func (f *following) Known(context.Context) (replica.Known, error) {
	known, read := f.directory.Known()
	age := clock.Since(known.Evidence)
	if !read || age > mostControlAge {
		return replica.Known{}, &store.CallError{Op: "rows", Err: &relay.StaleError{Addr: replica.LeaseTable, Age: age}}
	}
	return known, nil
}
