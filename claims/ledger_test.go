package claims

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

const keyAhead = time.Second

func bounds() Bounds {
	return Bounds{Claims: 100, AnswerBytes: 100, Retention: 10 * time.Minute, KeyAhead: keyAhead}
}

// keyAt returns the nth key with the timestamp t.
func keyAt(t time.Time, n int) string {
	var id uuid.UUID
	ms := t.UnixMilli()
	for i := 5; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	id[6], id[7], id[8], id[15] = 0x70, byte(n>>8), 0x80, byte(n)
	return id.String()
}

func request(key, attempt string) Request {
	return NewRequest("c", key, []byte("f"), attempt, time.Minute)
}

func openLedger(since time.Time) *Ledger {
	l := NewLedger(bounds())
	l.Open(0, 1, since)
	return l
}

func claimState(l *Ledger, now time.Time, req Request) State { return l.Claim(now, 0, 1, req).State() }

func TestLedger_GrantsAKeyToOneAttempt(t *testing.T) {
	l := openLedger(start)
	key := keyAt(start.Add(time.Second), 1)
	now := start.Add(time.Second)
	must.EqOp(t, Granted, claimState(l, now, request(key, "a1")))
	must.EqOp(t, Granted, claimState(l, now, request(key, "a1")), must.Sprint("same attempt claims again"))
	must.EqOp(t, Running, claimState(l, now, request(key, "a2")))
	must.True(t, l.Settle("c", key, "a1", SettledDone, NewAnswer(200, "t", []byte("x"))))
	result := l.Claim(now, 0, 1, request(key, "a2"))
	must.EqOp(t, Done, result.State())
	must.EqOp(t, "x", string(result.Answer().Body()))
}

func TestLedger_States(t *testing.T) {
	now := start.Add(time.Minute)
	fresh := keyAt(now, 1)
	cases := []struct {
		name string
		do   func(l *Ledger) State
		want State
	}{
		{"created before the takeover", func(l *Ledger) State { return claimState(l, now, request(keyAt(start.Add(-1), 1), "a")) }, Unknown},
		{"timestamp in the future", func(l *Ledger) State { return claimState(l, now, request(keyAt(now.Add(2*keyAhead), 1), "a")) }, Ahead},
		{"older than the retention of answers", func(l *Ledger) State {
			return claimState(l, now.Add(time.Hour), request(fresh, "a"))
		}, Unknown},
		{"another epoch", func(l *Ledger) State { return l.Claim(now, 0, 2, request(fresh, "a")).State() }, NotOwner},
		{"another slot", func(l *Ledger) State { return l.Claim(now, 1, 1, request(fresh, "a")).State() }, NotOwner},
		{"another request", func(l *Ledger) State {
			claimState(l, now, request(fresh, "a"))
			return claimState(l, now, NewRequest("c", fresh, []byte("other"), "b", time.Minute))
		}, Mismatch},
		{"another customer", func(l *Ledger) State {
			claimState(l, now, request(fresh, "a"))
			return claimState(l, now, NewRequest("d", fresh, []byte("f"), "b", time.Minute))
		}, Granted},
		{"abandoned before sending", func(l *Ledger) State {
			claimState(l, now, request(fresh, "a"))
			l.Settle("c", fresh, "a", SettledNotRun, nil)
			return claimState(l, now, request(fresh, "b"))
		}, Granted},
		{"never settled", func(l *Ledger) State {
			claimState(l, now, request(fresh, "a"))
			return claimState(l, now.Add(2*time.Minute), request(fresh, "b"))
		}, Unknown},
		{"may have run", func(l *Ledger) State {
			claimState(l, now, request(fresh, "a"))
			l.Settle("c", fresh, "a", SettledUnknown, nil)
			return claimState(l, now, request(fresh, "b"))
		}, Unknown},
		{"settled by another attempt", func(l *Ledger) State {
			claimState(l, now, request(fresh, "a"))
			l.Settle("c", fresh, "z", SettledNotRun, nil)
			return claimState(l, now, request(fresh, "b"))
		}, Running},
		{"ledger full", func(l *Ledger) State {
			for i := range bounds().Claims {
				claimState(l, now, request(keyAt(now, 1000+i), "a"))
			}
			return claimState(l, now, request(fresh, "a"))
		}, Full},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.EqOp(t, c.want, c.do(openLedger(start))) })
	}
}

func TestLedger_DropsOldAnswersNotTheirClaims(t *testing.T) {
	l := openLedger(start)
	for i := range 3 {
		key := keyAt(start, i)
		claimState(l, start, request(key, "a"))
		l.Settle("c", key, "a", SettledDone, NewAnswer(200, "t", make([]byte, 40)))
	}
	oldest := l.Claim(start, 0, 1, request(keyAt(start, 0), "b"))
	must.EqOp(t, Done, oldest.State())
	must.Nil(t, oldest.Answer())
	must.NotNil(t, l.Claim(start, 0, 1, request(keyAt(start, 2), "b")).Answer())
}

// TestLedger_OwnersNeverGrantAKeyTwice guards against a key that two owners grant to
// different attempts. It runs random sequences in one slot: an owner succeeds another
// after the lease and its margin, may be paused between reading the clock and
// deciding, and the clocks of callers are skewed.
func TestLedger_OwnersNeverGrantAKeyTwice(t *testing.T) {
	const lease, margin = 4 * time.Second, 1500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := start
		grants := map[string]string{}
		type owner struct {
			ledger *Ledger
			epoch  uint64
			until  time.Time // end of its lease by its own clock
		}
		owners := []owner{{ledger: openLedger(time.Time{}), epoch: 1, until: now.Add(lease)}}
		paused := []func(){}
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			last := &owners[len(owners)-1]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // renew
				if now.Before(last.until) {
					last.until = now.Add(lease)
				}
			case 1: // succeed, after the lease and the margin
				now = last.until.Add(margin + time.Millisecond)
				next := owner{ledger: NewLedger(bounds()), epoch: last.epoch + 1, until: now.Add(lease)}
				next.ledger.Open(0, next.epoch, now)
				owners = append(owners, next)
			case 2: // paused owners resume
				for _, resume := range paused {
					resume()
				}
				paused = nil
			default: // a caller claims a key from a random owner
				o := owners[rapid.IntRange(0, len(owners)-1).Draw(t, "owner")]
				skew := time.Duration(rapid.IntRange(-9000, 9000).Draw(t, "skew")) * time.Millisecond
				key := keyAt(now.Add(skew), rapid.IntRange(0, 2).Draw(t, "key"))
				attempt := fmt.Sprint(step)
				read := now
				if !read.Before(o.until) {
					continue // the lease has expired: NotOwner
				}
				decide := func() {
					if o.ledger.Claim(read, 0, o.epoch, request(key, attempt)).State() == Granted {
						other, granted := grants[key]
						must.False(t, granted, must.Sprintf("%s granted to %s and %s", key, other, attempt))
						grants[key] = attempt
					}
				}
				if rapid.Bool().Draw(t, "paused") {
					paused = append(paused, decide)
					continue
				}
				decide()
			}
		}
	})
}
