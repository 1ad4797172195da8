package serving

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/text"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
)

// Counters are the metrics of requests and their outcomes.
type Counters struct {
	set        *metrics.Set
	rejected   *metrics.Counter
	resumed    *metrics.Counter
	overBudget *metrics.Counter
	// held counts the attempts that weren't made because the request is held.
	held *metrics.Counter
	// overload counts the requests refused because their model's groups were fully used.
	overload *metrics.Counter
	// unknownRegion counts the targets left out because their hall's region is unknown.
	unknownRegion *metrics.Counter
	// forwarded counts the requests that peers ran, notForwarded those that no peer could run.
	forwarded    *metrics.Counter
	notForwarded *metrics.Counter
	// warned counts the warnings about groups from other daemons.
	warned *metrics.Counter
	// tooLong counts the answers given up for their length.
	tooLong *metrics.Counter
	// slowReaders counts the answers cut because their callers read too slowly while the memory was needed.
	slowReaders *metrics.Counter
	// oldEvidence counts the verdicts that rested on old evidence.
	oldEvidence map[catalog.Verdict]*metrics.Counter
	firstEvent  *metrics.Histogram
	duration    *metrics.Histogram
	// retryWait is how long after it was counted a retry was written, retryUnanswered how long its target then
	// showed nothing.
	retryWait       *metrics.Histogram
	retryUnanswered *metrics.Histogram
}

// NewCounters registers the counters in a set and returns them.
func NewCounters(set *metrics.Set) *Counters {
	oldEvidence := map[catalog.Verdict]*metrics.Counter{}
	for _, v := range []catalog.Verdict{catalog.Admit, catalog.Deny, catalog.Defer} {
		oldEvidence[v] = set.NewCounter(`pointpass_old_evidence_verdicts_total{verdict="` + v.String() + `"}`)
	}
	return &Counters{
		oldEvidence:   oldEvidence,
		set:           set,
		rejected:      set.NewCounter("pointpass_attempts_rejected_total"),
		resumed:       set.NewCounter("pointpass_streams_resumed_total"),
		overBudget:    set.NewCounter("pointpass_retries_over_budget_total"),
		held:          set.NewCounter("pointpass_held_back_total"),
		overload:      set.NewCounter("pointpass_refused_overload_total"),
		unknownRegion: set.NewCounter("pointpass_targets_unknown_region_total"),
		forwarded:     set.NewCounter(`pointpass_forwarded_total{outcome="answered"}`),
		notForwarded:  set.NewCounter(`pointpass_forwarded_total{outcome="no peer"}`),
		tooLong:       set.NewCounter("pointpass_answers_too_long_total"),
		slowReaders:   set.NewCounter("pointpass_answers_cut_total"),
		warned:        set.NewCounter("pointpass_group_warnings_total"),
		firstEvent:    set.NewHistogram("pointpass_first_event_seconds"),
		duration:      set.NewHistogram("pointpass_request_seconds"),

		retryWait:       set.NewHistogram("pointpass_retry_wait_seconds"),
		retryUnanswered: set.NewHistogram("pointpass_retry_unanswered_seconds"),
	}
}

// retried counts a retry of a request to a service.
func (c *Counters) retried(service string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`pointpass_retries_total{service=%q}`, service)).Inc()
}

// canceled counts an attempt that was canceled since its target sent nothing, or its request is held back.
func (c *Counters) canceled(cause error) {
	name := "silent"
	switch {
	case errors.Is(cause, errWarned):
		name = "warned"
	case errors.Is(cause, errHeld):
		name = "held"
	}
	c.set.GetOrCreateCounter(`pointpass_attempts_canceled_total{cause="` + name + `"}`).Inc()
}

// moved counts a move of a stream by its outcome.
func (c *Counters) moved(outcome string) {
	c.set.GetOrCreateCounter(`pointpass_stream_moves_total{outcome="` + outcome + `"}`).Inc()
}

// barred counts a request that was refused because placement allowed no target.
func (c *Counters) barred(reason placement.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`pointpass_refused_placement_total{reason=%q}`, string(reason))).Inc()
}

// windowGauges returns the names of the gauges of a model's window.
func windowGauges(key load.Model) (limit, binds string) {
	limit = fmt.Sprintf(`pointpass_window_limit{service=%q,model=%q,regions=%q}`, key.Service, key.Name, strings.Join(key.Regions.Names(), " "))
	return limit, fmt.Sprintf(`pointpass_share_binds{service=%q,model=%q}`, key.Service, key.Name)
}

// dropWindowGauges removes the gauges of a model's window.
func (c *Counters) dropWindowGauges(key load.Model) {
	limit, binds := windowGauges(key)
	c.set.UnregisterMetric(limit)
	c.set.UnregisterMetric(binds)
}

// registerWindowGauges registers gauges of a model's window: its limit of requests in flight,
// and whether the daemon's share of the groups limits admission.
func (c *Counters) registerWindowGauges(key load.Model, w *admission.Window) {
	limit, binds := windowGauges(key)
	c.set.GetOrCreateGauge(limit, func() float64 {
		limit, _ := w.Limit()
		return min(limit, math.MaxInt32) // an infinite limit is shown as a large number
	})
	c.set.GetOrCreateGauge(binds, func() float64 {
		if w.State().Binds {
			return 1
		}
		return 0
	})
}

// Bounds of texts in the log that clients, workers or other daemons chose, in bytes.
const (
	maxLoggedBytes      = 128
	maxLoggedErrorBytes = 512
)

// logged returns a text of a client as it is logged.
func logged(s string) string { return text.Cut(s, maxLoggedBytes) }

// loggedError returns an error as it is logged, since it may quote what a worker sent.
func loggedError(err error) error {
	if err == nil || len(err.Error()) <= maxLoggedErrorBytes {
		return err
	}
	return errors.New(text.Cut(err.Error(), maxLoggedErrorBytes))
}

// record logs the request and counts its outcome.
func (e *exchange) record(ctx context.Context, f *fault) {
	now := e.server.opts.Now()
	status := e.status
	reason := ""
	if f != nil {
		status = f.status
		reason = f.reason
	}
	counters := e.server.opts.Counters
	counters.set.GetOrCreateCounter(`pointpass_requests_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	counters.duration.Update(now.Sub(e.arrived).Seconds())
	entry := e.server.opts.Log.Info().Str("event", "request").Str("id", logged(e.req.ID)).Int("status", status).
		Dur("took", now.Sub(e.arrived)).Int("sent", e.sent).Strs("targets", e.tried)
	if e.route != nil {
		entry = entry.Str("route", e.route.Name)
	}
	if e.service != nil {
		entry = entry.Str("service", e.service.Name)
	}
	if e.req.Model != "" {
		entry = entry.Str("model", logged(e.req.Model)).Int("prompt", e.req.PromptTokens).Int("answer", e.req.MaxAnswerTokens)
	}
	if e.customer != nil {
		entry = entry.Str("customer", e.customer.Name)
	}
	if e.inForce.Catalog != nil {
		entry = entry.Uint64("config", e.inForce.Catalog.Version()).Dur("config_age", e.inForce.Age(e.arrived))
	}
	if !e.firstEvent.IsZero() {
		counters.firstEvent.Update(e.firstEvent.Sub(e.arrived).Seconds())
		entry = entry.Dur("first_event", e.firstEvent.Sub(e.arrived)).Int("resumed", e.resumed)
	}
	if v := e.barred; !v.Allowed() {
		entry = entry.Str("barred", string(v.Reason)).Str("hall", v.Hall).Str("region", v.Region).Uint64("fact_version", v.Version)
		if !v.ObservedAt.IsZero() {
			entry = entry.Dur("fact_age", now.Sub(v.ObservedAt))
		}
		entry = entry.Strs("route_regions", e.barredRegions.Route).Strs("customer_regions", e.barredRegions.Customer)
	}
	if h := e.hold; h != nil {
		entry = entry.Str("fingerprint", h.Fingerprint.String()).Uint64("hold_version", h.Version).Dur("hold_known", now.Sub(h.ReceivedAt))
	}
	if r := e.overload; r != nil {
		entry = entry.Float64("window", min(r.state.Limit, math.MaxInt32)).Float64("delay", r.state.Delay).
			Bool("share_binds", r.state.Binds).Float64("share_part", r.state.Part).Float64("queue_s", r.state.Queue).
			Float64("share", r.entry.Rate).Float64("asked", r.entry.Load).Dur("work", r.entry.Work).Float64("rank", r.entry.Rank)
	}
	if e.forwardedTo != "" || e.forwardedBy != "" {
		entry = entry.Str("forwarded_to", e.forwardedTo).Str("forwarded_by", logged(e.forwardedBy))
	}
	if u := e.overBudget; u != nil {
		entry = entry.Int("budget_requests", u.Requests).Int("budget_retries", u.Retries).Float64("budget_limit", u.Limit).Int("budget_unread", u.Unread).Float64("budget_unread_limit", u.UnreadLimit)
	}
	if f != nil {
		entry = entry.Str("reason", text.Cut(reason, maxLoggedErrorBytes)).Bool("aborted", f.aborted).Bool("caller_gone", ctx.Err() != nil).Bool("over_budget", e.overBudget != nil).Dur("retry_after", f.retryAfter)
	}
	entry.Msg("")
}

// logFailedAttempt logs an attempt that failed. The fingerprints show whether the same request,
// or one that shares a part of its prompt, failed earlier, here or at another daemon.
func (e *exchange) logFailedAttempt(target Target, err error) {
	now := e.server.opts.Now()
	entry := e.server.opts.Log.Warn().Str("event", "attempt_failed").Str("id", logged(e.req.ID)).Str("target", target.Key).
		Str("worker", target.Worker.ID).Dur("after", now.Sub(e.arrived).Round(time.Microsecond)).Str("stage", e.stage.String())
	if f, known := e.fingerprint(); known {
		entry = entry.Str("fingerprint", f.String())
	}
	if parts := e.partFingerprints(); len(parts) > 0 {
		entry = entry.Strs("parts", quarantine.Strings(parts))
	}
	var lost *LostError
	if errors.As(err, &lost) {
		entry = entry.Bool("kept", lost.Kept)
	}
	entry.Err(loggedError(err)).Msg("")
}
