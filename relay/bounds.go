package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/common/memory"
	"github.com/pointpass/pointpass/connlimit"
	"github.com/pointpass/pointpass/rpc"
)

const (
	// maxMessageBytes bounds the message of a call. The longest one reports 128 crashes with 34
	// requests of 32 parts each, 2.6 MB.
	maxMessageBytes = 4 << 20
	// maxDecodedBytes bounds the memory of a decoded message, as decodedBytes estimates it.
	maxDecodedBytes = 16 << 20
	// maxJSONBytes bounds a message in JSON, which no daemon sends.
	maxJSONBytes = 64 << 10
	// largeMessageBytes is the memory beyond which messages are decoded one at a time.
	largeMessageBytes = 1 << 20
	// jsonExpansion is how many times its length a message in JSON, or of an unknown call, takes decoded.
	jsonExpansion = 16
	// messageTimeout bounds how long a message may take to arrive: longer than any call.
	messageTimeout = 2 * time.Second
	// maxReplyBytes bounds the reply to a call, whose rows are compressed, and
	// maxReplyHeadBytes its head.
	maxReplyBytes     = 16 << 20
	maxReplyHeadBytes = 64 << 10
)

// maxAddresses bounds how many addresses of daemons are remembered. Beyond it, all are forgotten.
const maxAddresses = 4096

// Bounds of reports. Daemons report 64 models or a few more, and 256 limits.
const (
	maxReportedModels = 128
	maxReportedLimits = 1024
	// maxModelBytes bounds the names of a model, its service and its regions.
	maxModelBytes = 512
	// maxKeyBytes bounds the name of a group or a worker, as a key of the store.
	maxKeyBytes = 200
)

// checkNames returns an error if a name in a report is longer than names are.
func checkNames(reporter string, names ...string) error {
	if len(reporter) > maxNameBytes {
		return twirp.InvalidArgumentError("reporter", "is too long")
	}
	for _, name := range names {
		if len(name) > maxKeyBytes {
			return twirp.InvalidArgumentError("name", "is too long")
		}
	}
	return nil
}

// protobufType is the content type of what daemons send.
const protobufType = "application/protobuf"

// BodyReader reads bodies of calls.
type BodyReader interface {
	// Read reads a body of at most limit bytes within a time. The returned function gives its
	// memory back. The error is a *connlimit.RefusedError if the caller may be answered.
	Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*memory.Bytes, func(), error)
	// Reserve reserves memory for what a body becomes once it is decoded, or for a reply. The returned
	// function gives it back. The error is a *connlimit.RefusedError.
	Reserve(n int64) (func(), error)
}

// NewHandler returns a handler of the calls of other daemons.
func NewHandler(s *Server, bodies BodyReader) http.Handler {
	replies := newReplyGate(bodies)
	calls := rpc.NewRelayServer(s, twirp.WithServerInterceptors(replies.intercept))
	decoding := &decodingGate{bodies: bodies, large: make(chan struct{}, 1)}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := int64(maxMessageBytes)
		encoded := r.Header.Get("Content-Type") == protobufType
		if !encoded {
			limit = maxJSONBytes
		}
		body, release, err := bodies.Read(w, r, limit, messageTimeout)
		var refused *connlimit.RefusedError
		if errors.As(err, &refused) {
			http.Error(w, refused.Error(), statusOf(refused.Reason()))
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // the caller has gone
		}
		defer release()
		data := bytes.NewBuffer(make([]byte, 0, body.Len()))
		body.WriteTo(data)
		decoded := jsonExpansion * data.Len()
		if m := messageOf(r.URL.Path); encoded && m != nil {
			decoded = decodedBytes(m, data.Bytes())
		}
		if decoded > maxDecodedBytes {
			http.Error(w, "the message takes too much memory", http.StatusRequestEntityTooLarge)
			return
		}
		releaseDecoded, err := decoding.enter(r.Context(), data.Len()+decoded) // Twirp copies the data
		if errors.As(err, &refused) {
			http.Error(w, refused.Error(), statusOf(refused.Reason()))
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer releaseDecoded()
		r.Body = io.NopCloser(data)
		reply := &replyWriter{ResponseWriter: w, gate: replies, encoded: encoded}
		defer reply.close()
		calls.ServeHTTP(reply, r.WithContext(context.WithValue(r.Context(), replyKey{}, reply)))
	})
}

// decodingGate bounds the memory of messages that are decoded at once: that of small ones comes from the memory for
// bodies; large ones, which may need more than is free there, are decoded one at a time.
type decodingGate struct {
	bodies BodyReader
	large  chan struct{}
}

// enter waits until a message that takes n bytes may be decoded. The returned function must be called once it is handled.
func (g *decodingGate) enter(ctx context.Context, n int) (func(), error) {
	if n <= largeMessageBytes {
		return g.bodies.Reserve(int64(n))
	}
	select {
	case g.large <- struct{}{}:
		return func() { <-g.large }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// statusOf returns the status by which a message is refused.
func statusOf(reason connlimit.Reason) int {
	switch reason {
	case connlimit.BodyTooLong:
		return http.StatusRequestEntityTooLarge
	case connlimit.BodyLate:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// boundedTransport bounds the replies that a transport returns.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	}
	return resp, err
}
