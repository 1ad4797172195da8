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
	"github.com/pointpass/pointpass/serving"
	"github.com/pointpass/pointpass/shed"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// Timeouts and limits of an edge daemon.
const (
	storeTimeout = 1200 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
	// revokeMargin is subtracted from the bound on withdrawn keys: a feed may miss changes for
	// a second before the store reports it.
	revokeMargin = 1200 * time.Millisecond
	maxRequests  = 2000
	// defaultBodyLimit limits request bodies before a configuration is loaded, in bytes.
	defaultBodyLimit = 4 << 20
)

// Edge holds the parts of a daemon on the users' platform.
type Edge struct {
	Log      *log.Logger
	Metrics  *metrics.Set
	Catalogs *catalog.Holder
	Workers  *workers.Registry
	Balancer *serving.Balancer
	// Placement decides where requests may run.
	Placement *placement.Decider
	stall     *placement.StallDetector
	gate      *shed.Gate
	Server    *serving.Server
	Ingress   http.Handler
	// Guard recognizes requests that crash workers.
	Guard *quarantine.Guard
	// Throttle limits the requests to workers by the backpressure in their responses.
	Throttle   *throttle.Throttle
	Lease      *replica.Lease
	Controller *replica.Controller
	// Warnings collects the reports of other daemons about groups, at the lease holder.
	Warnings *health.Publisher
	// Peers serves other daemons.
	Peers http.Handler
	// Clients bounds what the clients of all ports can make this daemon hold.
	Clients *Clients

	settings    *node.Holder
	reloads     map[node.Outcome]*metrics.Counter
	unreadable  *unreadableEntries
	entries     *entryLog
	followers   *tableFollowers
	reporter    *reporter
	loads       *loadReporter
	retries     *retryShare
	reach       *workerReach
	forwarder   *forwarder
	cold        *coldStart
	quarantine  *crashQuarantine
	workersRead atomic.Bool
	// started is set once callers are being served, here or at another daemon.
	started        atomic.Bool
	storeRecovered atomic.Pointer[time.Time]
	// hallsRetainedUntil is when closed halls that a restored store no longer lists are opened,
	// the zero time if there was no restore.
	hallsRetainedUntil time.Time
}

// NewEdge wires a daemon. Nothing runs before Run. The returned function frees the resources of the
// parts.
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
	limitMemory(settings.Current().Memory())
	e.Throttle = throttle.New(settings.Current().Name(), throttle.NewTracker(e.Metrics, logger))
	e.unreadable = newUnreadableEntries(e.Metrics, logger)
	e.entries = &entryLog{log: logger}
	e.Clients = newClients(e)
	e.cold = newColdStart(e)
	e.Placement = placement.NewDecider(settings.Current().HallRegions(), e.cold.ramp, e.Throttle, clock.Now)
	e.gate = shed.NewGate(func() bool { return e.loads.hasSurplus() })
	e.stall = placement.NewStallDetector(clock.Now, e.logStall)
	client, closeStore := platform.NewStore(settings.Current().StoreAddr(), storeTimeout)
	peers, closePeers := relay.NewClient(tcp.Dialer(peerTimeout), clock.Now)
	e.reach = newWorkerReach(e)
	upstream, closeUpstream := platform.NewUpstream(e.reach.Sending)
	e.reach.upstream = upstream
	forwards, closeForwards := platform.NewForwardClient()
	e.forwarder = newForwarder(e, forwards)
	orders, closeOrders := platform.NewOrders()
	e.followers = newTableFollowers(e, client, peers)
	e.Workers = workers.NewRegistry(e.workersChanged)
	e.Lease = replica.NewLease(replica.LeaseOptions{
		Table:      e.followers,
		Self:       e.self,
		Enlist:     e.followers.enlist,
		Handover:   e.Workers,
		FirstStart: settings.Current().FirstStart(),
		Unfit:      e.unfitForOrders,
		Now:        clock.Now,
		Log:        logger,
	})
	e.Warnings = health.NewPublisher(e.followers.caches[health.Table], clock.Now)
	e.reporter = newReporter(e, peers)
	e.loads = newLoadReporter(e, peers)
	e.retries = newRetryShare(e)
	probers := prober{upstream, orders}
	e.quarantine = newCrashQuarantine(e, peers, probers)
	e.wireServing(upstream)
	e.wireControl(orders, probers)
	e.registerGauges()
	return e, func() {
		closeOrders()
		closeForwards()
		closeUpstream()
		closePeers()
		closeStore()
	}
}

// self returns the row by which this daemon announces itself.
func (e *Edge) self() replica.Node {
	s := e.settings.Current()
	return replica.Node{Name: s.Name(), Addr: s.PeersAddr(), Hall: s.Hall(), Cores: s.Cores()}
}

func (e *Edge) wireServing(upstream serving.Upstream) {
	e.Server = serving.NewServer(serving.Options{
		Catalogs:         e.Catalogs,
		Workers:          e.Workers.View,
		Upstream:         upstream,
		Balancer:         e.Balancer,
		Placement:        e.Placement,
		WaitFresh:        e.stall.WaitFresh,
		Counters:         serving.NewCounters(e.Metrics),
		Guard:            e.Guard,
		Crashes:          e.quarantine.crashReporter,
		AnswerObserver:   e.Throttle,
		Evidence:         func() catalog.EvidencePolicy { return evidencePolicy(e.settings.Bounds()) },
		Allowance:        e.retries.allowance,
		Reach:            e.reach,
		Forwarder:        e.forwarder,
		Suspect:          e.reporter.report,
		RecordDemand:     e.loads.record,
		DemandShare:      e.loads.Part,
		HallDemand:       e.loads.HallDemand,
		SameRegion:       e.sameRegion,
		ReceivesWarnings: e.followers.receivesWarnings,
		OnFirstRequest:   e.markStarted,
		MaxRequests:      maxRequests,
		AnswerMemory:     e.answerMemory,
		Now:              clock.Now,
		Log:              e.Log,
	})
	ingress := platform.NewIngress(e.Server, e.Clients.bodies, e.bodyLimit)
	e.Ingress = ingress
	e.Peers = platform.NewForwardHandler(ingress, e.followers.handler(reportHandler{e}))
}

// answerMemoryShare is the part of the process's memory that answers may take which are read to their end
// before they are passed on, as a divisor. Blocks that wait to be collected take as much again.
const answerMemoryShare = 8

func (e *Edge) answerMemory() int64 {
	if memory := e.settings.Current().Memory(); memory > 0 {
		return memory / answerMemoryShare
	}
	return serving.DefaultAnswerMemory
}

func (e *Edge) wireControl(orders *platform.Orders, probers prober) {
	e.Controller = replica.NewController(replica.Options{
		Lease:        e.Lease,
		Orders:       orders,
		Prober:       probers,
		Reporter:     orders,
		Workers:      e.Workers.View,
		Catalogs:     e.Catalogs,
		Fenced:       func() bool { return e.settings.Bounds().Fenced },
		Ceiling:      e.ceiling,
		Failing:      e.Balancer.Failing,
		OnMemberDead: e.reportDead,
		StoreBack:    e.lastStoreRecovery,
		Load:         e.loads.CompleteTotal,
		ColdLeft:     e.cold.remaining,
		Halls:        func() replica.Halls { return e.Placement.Facts() },
		Region:       func(hall string) string { return e.Placement.Facts().Region(hall) },
		Idle:         func() bool { return e.settings.Current().FirstStart() && !e.started.Load() },
		Metrics:      e.Metrics,
		Now:          clock.Now,
		Log:          e.Log,
	})
}

// maxEvidenceAge returns the maximum age of the evidence for a credential. It is at least half the
// bound, for bounds that leave no room for the margin.
func maxEvidenceAge(revoke time.Duration) time.Duration {
	return max(revoke-revokeMargin, revoke/2)
}

// maxDenyAge is the maximum age of evidence to decide that a key or route doesn't exist. While the
// store responds, evidence is younger than that, also behind relays.
const maxDenyAge = 2500 * time.Millisecond

// evidencePolicy returns the maximum age of evidence for each decision. With a strict bound,
// withdrawn keys are rejected within that bound, otherwise keys are accepted for as long as the
// admission bound allows.
func evidencePolicy(bounds node.Bounds) catalog.EvidencePolicy {
	if bounds.StrictRevocation {
		return catalog.NewEvidencePolicy(maxEvidenceAge(bounds.MaxRevocationDelay), min(maxDenyAge, maxEvidenceAge(bounds.MaxRevocationDelay)))
	}
	return catalog.NewEvidencePolicy(bounds.MaxEvidenceAge, maxDenyAge)
}

// ceiling returns the limit on loads of weights.
func (e *Edge) ceiling() replica.LoadCeiling {
	bounds := e.settings.Bounds()
	return replica.LoadCeiling{Window: bounds.LoadWindow, Overrun: bounds.LoadOverrun}
}

func (e *Edge) bodyLimit() int64 {
	if c := e.Catalogs.Current().Catalog; c != nil && c.Limits().BodyBytes > 0 {
		return int64(c.Limits().BodyBytes)
	}
	return defaultBodyLimit
}

func (e *Edge) registerGauges() {
	e.registerSettingsMetrics()
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
		cache := e.followers.caches[table]
		e.Metrics.NewGauge(`pointpass_evidence_age_seconds{table="`+table+`"}`, func() float64 {
			return min(clock.Since(cache.Evidence()).Seconds(), 1e9)
		})
	}
	e.Metrics.NewGauge("pointpass_suspended_seconds", func() float64 { return clock.Suspended().Seconds() })
	e.Metrics.NewGauge("pointpass_store_direct", func() float64 { return boolGauge(e.followers.reader.Direct()) })
	e.Metrics.NewGauge("pointpass_workers", func() float64 { return float64(e.Workers.View().Len()) })
	e.Metrics.NewGauge("pointpass_halls_closed", func() float64 { return float64(len(e.Placement.Facts().Closings())) })
	e.Metrics.NewGauge("pointpass_answer_bytes", func() float64 { return float64(e.Server.AnswerBytes()) })
	e.Metrics.NewGauge("pointpass_requests_under_way", func() float64 { return float64(e.Server.InFlight()) })
	e.Metrics.NewGauge("pointpass_load_daemons", func() float64 { return float64(e.loads.Total().Daemons) })
	e.cold.registerGauges()
	e.Metrics.NewGauge("pointpass_limits_active", func() float64 {
		return boolGauge(e.Throttle.Standing(clock.Now()) == quota.Active)
	})
	e.Metrics.NewGauge("pointpass_lease_held", func() float64 {
		_, held := e.Lease.Held()
		return boolGauge(held)
	})
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Run follows the store and forms groups until ctx ends.
func (e *Edge) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, run := range []func(context.Context){e.followers.Run, e.Lease.Run, e.Controller.Run, e.reporter.Run, e.loads.Run, e.cold.Run, e.quarantine.Run, e.reach.Run, e.Clients.Run, e.watchStalls, e.watchProcessorTime} {
		running.Go(func() { run(ctx) })
	}
	running.Wait()
}

// markStarted records that callers are being served, and reports it to the lease holder, which may
// be the last daemon to get a request.
func (e *Edge) markStarted() {
	e.started.Store(true)
	e.reporter.reportStarted()
}

// sameRegion reports whether a data hall is in this daemon's region, as far as the regions are
// configured.
func (e *Edge) sameRegion(hall string) bool {
	facts := e.Placement.Facts()
	return facts.Region(hall) == facts.Region(e.settings.Current().Hall())
}

// reportHandler handles what other daemons report to an Edge.
type reportHandler struct{ *Edge }

// Suspect handles a report on a group from another daemon.
func (r reportHandler) Suspect(report relay.Report) {
	if report.Sign != relay.Alive {
		r.Controller.Suspect(report.Group, report.Reporter)
	}
	r.handleReport(report)
}

// Begun records that callers are being served.
func (r reportHandler) Begun() { r.started.Store(true) }

// Enlist writes the row by which another daemon announces itself.
func (r reportHandler) Enlist(ctx context.Context, name string, row []byte) error {
	return r.followers.enlister.Enlist(ctx, name, row)
}

// Load handles the offered load and the worker limits that another daemon reports, and returns
// those of this one.
func (r reportHandler) Load(reporter string, report relay.LoadReport) relay.LoadReport {
	r.Throttle.Learn(report.Limits)
	return relay.LoadReport{Sum: r.loads.collect(reporter, report.Sum), Limits: r.Throttle.Limits(clock.Now())}
}

// Crashes handles the worker crashes that another daemon reports.
func (r reportHandler) Crashes(report relay.CrashReport) { r.quarantine.applyReport(report) }

// lastStoreRecovery returns when the workers' table last became readable again.
func (e *Edge) lastStoreRecovery() time.Time {
	if at := e.storeRecovered.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Ready reports whether the daemon may serve callers.
func (e *Edge) Ready() bool {
	return e.Catalogs.Current().Catalog != nil && e.workersRead.Load()
}
