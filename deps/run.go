package deps

import (
	"context"
	"sync"
	"time"
)

// Run runs the control and settings planes until ctx ends.
func (d *Deps) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.Mirror.Run(ctx) })
	wg.Go(func() { d.Keeper.Run(ctx) })
	wg.Go(func() { d.Controller.Run(ctx) })
	wg.Go(func() { d.Tracker.Run(ctx) })
	wg.Go(func() { d.Dispatcher.Run(ctx) })
	wg.Go(func() { d.Clients.Run(ctx) })
	wg.Go(func() { d.pollPeerSettings(ctx) })
	wg.Wait()
}

// pollPeerSettings polls peers for newer settings while the platform's table doesn't respond.
func (d *Deps) pollPeerSettings(ctx context.Context) {
	poll := d.Config.Timing().Poll
	ticker := time.NewTicker(2 * poll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.Mirror.Age() < unreachableAfterPolls*poll {
			continue
		}
		if t := d.Peers.Settings(ctx, d.Tree.Revision()); t != nil {
			d.Tree.Replace(t)
		}
	}
}
