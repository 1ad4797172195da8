package conns

import "time"

// Bounds of the time in which no connections to an address are kept, after one ended under a request. It
// doubles with each loss that follows.
const (
	minFreshTime = time.Second
	maxFreshTime = 16 * time.Second
	// maxLosses is the number of addresses above which those are forgotten that have lost nothing lately.
	maxLosses = 1024
)

// loss is the last loss at an address.
type loss struct {
	// until is the end of the time in which no connections are kept, period its length.
	until  time.Time
	period time.Duration
}

// losses holds the addresses where kept connections ended under requests.
type losses map[string]loss

// record records a loss. Requests in flight at the same time are lost together and count once.
func (l losses) record(addr string, now time.Time) {
	last := l[addr]
	if now.Before(last.until) {
		return
	}
	period := minFreshTime
	if !last.forgotten(now) {
		period = min(2*last.period, maxFreshTime)
	}
	if len(l) >= maxLosses {
		l.prune(now)
	}
	l[addr] = loss{until: now.Add(period), period: period}
}

// recent reports whether no connection to an address is to be kept.
func (l losses) recent(addr string, now time.Time) bool { return now.Before(l[addr].until) }

// forgotten reports whether a loss no longer makes the next one count more.
func (l loss) forgotten(now time.Time) bool { return now.Sub(l.until) > maxFreshTime }

func (l losses) prune(now time.Time) {
	for addr, last := range l {
		if last.forgotten(now) {
			delete(l, addr)
		}
	}
}
