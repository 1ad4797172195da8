package deps

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/health"
	"github.com/pointpass/pointpass/node"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/serving"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// Timing of an edge daemon.
const (
	storeTimeout = 1200 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
	// revokeMargin is taken off the bound on withdrawn keys: a feed may be deaf
	// for a second before the store says so.
	revokeMargin = 1200 * time.Millisecond
	mostRequests = 2000
	// retryCaution is the part of the allowed retries that daemons use.
	retryCaution = 0.7
	// defaultBody bounds bodies before a configuration is known, in bytes.
	defaultBody = 4 << 20
)

// Edge holds the parts of a daemon on the users' platform.
type Edge struct {
	Log      *log.Logger
	Metrics  *metrics.Set
	Catalogs *catalog.Holder
	Workers  *workers.Registry
	Balancer *serving.Balancer
	// Placement decides where requests may run.
	Placement  *placement.Decider
	standstill *placement.Standstill
	Server     *serving.Server
	Ingress    http.Handler
	// Guard knows requests again that crash workers.
	Guard *quarantine.Guard
	// Throttle bounds what workers get by what they ask for in their answers.
	Throttle   *throttle.Throttle
	Lease      *replica.Lease
	Controller *replica.Controller
	// Warnings gathers what daemons report about groups, at the holder of the lease.
	Warnings *health.Publisher
	// Peers serves other daemons.
	Peers http.Handler

	settings    *node.Holder
	reloads     map[node.Outcome]*metrics.Counter
	unread      *unreadEntries
	entries     *entryLog
	following   *following
	reporter    *reporter
	loads       *loads
	cold        *cold
	quarantine  *quarantined
	workersRead atomic.Bool
	// begun tells that callers are being served, here or elsewhere.
	begun     atomic.Bool
	storeBack atomic.Pointer[time.Time]
	// hallsConfirmed is when only the store's word counts again of closed halls, after it came
	// back from an older copy; else the zero time.
	hallsConfirmed time.Time
}

// NewEdge wires a daemon. Nothing runs before Run. The function returned frees
// what the parts hold.
func NewEdge(settings *node.Holder, logger *log.Logger) (*Edge, func()) {
	e := &Edge{
		Log:      logger,
		Metrics:  metrics.NewSet(),
		Catalogs: &catalog.Holder{},
		Balancer: serving.NewBalancer(settings.Current().Hall()),
		Guard:    quarantine.NewGuard(clock.Now),
		settings: settings,
		reloads:  map[node.Outcome]*metrics.Counter{},
	}
	e.Throttle = throttle.New(settings.Current().Name(), throttle.NewBook(e.Metrics, logger))
	e.unread = newUnreadEntries(e.Metrics, logger)
	e.entries = &entryLog{log: logger}
	e.cold = newCold(e)
	e.Placement = placement.NewDecider(settings.Current().HallRegions(), e.cold.ramp, e.Throttle, clock.Now)
	e.standstill = placement.NewStandstill(clock.Now, e.logStandstill)
	client, closeStore := platform.NewStore(settings.Current().StoreAddr(), storeTimeout)
	peers, closePeers := relay.NewClient(tcp.Dialer(peerTimeout), clock.Now)
	upstream, closeUpstream := platform.NewUpstream()
	orders, closeOrders := platform.NewOrders()
	e.following = newFollowing(e, client, peers)
	e.Workers = workers.NewRegistry(e.workersChanged)
	e.Lease = replica.NewLease(replica.LeaseOptions{
		Table:      e.following,
		Self:       e.self,
		Enlist:     e.following.enlist,
		Memory:     e.Workers,
		FirstStart: settings.Current().FirstStart(),
		Now:        clock.Now,
		Log:        logger,
	})
	e.Warnings = health.NewPublisher(e.following.caches[health.Table], clock.Now)
	e.reporter = newReporter(e, peers)
	e.loads = newLoads(e, peers)
	e.quarantine = newQuarantined(e, peers, upstream)
	e.wireServing(upstream)
	e.wireControl(orders)
	e.Peers = e.following.handler(reports{e})
	e.gauges()
	return e, func() {
		closeOrders()
		closeUpstream()
		closePeers()
		closeStore()
	}
}

// self is how this daemon announces itself.
func (e *Edge) self() replica.Node {
	s := e.settings.Current()
	return replica.Node{Name: s.Name(), Addr: s.PeersAddr(), Hall: s.Hall(), Cores: s.Cores()}
}

func (e *Edge) wireServing(upstream serving.Upstream) {
	e.Server = serving.NewServer(serving.Options{
		Catalogs:     e.Catalogs,
		Workers:      e.Workers.View,
		Upstream:     upstream,
		Balancer:     e.Balancer,
		Placement:    e.Placement,
		Settle:       e.standstill.Settle,
		Counters:     serving.NewCounters(e.Metrics),
		Guard:        e.Guard,
		Crashes:      e.quarantine.sightings,
		Asks:         e.Throttle,
		Evidence:     func() catalog.EvidencePolicy { return evidencePolicy(e.settings.Bounds()) },
		Allowance:    e.allowance,
		Suspect:      e.reporter.report,
		Asked:        e.loads.ask,
		Part:         e.loads.Part,
		HallLoad:     e.loads.Hall,
		SameRegion:   e.sameRegion,
		Informed:     e.following.informed,
		FirstUse:     e.firstUse,
		MostRequests: mostRequests,
		Now:          clock.Now,
		Log:          e.Log,
	})
	e.Ingress = platform.NewIngress(e.Server, e.bodyBytes)
}

func (e *Edge) wireControl(orders *platform.Orders) {
	e.Controller = replica.NewController(replica.Options{
		Lease:     e.Lease,
		Orders:    orders,
		Prober:    orders,
		Workers:   e.Workers.View,
		Catalogs:  e.Catalogs,
		Fenced:    func() bool { return e.settings.Bounds().Fenced },
		Ceiling:   e.ceiling,
		Failing:   e.Balancer.Failing,
		Dead:      e.noteDead,
		StoreBack: e.lastBack,
		Load:      e.loads.Known,
		ColdLeft:  e.cold.left,
		Halls:     func() replica.Halls { return e.Placement.Facts() },
		Region:    func(hall string) string { return e.Placement.Facts().Region(hall) },
		Idle:      func() bool { return e.settings.Current().FirstStart() && !e.begun.Load() },
		Metrics:   e.Metrics,
		Now:       clock.Now,
		Log:       e.Log,
	})
}

// mostAge returns how old the evidence for a credential may be. A bound that
// leaves no room for the margin is halved in place of it.
func mostAge(revoke time.Duration) time.Duration {
	return max(revoke-revokeMargin, revoke/2)
}

// denyAge is how old evidence may be to say that a key or route doesn't exist. While
// the store answers, evidence is younger, also behind daemons that relay.
const denyAge = 2500 * time.Millisecond

// evidencePolicy returns what may be decided on how old evidence: withdrawn keys
// count as soon as the strict bound asks, or for as long as the looser one lets them.
func evidencePolicy(bounds node.Bounds) catalog.EvidencePolicy {
	if bounds.RevokeStrict {
		return catalog.NewEvidencePolicy(mostAge(bounds.Revoke), min(denyAge, mostAge(bounds.Revoke)))
	}
	return catalog.NewEvidencePolicy(bounds.Admit, denyAge)
}

// ceiling returns the bound on loads of weights.
func (e *Edge) ceiling() replica.LoadCeiling {
	bounds := e.settings.Bounds()
	return replica.LoadCeiling{Window: bounds.LoadWindow, Overrun: bounds.LoadOverrun}
}

// allowance returns this daemon's part of the retries for a service.
func (e *Edge) allowance() retry.Allowance {
	bounds := e.settings.Bounds()
	return retry.Allowance{
		Ratio:  retryCaution * bounds.RetryRatio,
		Extra:  retryCaution * bounds.RetryExtra / float64(e.Lease.Nodes()),
		Window: bounds.RetryWindow,
	}
}

func (e *Edge) bodyBytes() int64 {
	if c := e.Catalogs.Current().Catalog; c != nil && c.Limits().BodyBytes > 0 {
		return int64(c.Limits().BodyBytes)
	}
	return defaultBody
}

func (e *Edge) gauges() {
	e.settingsGauges()
	e.Metrics.NewGauge("pointpass_config_version", func() float64 {
		if c := e.Catalogs.Current().Catalog; c != nil {
			return float64(c.Version())
		}
		return 0
	})
	e.Metrics.NewGauge("pointpass_config_evidence_age_seconds", func() float64 {
		return min(e.Catalogs.Current().Age(clock.Now()).Seconds(), 1e9)
	})
	for _, table := range []string{platform.WorkersTable, replica.LeaseTable} {
		cache := e.following.caches[table]
		e.Metrics.NewGauge(`pointpass_evidence_age_seconds{table="`+table+`"}`, func() float64 {
			return min(clock.Since(cache.Evidence()).Seconds(), 1e9)
		})
	}
	e.Metrics.NewGauge("pointpass_suspended_seconds", func() float64 { return clock.Suspended().Seconds() })
	e.Metrics.NewGauge("pointpass_store_direct", func() float64 { return asNumber(e.following.reader.Direct()) })
	e.Metrics.NewGauge("pointpass_workers", func() float64 { return float64(e.Workers.View().Len()) })
	e.Metrics.NewGauge("pointpass_halls_closed", func() float64 { return float64(len(e.Placement.Facts().Closings())) })
	e.Metrics.NewGauge("pointpass_requests_under_way", func() float64 { return float64(e.Server.UnderWay()) })
	e.Metrics.NewGauge("pointpass_load_daemons", func() float64 { return float64(e.loads.Total().Daemons) })
	e.cold.gauges()
	e.Metrics.NewGauge("pointpass_limits_active", func() float64 {
		return asNumber(e.Throttle.Standing(clock.Now()) == quota.Active)
	})
	e.Metrics.NewGauge("pointpass_lease_held", func() float64 {
		_, held := e.Lease.Held()
		return asNumber(held)
	})
}

func asNumber(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// Run follows the store and forms groups until ctx ends.
func (e *Edge) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, run := range []func(context.Context){e.following.Run, e.Lease.Run, e.Controller.Run, e.reporter.Run, e.loads.Run, e.cold.Run, e.quarantine.Run, e.watchStandstill} {
		running.Go(func() { run(ctx) })
	}
	running.Wait()
}

// firstUse notes that callers are being served, and tells the holder of the lease,
// which may be the last to see one.
func (e *Edge) firstUse() {
	e.begun.Store(true)
	e.reporter.reportBegun()
}

// sameRegion tells whether a data hall is in this daemon's region, as far as that is known.
func (e *Edge) sameRegion(hall string) bool {
	facts := e.Placement.Facts()
	return facts.Region(hall) == facts.Region(e.settings.Current().Hall())
}

// reports is how other daemons tell an Edge things.
type reports struct{ *Edge }

// Suspect takes in that a group fails requests at another daemon.
func (r reports) Suspect(about relay.Report) {
	if about.Sign != relay.Alive {
		r.Controller.Suspect(about.Group, about.Reporter)
	}
	r.noteReport(about)
}

// Begun takes in that callers are being served.
func (r reports) Begun() { r.begun.Store(true) }

// Enlist writes the row by which another daemon announces itself.
func (r reports) Enlist(ctx context.Context, name string, row []byte) error {
	return r.following.enlister.Enlist(ctx, name, row)
}

// Load takes in what callers ask for at other daemons, and the limits of workers that they
// know of.
func (r reports) Load(reporter string, told relay.LoadReport) relay.LoadReport {
	r.Throttle.Learn(told.Limits)
	return relay.LoadReport{Sum: r.loads.take(reporter, told.Sum), Limits: r.Throttle.Limits(clock.Now())}
}

// Crashes takes in which workers crashed at another daemon.
func (r reports) Crashes(report relay.CrashReport) { r.quarantine.take(report) }

// lastBack returns when the workers' table could be read again after it could not.
func (e *Edge) lastBack() time.Time {
	if at := e.storeBack.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Ready tells whether callers may come.
func (e *Edge) Ready() bool {
	return e.Catalogs.Current().Catalog != nil && e.workersRead.Load()
}
