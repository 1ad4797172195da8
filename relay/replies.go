package relay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/pointpass/pointpass/rpc"
)

const (
	// replyTimeout bounds how long a reply may take to be read: no caller waits for longer.
	replyTimeout = maxWait + callTimeout
	// replyExpansion is how many times its length a reply takes as a message and encoded.
	replyExpansion = 4
)

// packedField is the number of the field with the compressed rows of a reply.
var packedField = (*rpc.ChangesReply)(nil).ProtoReflect().Descriptor().Fields().ByName("packed").Number()

// replyGate bounds the memory of replies that wait for their callers to read them. Compressed rows, which many
// replies share, count once.
type replyGate struct {
	bodies BodyReader
	// beside is taken by the one reply that is sent although the memory for bodies has no room for it: a small VM may lack
	// the room for a whole table.
	beside chan struct{}

	mu     sync.Mutex
	shared map[*byte]*sharedRows
}

// sharedRows are compressed rows that replies are being sent with.
type sharedRows struct {
	replies int
	release func()
}

func newReplyGate(bodies BodyReader) *replyGate {
	return &replyGate{bodies: bodies, beside: make(chan struct{}, 1), shared: map[*byte]*sharedRows{}}
}

// enter reserves memory for n bytes of a reply. The returned function gives it back.
func (g *replyGate) enter(n int) (func(), error) {
	release, err := g.bodies.Reserve(int64(n))
	if err == nil {
		return release, nil
	}
	select {
	case g.beside <- struct{}{}:
		return func() { <-g.beside }, nil
	default:
		return nil, err
	}
}

// enterShared reserves memory for rows unless another reply has done so.
func (g *replyGate) enterShared(rows []byte) (func(), error) {
	if leave, ok := g.join(rows, nil); ok {
		return leave, nil
	}
	release, err := g.enter(len(rows)) // may wait
	if leave, ok := g.join(rows, release); ok {
		return leave, nil
	}
	return nil, err
}

// join adds a reply to those that share rows. Without such replies, it adds the first one, whose reservation release gives
// back, or returns false if that is nil.
func (g *replyGate) join(rows []byte, release func()) (func(), bool) {
	key := &rows[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.shared[key]
	switch {
	case !ok && release == nil:
		return nil, false
	case !ok:
		s = &sharedRows{release: release}
		g.shared[key] = s
	case release != nil:
		release()
	}
	s.replies++
	return func() { g.leave(key, s) }, true
}

func (g *replyGate) leave(key *byte, s *sharedRows) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.replies--; s.replies == 0 {
		delete(g.shared, key)
		s.release()
	}
}

// intercept implements twirp.Interceptor. It refuses replies that there is no memory for.
func (g *replyGate) intercept(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		reply, err := next(ctx, request)
		m, ok := reply.(proto.Message)
		w, tracked := ctx.Value(replyKey{}).(*replyWriter)
		if err != nil || !ok || !tracked {
			return reply, err
		}
		if err := w.hold(m); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, "there is no memory for the reply")
		}
		return reply, nil
	}
}

type replyKey struct{}

// replyWriter writes the reply to a call.
type replyWriter struct {
	http.ResponseWriter
	gate    *replyGate
	encoded bool
	// packed are compressed rows that follow the rest of the reply, which Twirp would copy otherwise.
	packed  []byte
	release func()
}

// Unwrap is for http.ResponseController.
func (w *replyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// hold reserves memory for a reply until it is written.
func (w *replyWriter) hold(m proto.Message) (err error) {
	if changes, ok := m.(*rpc.ChangesReply); ok && w.encoded && len(changes.Packed) > 0 {
		w.packed, changes.Packed = changes.Packed, nil // the rest are a few numbers
		w.release, err = w.gate.enterShared(w.packed)
		return err
	}
	if n := proto.Size(m); n > 0 {
		w.release, err = w.gate.enter(replyExpansion * n)
	}
	return err
}

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) {
	if status != http.StatusOK {
		w.packed = nil
	}
	if w.packed != nil {
		n, _ := strconv.Atoi(w.Header().Get("Content-Length"))
		n += protowire.SizeTag(packedField) + protowire.SizeBytes(len(w.packed))
		w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(replyTimeout))
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It is called once.
func (w *replyWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	if err != nil || w.packed == nil {
		return n, err
	}
	prefix := protowire.AppendTag(nil, packedField, protowire.BytesType)
	prefix = protowire.AppendVarint(prefix, uint64(len(w.packed)))
	if _, err := w.ResponseWriter.Write(prefix); err != nil {
		return n, err
	}
	_, err = w.ResponseWriter.Write(w.packed)
	return n, err
}

// close sends what is buffered and gives the memory back.
func (w *replyWriter) close() {
	control := http.NewResponseController(w.ResponseWriter)
	control.Flush()
	control.SetWriteDeadline(time.Time{})
	if w.release != nil {
		w.release()
	}
}
