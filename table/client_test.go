package table

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// TestClient_FaultyHeads guards against an answer of the platform whose head isn't HTTP.
func TestClient_FaultyHeads(t *testing.T) {
	for _, c := range connstest.FaultyHeads("", `{"version":9,"rows":[]}`) {
		client, closeClient := NewClient(connstest.NewServer(t, c.Text), 5*time.Second, nil)
		_, err := client.Scan(t.Context(), 0, "x")
		must.Error(t, err, must.Sprint(c.Name))
		_, err = client.Commit(t.Context(), Txn{})
		must.Error(t, err, must.Sprint(c.Name))
		closeClient()
	}
}
