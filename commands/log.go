package commands

import (
	"bytes"
	"errors"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

const (
	// logQueueLines and logQueueBytes bound the lines that wait for a slow reader of the
	// log; further lines are dropped.
	logQueueLines = 4096
	logQueueBytes = 2 << 20
	// logFlushTimeout bounds the wait for the reader of the log at the end of the process.
	logFlushTimeout = 200 * time.Millisecond
)

var (
	// errNotFlushed means that the reader of the log didn't take the last lines.
	errNotFlushed = errors.New("the log was not read in time")
	// errLogFull means that too much of the log waits for its reader.
	errLogFull = errors.New("the log is not read fast enough")
)

// droppingWriter is a log writer that never blocks. It drops lines while the queue is
// full and after Close, since requests that are cut off at shutdown may still log.
type droppingWriter struct {
	mu     sync.RWMutex // guards closed; held for reading during a write
	closed bool
	lines  chan []byte
	// waiting is the size of the queued lines and of the one that is being written.
	waiting atomic.Int64
	flushed chan error // receives the error of the last write
	to      *countingWriter
	// dropped counts the lines that were not queued.
	dropped atomic.Uint64
}

func newDroppingWriter(to io.Writer) *droppingWriter {
	w := &droppingWriter{to: &countingWriter{to: to}, lines: make(chan []byte, logQueueLines), flushed: make(chan error, 1)}
	go w.run()
	return w
}

// run writes the queued lines until the queue is closed.
func (w *droppingWriter) run() {
	var err error
	for line := range w.lines {
		_, err = w.to.Write(line)
		w.waiting.Add(-int64(len(line)))
	}
	w.flushed <- err
}

// WriteEntry implements log.Writer.
func (w *droppingWriter) WriteEntry(e *log.Entry) (int, error) {
	return log.IOWriter{Writer: w}.WriteEntry(e)
}

// Write queues a line.
func (w *droppingWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, nil
	}
	size := int64(len(line))
	if w.waiting.Add(size) <= logQueueBytes {
		select {
		case w.lines <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	w.waiting.Add(-size)
	w.dropped.Add(1)
	return 0, errLogFull
}

// Close flushes the queued lines as long as their reader takes them in time; later ones are dropped.
func (w *droppingWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case err := <-w.flushed:
		return err
	case <-time.After(logFlushTimeout):
		return errNotFlushed
	}
}

// Dropped returns how many lines were dropped since their reader was too slow.
func (w *droppingWriter) Dropped() uint64 { return w.dropped.Load() }

// Failed returns how many lines couldn't be written.
func (w *droppingWriter) Failed() uint64 { return w.to.failed.Load() }

// countingWriter counts the writes that fail.
type countingWriter struct {
	to     io.Writer
	failed atomic.Uint64
}

// Write implements io.Writer.
func (w *countingWriter) Write(line []byte) (int, error) {
	n, err := w.to.Write(line)
	if err != nil {
		w.failed.Add(1)
	}
	return n, err
}

// ignoreBrokenPipes makes writes to a standard output whose reader has gone fail. Go ends a process at such a write
// otherwise.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// maxLibraryLineBytes bounds the part of a library's log line that is kept: some contain what a peer sent.
const maxLibraryLineBytes = 200

// libraryLog logs lines that libraries write to Go's standard log.
type libraryLog struct{ log *log.Logger }

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	text := strings.ToValidUTF8(strings.TrimSpace(string(line[:min(len(line), maxLibraryLineBytes)])), "?")
	l.log.Warn().Str("event", "library").Msg(text)
	return len(line), nil
}

// captureLibraryLog directs Go's standard log to a logger, and returns a function that restores it.
func captureLibraryLog(logger *log.Logger) func() {
	flags := stdlog.Flags()
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{logger})
	return func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(os.Stderr)
	}
}
