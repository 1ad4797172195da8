// Package timeline summarizes the logs of daemons in a table by time: open groups, idle
// workers and their staged models, started loads and the status of requests. It helps to
// find out why groups are missing.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// record holds the fields of a daemon's log line that the timeline uses.
type record struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	// Fields of worker events, from the worker's entry in the store.
	Worker  string   `json:"worker"`
	Service string   `json:"service"`
	Group   string   `json:"group"`
	State   string   `json:"state"`
	Staged  []string `json:"staged"`
	Domain  string   `json:"domain"`
	Version uint64   `json:"store_version"`
	// Fields of order events.
	Op    string `json:"op"`
	Model string `json:"model"`
	// Fields of events about dissolved groups.
	Reason  string `json:"reason"`
	Serving bool   `json:"serving"`
	// Fields of request events.
	Status     int     `json:"status"`
	FirstEvent float64 `json:"first_event"` // ms
	Resumed    int     `json:"resumed"`

	// offset is the time since the start of the log.
	offset time.Duration
}

// parseLog returns the records of a log. Lines may have an offset in seconds and the
// daemon's name before the JSON object, as the operators' benchmark prints them.
// Otherwise the offset counts from the first record. Lines without a record are skipped,
// since a log may be mixed with other output.
func parseLog(r io.Reader) ([]record, error) {
	var records []record
	var first time.Time
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var rec record
		if err := json.Unmarshal(line[start:], &rec); err != nil || rec.Event == "" {
			continue
		}
		if first.IsZero() {
			first = rec.Time
		}
		rec.offset = rec.Time.Sub(first)
		if offset, ok := parseOffset(line[:start]); ok {
			rec.offset = offset
		}
		records = append(records, rec)
	}
	return records, scanner.Err()
}

// parseOffset returns the offset before a record, and false if there is none.
func parseOffset(text []byte) (time.Duration, bool) {
	fields := bytes.Fields(text)
	if len(fields) == 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(string(fields[0]), 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}
