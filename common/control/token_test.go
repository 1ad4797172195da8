package control

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// TestClient_FaultyHeads guards against an answer of another daemon whose head isn't HTTP.
func TestClient_FaultyHeads(t *testing.T) {
	client, closeClient := NewClient("token", nil)
	defer closeClient()
	for _, c := range connstest.FaultyHeads("", "body") {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+connstest.NewServer(t, c.Text)+"/x", nil)
		must.NoError(t, err)
		resp, err := client.Do(r)
		if err == nil {
			resp.Body.Close()
		}
		must.Error(t, err, must.Sprint(c.Name))
	}
}
