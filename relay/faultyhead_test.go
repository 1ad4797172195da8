package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/pointpass/pointpass/common/conns/connstest"
	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// TestClient_FaultyHeads guards against an answer of another daemon whose head isn't HTTP.
func TestClient_FaultyHeads(t *testing.T) {
	body, err := proto.Marshal(&rpc.ChangesReply{Version: 9, Era: 1})
	must.NoError(t, err)
	client, closeClient := NewClient(tcp.Dialer(time.Second), time.Now)
	defer closeClient()
	for _, c := range connstest.FaultyHeads("Content-Type: application/protobuf\r\n", string(body)) {
		_, err := client.Changes(t.Context(), connstest.NewServer(t, c.Text), "t", store.At(1, 8), 0)
		must.Error(t, err, must.Sprint(c.Name))
	}
}
