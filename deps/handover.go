package deps

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/claims"
)

// handOverPoll is the interval between reads of the table while this daemon waits for the slots
// whose claims it was sent.
const handOverPoll = 50 * time.Millisecond

// HandOverTimeout returns how long HandOver may take: the wait for the table, the transfer of
// claims to two successors that don't answer and to one that does, and the write of the table.
func (d *Deps) HandOverTimeout() time.Duration {
	t := d.Config.Timing()
	return 2*t.Platform + 3*t.Peer
}

// HandOver gives up all duties, and transfers the claims of each slot to its next owner. A slot
// whose claims can't be transferred is given up without them, and its keys are then unknown.
func (d *Deps) HandOver(ctx context.Context) error {
	d.Owner.CloseTransfers()
	d.awaitSlots(ctx)
	delivered := claims.Deliver(ctx, d.Keeper.Seal(), d.exportClaims, d.Peers, d.Log)
	return d.Keeper.HandOver(ctx, delivered)
}

// awaitSlots reads the table, to learn which daemons have ended, until this daemon holds the slots
// whose claims it was sent. A daemon that stops at the same time would otherwise name this one as
// their owner after it has ended.
func (d *Deps) awaitSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Config.Timing().Platform)
	defer cancel()
	for {
		d.Mirror.Poll(ctx)
		if !d.Owner.AwaitsSlots(d.Keeper) {
			return
		}
		select {
		case <-ctx.Done():
			d.Log.Warn().Msg("slots whose claims were sent to this daemon are still held by their senders")
			return
		case <-time.After(handOverPoll):
		}
	}
}

// exportClaims returns the claims of a duty's slot, or false if it has none.
func (d *Deps) exportClaims(name string) (claims.Transfer, bool) {
	slot, ok := slotOf(name)
	if !ok {
		return claims.Transfer{}, false
	}
	return d.Ledger.Export(slot)
}
