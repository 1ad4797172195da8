package node

import (
	"context"
	"os"
	"time"
)

// lookEvery is how often the file is looked at without a signal. Configurations have to
// be in force within 2 s at the strictest of the sites known; settings are held to half
// of that. The file is read whole, about 1 KB: its time of modification may step back
// with the clock and may miss a second write within one tick of it.
const lookEvery = time.Second

// Follow has the holder read its file again on each signal, and when the file changed
// without one, until ctx ends. Each reading is handed to take.
func Follow(ctx context.Context, h *Holder, signals <-chan os.Signal, take func(Reading)) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			take(h.Reload())
		case <-ticker.C:
			if r, changed := h.Look(); changed {
				take(r)
			}
		}
	}
}
