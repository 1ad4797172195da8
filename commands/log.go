package commands

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// logChannel is how many lines wait for a slow reader of the log; more are
// dropped.
const logChannel = 4096

// lastingWriter writes a log that never blocks: lines that a slow reader leaves no room
// for are dropped, and so are those that come after it was closed, when requests that
// were broken off at the end of a daemon's time may still write some.
type lastingWriter struct {
	mu     sync.RWMutex // of closing
	closed bool
	lines  *log.AsyncWriter
}

func newLastingWriter(to io.Writer) *lastingWriter {
	return &lastingWriter{lines: &log.AsyncWriter{ChannelSize: logChannel, DiscardOnFull: true, Writer: log.IOWriter{Writer: to}}}
}

// WriteEntry implements log.Writer.
func (w *lastingWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, nil
	}
	return w.lines.WriteEntry(e)
}

// Close writes what waits.
func (w *lastingWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return w.lines.Close()
}
