package commands

import (
	"bytes"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
)

// TestDroppingWriter_DropsLinesAfterClose guards against lines that reach the underlying
// writer during or after Close. One goroutine logs: with several, AsyncWriter races with
// itself on the length that it returns.
func TestDroppingWriter_DropsLinesAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := newDroppingWriter(&out)
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
