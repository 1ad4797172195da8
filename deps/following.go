package deps

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// How long a question to the store, or to a daemon that relays, is held if there is
// nothing to tell, and how long changes gather before the next.
const (
	// leastConfigWait and mostConfigWait bound how long the store holds a question
	// for a newer configuration, and configSlack is what an answer may take.
	leastConfigWait = 150 * time.Millisecond
	mostConfigWait  = 1500 * time.Millisecond
	configSlack     = 400 * time.Millisecond
	workersWait     = 4 * time.Second
	controlWait     = 3 * time.Second
	// relayedWait is held by daemons that relay, relayWait by the store for these:
	// what they pass on has to be young.
	relayedWait = time.Second
	relayWait   = 500 * time.Millisecond
	// holderPause is how long changes of workers gather where orders are given, since
	// each step of a group's forming waits for the one before to show: far below the
	// bounds on leaving workers, and long enough that a group's orders show in one
	// answer. relayPause and relayedPause are the same at daemons that relay and
	// behind them, standbyPause and controlPause where neither is the case.
	holderPause  = 120 * time.Millisecond
	relayPause   = 200 * time.Millisecond
	relayedPause = 150 * time.Millisecond
	standbyPause = 400 * time.Millisecond
	controlPause = 1200 * time.Millisecond
	// mostControlAge is how old what is known of the lease may be to act on it.
	mostControlAge = 4 * time.Second
)

// following follows the store's tables, through other daemons where that saves
// calls. It is what the lease reads and writes.
type following struct {
	store.Writer
	edge    *Edge
	reader  *relay.Reader
	caches  map[string]*relay.Cache
	control atomic.Pointer[controlView]
}

// controlView is what is known of the other daemons.
type controlView struct {
	replica.Control
	// upstreams are the daemons to ask in place of the store.
	upstreams []relay.Member
	// relays tells that others ask this daemon.
	relays bool
}

func newFollowing(e *Edge, client *platform.Store, peers relay.Peers) *following {
	f := &following{Writer: client, edge: e, caches: map[string]*relay.Cache{}}
	for _, table := range []string{platform.ConfigTable, platform.WorkersTable, replica.LeaseTable} {
		f.caches[table] = relay.NewCache(table, time.Now)
	}
	f.control.Store(&controlView{})
	f.reader = relay.NewReader(client, peers, func() []relay.Member { return f.control.Load().upstreams }, time.Now, e.Log)
	return f
}

// handler serves other daemons; reports is told what they report.
func (f *following) handler(reports relay.Reports) http.Handler {
	var caches []*relay.Cache
	for _, c := range f.caches {
		caches = append(caches, c)
	}
	return rpc.NewRelayServer(relay.NewServer(reports, time.Now, caches...))
}

// Run follows all tables until ctx ends.
func (f *following) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, follower := range []*store.Follower{
		f.follower(platform.ConfigTable, f.configWait, nil, f.edge.applyConfig),
		f.follower(platform.WorkersTable, f.wait(workersWait), f.workersPause, f.edge.applyWorkers),
		f.follower(replica.LeaseTable, f.wait(controlWait), f.controlPause, f.applyControl),
	} {
		running.Go(func() { follower.Run(ctx) })
	}
	running.Wait()
}

func (f *following) follower(table string, wait, pause func() time.Duration, apply func(store.Update)) *store.Follower {
	cache := f.caches[table]
	both := func(u store.Update) {
		cache.Apply(u)
		apply(u)
	}
	return &store.Follower{Reader: f.reader, Table: table, Wait: wait, Pause: pause, Apply: both, Health: f.edge.storeHealth, Now: time.Now}
}

func (f *following) configWait() time.Duration {
	return f.wait(configWait(mostAge(f.edge.settings.Bounds().Revoke)))()
}

// configWait returns how long the store holds a question for a newer
// configuration. Each answer is evidence that there is none as of the moment the
// question was sent: while the store answers, evidence is at most twice as old,
// and that has to stay below the age that counts.
func configWait(age time.Duration) time.Duration {
	return min(max((age-configSlack)/2, leastConfigWait), mostConfigWait)
}

// wait returns how long questions are held: alone where neither this daemon relays
// nor others relay for it.
func (f *following) wait(alone time.Duration) func() time.Duration {
	return func() time.Duration {
		switch {
		case !f.reader.Direct():
			return min(alone, relayedWait)
		case f.control.Load().relays:
			return min(alone, relayWait)
		}
		return alone
	}
}

func (f *following) workersPause() time.Duration {
	if _, held := f.edge.Lease.Held(); held {
		return holderPause
	}
	return f.pause(standbyPause)
}

func (f *following) controlPause() time.Duration { return f.pause(controlPause) }

func (f *following) pause(alone time.Duration) time.Duration {
	switch {
	case !f.reader.Direct():
		return relayedPause
	case f.control.Load().relays:
		return relayPause
	}
	return alone
}

// applyControl takes in who the other daemons are.
func (f *following) applyControl(store.Update) {
	snapshot, _ := f.caches[replica.LeaseTable].Rows()
	view := &controlView{Control: replica.Parse(snapshot.Rows)}
	var members []relay.Member
	for _, n := range view.Nodes {
		members = append(members, relay.Member(n))
	}
	self := relay.Member(f.edge.self())
	view.upstreams = relay.Upstreams(self, members)
	view.relays = relay.Relays(self, members)
	f.control.Store(view)
}

// holder returns where the holder of the lease serves other daemons.
func (f *following) holder() (replica.Node, bool) {
	view := f.control.Load()
	n, known := view.Node(view.Holder)
	return n, known && n.Addr != ""
}

// Rows returns the rows of the lease's table as they are known, with the least that
// the store's clock can show by now.
func (f *following) Rows(_ context.Context, table string) (store.Snapshot, error) {
	snapshot, received, known := f.caches[table].Latest()
	now := time.Now()
	if !known || now.Sub(snapshot.Evidence) > mostControlAge {
		return store.Snapshot{}, &store.CallError{Op: "rows", Err: &relay.StaleError{Addr: table, Age: now.Sub(snapshot.Evidence)}}
	}
	snapshot.Clock += now.Sub(received)
	return snapshot, nil
}
