package claims

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/duty"
)

// Receiver sends the claims of a slot to another daemon.
type Receiver interface {
	Transfer(ctx context.Context, addr string, t Transfer) error
}

// Deliver transfers the claims that export returns for a duty to the duty's next holder, or to the
// next best one if that fails: a successor may have stopped itself just before. It returns the
// handovers that have a holder. Duties without claims go to the best successor that took all claims
// that it was sent.
func Deliver(ctx context.Context, handovers []duty.Handover, export func(name string) (Transfer, bool), to Receiver, logger *log.Logger) []duty.Handover {
	d := delivery{to: to, log: logger, failed: map[string]bool{}}
	var rest []duty.Handover
	var wg sync.WaitGroup
	for _, h := range handovers {
		t, ok := export(h.Name())
		if !ok {
			rest = append(rest, h)
			continue
		}
		wg.Go(func() { d.transfer(ctx, h, t) })
	}
	wg.Wait()
	for _, h := range rest {
		d.pass(h)
	}
	logger.Info().Int("duties", len(handovers)).Int("delivered", len(d.delivered)).Int("claims", d.claims).Int("failed_successors", len(d.failed)).Msg("duties delivered")
	return d.delivered
}

// delivery is the state of one call of Deliver.
type delivery struct {
	to  Receiver
	log *log.Logger

	mu        sync.Mutex
	delivered []duty.Handover
	claims    int
	failed    map[string]bool // names of successors that didn't take claims
}

// transfer sends claims to the best successor that takes them.
func (d *delivery) transfer(ctx context.Context, h duty.Handover, t Transfer) {
	for more := true; more; h, more = h.Next() {
		err := d.to.Transfer(ctx, h.To().Addr(), t)
		if err == nil {
			d.add(h, len(t.records))
			return
		}
		d.fail(h.To())
		d.log.Warn().Err(err).Str("duty", h.Name()).Str("successor", h.To().Name()).Int("claims", len(t.records)).Msg("successor did not take claims")
	}
	d.log.Warn().Str("duty", t.name()).Int("claims", len(t.records)).Msg("claims not transferred; their keys will be unknown to the next owner")
}

// pass hands a duty without claims to the best successor that hasn't failed.
func (d *delivery) pass(h duty.Handover) {
	for more := true; more; h, more = h.Next() {
		if !d.failed[h.To().Name()] {
			d.add(h, 0)
			return
		}
	}
}

func (d *delivery) add(h duty.Handover, claims int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delivered = append(d.delivered, h)
	d.claims += claims
}

func (d *delivery) fail(successor duty.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[successor.Name()] = true
}
