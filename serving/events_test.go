package serving

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
)

// TestEventReader checks which bytes count as events of a stream, which as padding between these, and which
// as neither.
func TestEventReader(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for _, c := range []struct {
		text, last string
		events     int
		err        error
	}{
		{first + "id: 2\ndata: b\ndata: c\n\n", "", 2, nil},
		{"x-pointpass-weight-versions: 3\nid: 1\ndata: a\n\n", "", 1, nil},
		{"event: token\r\nid: 1\r\ndata: a\r\n\r\n", "", 1, nil},
		{"id:1\ndata\n\n", "", 1, nil},
		{": comment\n\n" + first + "\n\n" + "retry: 3\n\n" + "event: ping\n\n" + "id: 2\n\n", "", 2, nil},
		{"data: a\n\ndata: b\n\n", "", 2, nil},
		{first + strings.Repeat(":\n\n", 1000) + "id: 2\ndata: b\n\n", "", 2, nil},
		{first + strings.Repeat(": ping\n\nid: 2\n\n", 3), "", 4, nil}, // the order is checked where events are relayed
		{first + "data: b\n\n", "", 1, errNoEventID},
		{"data: b\n\n", "7", 0, errNoEventID},
		{first + "no field of an event\n\n", "", 1, errNotAnEvent},
		{first + "{\"json\": 1}\n\n", "", 1, errNotAnEvent},
		{first + "id: 2\ndata: b\n\x00\xff\n\n", "", 1, errNotAnEvent},
		{first + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 1, errNotAnEvent},
		{first + strings.Repeat("\n", 2*maxPaddingBytes), "", 1, errPadding},
		{first + strings.Repeat(": comment\n\n", maxPaddingBytes), "", 1, errPadding},
		{first + "id: 2\nda", "", 1, errTruncated},
	} {
		r := newEventReader(strings.NewReader(c.text), c.last)
		events := 0
		var whole strings.Builder
		for r.next() {
			if r.isEvent() {
				events++
			}
			whole.Write(r.block())
		}
		must.EqOp(t, c.events, events, must.Sprint(c.text))
		must.ErrorIs(t, r.err, c.err, must.Sprint(c.text))
		must.StrHasPrefix(t, whole.String(), c.text)
		must.EqOp(t, c.err == nil, whole.String() == c.text)
	}
}

// TestServe_PaddingBeforeTheFirstEvent checks that an answer starts with its first event: padding before it
// reaches the caller with that event, and not at all if its worker breaks off.
func TestServe_PaddingBeforeTheFirstEvent(t *testing.T) {
	padded := func(rest string) handler {
		return func(Attempt) (*Reply, error) { return events(": wait\n\n" + rest), nil }
	}
	for _, c := range []struct {
		handlers []handler
		body     string
	}{
		{[]handler{padded("id: 1\ndata: x\n\n")}, ": wait\n\nid: 1\ndata: x\n\n"},
		{[]handler{padded("id: 1\nda"), padded("id: 1\ndata: x\n\n")}, ": wait\n\nid: 1\ndata: x\n\n"},
		{[]handler{padded("")}, ": wait\n\n"},
	} {
		f := newFleet(catalog.Stream, allHalls, c.handlers...)
		f.configure(nil, nil)
		w, aborted := f.ask()
		must.False(t, aborted)
		must.EqOp(t, http.StatusOK, w.Code)
		must.EqOp(t, c.body, w.Body.String())
	}
}
