package deps

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// lines counts what is logged.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// TestEntryLog_AStormIsALineASecond: 50 changes a second, and ten times as many, are told in
// one line a second that counts them all, the last of them too.
func TestEntryLog_AStormIsALineASecond(t *testing.T) {
	for _, each := range []int{1, 10} {
		synctest.Test(t, func(t *testing.T) {
			out := &lines{}
			l := &entryLog{log: &log.Logger{Writer: &log.IOWriter{Writer: out}}}
			const seconds = 10
			for i := range 50 * seconds {
				l.note(make([]workers.Worker, each), nil, store.Update{At: store.At(0, uint64(i)), Evidence: time.Now()})
				l.note(nil, nil, store.Update{Evidence: time.Now()})
				time.Sleep(time.Second / 50)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			text := out.text.String()
			must.LessEq(t, seconds+2, strings.Count(text, "\n"))
			must.StrContains(t, text, `"store_version":499`)
			must.EqOp(t, 50*seconds, sumOf(text, `"updates":`))
			must.EqOp(t, 50*seconds*each, sumOf(text, `"changed":`))
		})
	}
}

// sumOf adds up the numbers after a field's name.
func sumOf(text, field string) int {
	sum := 0
	for _, rest := range strings.Split(text, field)[1:] {
		n := 0
		for _, c := range rest {
			if c < '0' || c > '9' {
				break
			}
			n = 10*n + int(c-'0')
		}
		sum += n
	}
	return sum
}
