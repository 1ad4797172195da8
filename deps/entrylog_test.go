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

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// TestEntryLog_LogsOneLinePerSecondUnderLoad guards against a log line for each update when many
// entries change. 50 updates per second, of one or ten changes each, give one line per second; the
// counts include the last update.
func TestEntryLog_LogsOneLinePerSecondUnderLoad(t *testing.T) {
	for _, perUpdate := range []int{1, 10} {
		synctest.Test(t, func(t *testing.T) {
			out := &logBuffer{}
			l := &entryLog{log: &log.Logger{Writer: &log.IOWriter{Writer: out}}}
			const seconds = 10
			for i := range 50 * seconds {
				l.logAggregated(make([]workers.Worker, perUpdate), nil, store.Update{At: store.At(0, uint64(i)), Evidence: time.Now()})
				l.logAggregated(nil, nil, store.Update{Evidence: time.Now()})
				time.Sleep(time.Second / 50)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			text := out.text.String()
			must.LessEq(t, seconds+2, strings.Count(text, "\n"))
			must.StrContains(t, text, `"store_version":499`)
			must.EqOp(t, 50*seconds, sumField(text, `"updates":`))
			must.EqOp(t, 50*seconds*perUpdate, sumField(text, `"changed":`))
		})
	}
}

// sumField adds up the numbers that follow a field's name.
func sumField(text, field string) int {
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
