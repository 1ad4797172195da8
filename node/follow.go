package node

import (
	"context"
	"os"
	"time"
)

// pollInterval is the interval at which the file is checked for changes without a signal.
// The strictest known site requires configurations to be in force within 2 s; settings
// have to be in force within half of that. Each check reads the whole file, about 1 KB,
// since a modification time may step back with the clock and may hide a second write
// within one clock tick.
const pollInterval = time.Second

// Watch reloads the holder's file on each signal, and when the file changes without one,
// until ctx ends. It passes the result of each reload to apply.
func Watch(ctx context.Context, h *Holder, signals <-chan os.Signal, apply func(ReloadResult)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			apply(h.Reload())
		case <-ticker.C:
			if r, changed := h.ReloadIfChanged(); changed {
				apply(r)
			}
		}
	}
}
