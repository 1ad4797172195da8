package commands

import (
	"bytes"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
)

// TestLastingWriter_TakesLinesAfterItsEnd closes a log while lines are written to it, by
// one goroutine: with more the writer below races with itself over the length it returns.
func TestLastingWriter_TakesLinesAfterItsEnd(t *testing.T) {
	var out bytes.Buffer
	w := newLastingWriter(&out)
	logger := &log.Logger{Writer: w}
	logger.Info().Str("event", "first").Msg("")
	var writing sync.WaitGroup
	writing.Go(func() {
		for range 800 {
			logger.Info().Str("event", "more").Msg("")
		}
	})
	must.NoError(t, w.Close())
	writing.Wait()
	written := out.String()
	logger.Info().Str("event", "late").Msg("")
	must.StrContains(t, written, `"event":"first"`)
	must.EqOp(t, written, out.String())
}
