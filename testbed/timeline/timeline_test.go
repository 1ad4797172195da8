package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// log holds the lines of two daemons: a group of two opens and loses a member, a spare
// loads a model, requests end. The second daemon logs an outdated row last.
const log = `built in 0.1 s; not a record
  -1.00 e1 {"time":"2026-12-02T10:00:00Z","event":"started"}
  -0.90 e1 {"event":"worker","worker":"a","service":"llm","group":"m.large.1","state":"open","staged":["m.large"],"domain":"d0","store_version":3}
  -0.90 e1 {"event":"worker","worker":"b","service":"llm","group":"m.large.1","state":"ready","staged":["m.large"],"domain":"d0","store_version":4}
  -0.90 e1 {"event":"worker","worker":"c","service":"llm","group":"","state":"","staged":[],"domain":"d1","store_version":5}
  -0.90 e1 {"event":"worker","worker":"p","service":"app","group":"","state":"","staged":[],"domain":"","store_version":6}
   0.50 e1 {"event":"request","status":200,"first_event":150.5,"resumed":0}
   0.60 e1 {"event":"request","status":200,"first_event":350.5,"resumed":1}
   0.70 e2 {"event":"request","status":503,"first_event":0}
   2.10 e1 {"event":"order","op":"stage","model":"m.large","worker":"c"}
   2.20 e1 {"event":"worker_gone","worker":"b","store_version":7}
   2.30 e1 {"event":"worker","worker":"a","service":"llm","group":"","state":"","staged":["m.large"],"domain":"d0","store_version":8}
   2.25 e1 {"event":"group_dissolved","group":"m.large.1","reason":"a member doesn't answer","serving":true}
   2.40 e2 {"event":"worker","worker":"a","service":"llm","group":"m.large.1","state":"open","staged":["m.large"],"domain":"d0","store_version":3}
`

func TestRead(t *testing.T) {
	rows, err := Read(strings.NewReader(log), 2*time.Second)
	must.NoError(t, err)
	must.Len(t, 2, rows)
	first, second := rows[0], rows[1]
	must.EqOp(t, 2*time.Second, first.End)
	must.EqOp(t, 3, first.Workers)
	must.Eq(t, map[string]int{"m.large": 1}, first.Open)
	must.Eq(t, map[string]int{"none": 1}, first.Idle)
	must.Eq(t, map[int]int{200: 2, 503: 1}, first.Ended)
	must.EqOp(t, 1, first.Resumed)
	must.EqOp(t, 350500*time.Microsecond, first.FirstEvent)
	must.EqOp(t, 1, first.Started)
	must.EqOp(t, 2, second.Workers)
	must.MapEmpty(t, second.Open)
	must.Eq(t, map[string]int{"m.large": 1, "none": 1}, second.Idle)
	must.Eq(t, map[string]map[string]int{"d0": {"m.large": 1}, "d1": {"none": 1}}, second.IdleByDomain)
	must.Eq(t, map[string]int{"m.large": 1}, second.Loads)
	must.Eq(t, map[string]int{"serving, a member doesn't answer": 1}, second.Dissolved)
	must.MapEmpty(t, second.Ended)
}

// TestRead_LogWithoutOffsets checks that time counts from the first record if no offsets
// precede the records, that input without records gives no rows, and that a line that is
// too long gives an error.
func TestRead_LogWithoutOffsets(t *testing.T) {
	plain := `{"time":"2026-12-02T10:00:00Z","event":"started"}
{"time":"2026-12-02T10:00:05Z","event":"request","status":200}
`
	rows, err := Read(strings.NewReader(plain), 2*time.Second)
	must.NoError(t, err)
	must.Len(t, 3, rows)
	must.EqOp(t, 1, rows[0].Started)
	must.Eq(t, map[int]int{200: 1}, rows[2].Ended)
	rows, err = Read(strings.NewReader("nothing\n"), time.Second)
	must.NoError(t, err)
	must.SliceEmpty(t, rows)
	_, err = Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), time.Second)
	must.Error(t, err)
}

func TestWrite(t *testing.T) {
	rows, err := Read(strings.NewReader(log), 2*time.Second)
	must.NoError(t, err)
	var b strings.Builder
	must.NoError(t, Write(&b, rows, true))
	for _, want := range []string{"open groups", "m.large:1", "200:2 503:1", "351ms", "d1", "groups given up: 1, serving, a member doesn't answer"} {
		must.StrContains(t, b.String(), want)
	}
}
