package deps

import (
	"context"
	"sync"

	"github.com/pointpass/pointpass/duty"
)

// HandOver gives up all duties, and transfers the claims of each slot to its next owner. A slot
// whose claims can't be transferred is given up without them, and its keys are then unknown.
func (d *Deps) HandOver(ctx context.Context) error {
	handovers := d.Keeper.Seal()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var delivered []duty.Handover
	for _, h := range handovers {
		wg.Go(func() {
			if err := d.transfer(ctx, h); err != nil {
				d.Log.Warn().Err(err).Str("duty", h.Name()).Msg("failed to transfer claims; their keys will be unknown to the next owner")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			delivered = append(delivered, h)
		})
	}
	wg.Wait()
	return d.Keeper.HandOver(ctx, delivered)
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
