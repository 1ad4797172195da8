// Package timeline turns the logs of daemons into a table by time: which groups were
// open, which workers stood idle and what they had staged, which loads began, how
// requests ended. It is the first thing to look at when groups are missing.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// record is a line of a daemon's log, as far as it is looked at.
type record struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	// Of a worker as the store tells of it.
	Worker  string   `json:"worker"`
	Service string   `json:"service"`
	Group   string   `json:"group"`
	State   string   `json:"state"`
	Staged  []string `json:"staged"`
	Domain  string   `json:"domain"`
	Version uint64   `json:"store_version"`
	// Of an order.
	Op    string `json:"op"`
	Model string `json:"model"`
	// Of a group that is dissolved.
	Reason  string `json:"reason"`
	Serving bool   `json:"serving"`
	// Of a request.
	Status     int     `json:"status"`
	FirstEvent float64 `json:"first_event"` // ms
	Resumed    int     `json:"resumed"`

	// at is when, on the log's own scale.
	at time.Duration
}

// read returns the records of a log. Lines may have a number of seconds and the
// daemon's name before the record, as the users' bench prints them; otherwise the
// scale begins with the first record. Lines that hold no record are skipped: a log may
// come with other output.
func read(r io.Reader) ([]record, error) {
	var records []record
	var begun time.Time
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
		if begun.IsZero() {
			begun = rec.Time
		}
		rec.at = rec.Time.Sub(begun)
		if seconds, ok := prefix(line[:start]); ok {
			rec.at = seconds
		}
		records = append(records, rec)
	}
	return records, scanner.Err()
}

// prefix returns the time that stands before a record.
func prefix(text []byte) (time.Duration, bool) {
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
