package serving

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
)

// TestServe_BrokenStreamIsNotCompleteForOldCallers guards against a stream that breaks off and looks
// complete: the answer to a caller that speaks HTTP/1.0 has no chunks and ends with its connection.
func TestServe_BrokenStreamIsNotCompleteForOldCallers(t *testing.T) {
	for _, c := range []struct {
		handlers []handler
		whole    bool
	}{
		{[]handler{finishStream}, true},
		{[]handler{cutStream, cutStream, cutStream}, false},
	} {
		f, _, _ := newGuardedFleet(catalog.Stream, c.handlers...)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.server.Serve(w, r, &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m", Credential: "key", Timeout: time.Minute})
		}))
		t.Cleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		must.NoError(t, err)
		fmt.Fprint(conn, "POST /x HTTP/1.0\r\nHost: a.example\r\n\r\n")
		_, err = io.ReadAll(conn)
		must.EqOp(t, c.whole, err == nil)
		must.NoError(t, conn.Close())
	}
}
