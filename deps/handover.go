package deps

import (
	"context"
	"sync"

	"github.com/pointpass/pointpass/duty"
)

// HandOver gives up all duties, and the claims of each slot to its next owner.
// A slot whose claims don't arrive is given up without them: its keys are
// unknown then.
func (d *Deps) HandOver(ctx context.Context) error {
	handovers := d.Keeper.Seal()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var arrived []duty.Handover
	for _, h := range handovers {
		wg.Go(func() {
			if err := d.transfer(ctx, h); err != nil {
				d.Log.Warn().Err(err).Str("duty", h.Name()).Msg("claims not handed over, their keys will be unknown")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			arrived = append(arrived, h)
		})
	}
	wg.Wait()
	return d.Keeper.HandOver(ctx, arrived)
}

func (d *Deps) transfer(ctx context.Context, h duty.Handover) error {
	slot, ok := slotOf(h.Name())
	if !ok {
		return nil
	}
	transfer, open := d.Ledger.Export(slot)
	if !open {
		return nil
	}
	return d.Peers.Transfer(ctx, h.To().Addr(), transfer)
}
