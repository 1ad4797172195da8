package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the log of a run: what was sent, answered and run.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	broken int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fail writes a line that states that the rule is broken.
func (r *record) fail(format string, args ...any) {
	r.add("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// failures returns how many breaks of the rule were recorded.
func (r *record) failures() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// addLog copies the lines of a daemon's log that contain one of the given words.
func (r *record) addLog(name, path string, words ...string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	r.add("log of %s, in part:", name)
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		for _, word := range words {
			if strings.Contains(lines.Text(), word) {
				r.mu.Lock()
				fmt.Fprintln(r.file, "    "+lines.Text())
				r.mu.Unlock()
				break
			}
		}
	}
}
