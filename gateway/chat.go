package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"runtime"

	"github.com/cespare/xxhash/v2"

	"github.com/pointpass/pointpass/common/problem"
)

// prefixHashBytes is how much of the first message is hashed to find requests
// that share a cached prefix.
const prefixHashBytes = 2048

// chatRequest holds the fields of an OpenAI-style chat completion that the gateway reads.
type chatRequest struct {
	Model    string       `json:"model"`
	Stream   bool         `json:"stream"`
	Messages chatMessages `json:"messages"`
}

// chatMessages is what the gateway reads of messages.
type chatMessages struct {
	// present reports whether there is a message.
	present bool
	// prefix is the hash of the beginning of the first one.
	prefix uint64
}

// UnmarshalJSON implements json.Unmarshaler. It decodes the first message only.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = chatMessages{}
	d := json.NewDecoder(bytes.NewReader(data))
	token, err := d.Token()
	if err != nil || token == nil { // null
		return err
	}
	if token != json.Delim('[') {
		return errors.New("messages must be an array")
	}
	if !d.More() {
		return nil
	}
	var first json.RawMessage
	if err := d.Decode(&first); err != nil {
		return err
	}
	m.present = true
	m.prefix = xxhash.Sum64(first[:min(len(first), prefixHashBytes)])
	return nil
}

// largeChatBytes is the length beyond which chat completions are decoded one at a time.
const largeChatBytes = 64 << 10

// chatGate bounds the memory of chat completions that are decoded at once, which take several times their length: small
// ones by their number, large ones are decoded one at a time.
type chatGate struct{ small, large chan struct{} }

func newChatGate() chatGate {
	return chatGate{small: make(chan struct{}, runtime.GOMAXPROCS(0)), large: make(chan struct{}, 1)}
}

// enter waits until a chat completion of n bytes may be decoded. The returned function must be called once it is.
func (g chatGate) enter(n int) (leave func()) {
	entered := g.small
	if n > largeChatBytes {
		entered = g.large
	}
	entered <- struct{}{}
	return func() { <-entered }
}

// readChat decodes the body as a chat completion, and returns the name of the called service.
func (c *call) readChat() (string, *problem.Problem) {
	var text bytes.Buffer
	text.Grow(c.body.Len())
	c.body.WriteTo(&text)
	var chat chatRequest
	if err := json.Unmarshal(text.Bytes(), &chat); err != nil {
		return "", problem.New(http.StatusBadRequest, problem.NotRun, "not a chat completion: %v", err).WithField("body")
	}
	if chat.Model == "" {
		return "", problem.New(http.StatusBadRequest, problem.NotRun, "must name a service").WithField("model")
	}
	if !chat.Messages.present {
		return "", problem.New(http.StatusBadRequest, problem.NotRun, "must hold a message").WithField("messages")
	}
	c.wantsStream = chat.Stream
	c.prefix = chat.Messages.prefix
	return chat.Model, nil
}
