package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/reqkey"
)

func TestEventID_RoundTrips(t *testing.T) {
	id := eventID{group: "cairo-nasr.7", request: reqkey.New(), offset: 41}
	got, ok := parseEventID(id.String())
	must.True(t, ok)
	must.EqOp(t, id, got)
}

func TestStreamName_DependsOnTheCustomer(t *testing.T) {
	must.NotEqOp(t, streamName("a", "request"), streamName("b", "request"))
}

func FuzzParseEventID(f *testing.F) {
	f.Add("g.1/018f0000-0000-7000-8000-000000000000/3")
	f.Add("//")
	f.Add("g/018f0000-0000-7000-8000-000000000000/-1")
	f.Fuzz(func(t *testing.T, text string) {
		if id, ok := parseEventID(text); ok {
			must.EqOp(t, text, id.String())
		}
	})
}
