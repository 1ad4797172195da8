package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pointpass/pointpass/common/problem"
	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/tree"
)

// Headers that callers send.
const (
	headerKind     = "Pointpass-Kind"
	headerEvent    = "Pointpass-Event"
	headerDeadline = "Pointpass-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerLastID   = "Last-Event-Id"
)

// Headers that callers get.
const (
	headerRequest = "Pointpass-Request-Id"
	headerNode    = "Pointpass-Node"
	headerGroup   = "Pointpass-Group"
)

// servicePrefix is where plain services are called.
const servicePrefix = "/svc/"

// defaultKind is the kind of chat completions that name none.
const defaultKind = "question"

// maxDeadline is the longest deadline that a caller may ask for.
const maxDeadline = 10 * time.Minute

// prefixBytes is how much of a conversation's start tells which requests share
// a cached prefix.
const prefixBytes = 2048

// call is a request as the gateway works on it: checked, and with what the
// settings say of it.
type call struct {
	id        string
	customer  string
	effective *tree.Effective
	pool      tree.Pool
	kindName  string
	kind      tree.Kind
	key       string
	deadline  time.Time
	stream    bool
	prefix    uint64
	resume    *eventID

	method string
	path   string
	header http.Header
	body   []byte

	streaming bool // the answer's head was sent
	// mayHaveRun tells that a request with the same key or an attempt of this
	// one may have run, so that nothing else may be said to the caller.
	mayHaveRun bool
}

// once tells whether the request may run at most once.
func (c *call) once() bool { return !c.kind.Repeatable }

// refusalOutcome returns what a refusal may truly say now.
func (c *call) refusalOutcome() problem.Outcome {
	if c.mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

func (c *call) fingerprint() []byte {
	h := sha256.New()
	h.Write([]byte(c.method + " " + c.path + "\n"))
	h.Write(c.body)
	return h.Sum(nil)
}

// chatRequest is what the gateway needs of an OpenAI-style chat completion.
type chatRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// parser turns HTTP requests into calls.
type parser struct {
	tree      func() *tree.Tree
	bodyBytes int64
	bodyRead  time.Duration
	now       func() time.Time
}

// parse checks a request. The problem names the part at fault; nothing has run.
func (p *parser) parse(w http.ResponseWriter, r *http.Request) (*call, *problem.Problem) {
	c := &call{id: reqkey.New(), method: r.Method, path: r.URL.RequestURI()}
	t := p.tree()
	customer, fault := authenticate(t, r)
	if fault != nil {
		return c, fault
	}
	c.customer = customer
	if fault := p.readBody(w, r, c); fault != nil {
		return c, fault
	}
	service, fault := c.readTarget(r)
	if fault != nil {
		return c, fault
	}
	if fault := c.resolve(t, service, r.Header.Get(headerEvent)); fault != nil {
		return c, fault
	}
	if fault := c.readKind(r); fault != nil {
		return c, fault
	}
	if fault := c.readKey(r); fault != nil {
		return c, fault
	}
	if fault := p.readDeadline(r, c); fault != nil {
		return c, fault
	}
	return c, c.readLastEvent(r)
}

func authenticate(t *tree.Tree, r *http.Request) (string, *problem.Problem) {
	if t == nil {
		return "", problem.New(http.StatusServiceUnavailable, problem.NotRun, "this daemon has no settings yet").WithRetryAfter(time.Second)
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", problem.New(http.StatusUnauthorized, problem.NotRun, "want an API key as a bearer token").WithField("Authorization")
	}
	sum := sha256.Sum256([]byte(key))
	customer, known := t.CustomerOf(hex.EncodeToString(sum[:]))
	if !known {
		return "", problem.New(http.StatusUnauthorized, problem.NotRun, "the API key is not known").WithField("Authorization")
	}
	return customer, nil
}

func (p *parser) readBody(w http.ResponseWriter, r *http.Request, c *call) *problem.Problem {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(p.bodyRead))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.bodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return problem.New(http.StatusRequestEntityTooLarge, problem.NotRun, "at most %d bytes are taken", tooLong.Limit).WithField("body")
	}
	if err != nil {
		return problem.New(http.StatusRequestTimeout, problem.NotRun, "the body did not arrive whole in time").WithField("body").WithRetryAfter(time.Second)
	}
	// A body that failed keeps its deadline, or the server would wait for the
	// rest before it answers.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// readTarget finds out which service is called, and checks the body of chat
// completions.
func (c *call) readTarget(r *http.Request) (string, *problem.Problem) {
	c.header = http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if values := r.Header.Values(name); len(values) > 0 {
			c.header[name] = values
		}
	}
	if rest, plain := strings.CutPrefix(r.URL.Path, servicePrefix); plain {
		service, _, _ := strings.Cut(rest, "/")
		c.path = strings.TrimPrefix(c.path, servicePrefix+service)
		if !strings.HasPrefix(c.path, "/") {
			c.path = "/" + c.path
		}
		return service, nil
	}
	return c.readChat()
}

func (c *call) readChat() (string, *problem.Problem) {
	var chat chatRequest
	if err := json.Unmarshal(c.body, &chat); err != nil {
		return "", problem.New(http.StatusBadRequest, problem.NotRun, "not a chat completion: %v", err).WithField("body")
	}
	if chat.Model == "" {
		return "", problem.New(http.StatusBadRequest, problem.NotRun, "must name a service").WithField("model")
	}
	if len(chat.Messages) == 0 {
		return "", problem.New(http.StatusBadRequest, problem.NotRun, "must hold a message").WithField("messages")
	}
	c.stream = chat.Stream
	first := chat.Messages[0]
	c.prefix = xxhash.Sum64(first[:min(len(first), prefixBytes)])
	return chat.Model, nil
}

func (c *call) resolve(t *tree.Tree, service, event string) *problem.Problem {
	names := []string{c.customer, service}
	if event != "" {
		names = append(names, event)
	}
	path, err := tree.ParsePath(string(tree.NewPath(names...)))
	if err != nil {
		return problem.New(http.StatusNotFound, problem.NotRun, "%v", err).WithField("service")
	}
	effective, ok := t.Effective(path)
	if !ok {
		return problem.New(http.StatusNotFound, problem.NotRun, "%s is not in the settings", path).WithField("service")
	}
	pool, ok := t.Pool(effective.Pool())
	if !ok {
		return problem.New(http.StatusNotFound, problem.NotRun, "%s has no pool in the settings", path).WithField("service")
	}
	c.effective = effective
	c.pool = pool
	return nil
}

func (c *call) readKind(r *http.Request) *problem.Problem {
	c.kindName = r.Header.Get(headerKind)
	if c.kindName == "" {
		c.kindName = defaultKind
	}
	kind, ok := c.effective.Kind(c.kindName)
	if !ok {
		return problem.New(http.StatusBadRequest, problem.NotRun, "unknown kind %.64q; want one of %s",
			c.kindName, strings.Join(c.effective.Kinds(), ", ")).WithField(headerKind)
	}
	c.kind = kind
	return nil
}

func (c *call) readKey(r *http.Request) *problem.Problem {
	c.key = r.Header.Get(headerKey)
	if len(c.key) > reqkey.MaxLen {
		return problem.New(http.StatusBadRequest, problem.NotRun, "at most %d bytes are taken", reqkey.MaxLen).WithField(headerKey)
	}
	for _, b := range []byte(c.key) {
		if b <= ' ' || b > '~' || b == '/' {
			return problem.New(http.StatusBadRequest, problem.NotRun, "want printable ASCII without spaces and slashes").WithField(headerKey)
		}
	}
	return nil
}

func (p *parser) readDeadline(r *http.Request, c *call) *problem.Problem {
	allowed := c.kind.Deadline()
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 || ms > int(maxDeadline.Milliseconds()) {
			return problem.New(http.StatusBadRequest, problem.NotRun, "want 1 to %d milliseconds", maxDeadline.Milliseconds()).WithField(headerDeadline)
		}
		allowed = time.Duration(ms) * time.Millisecond
	}
	c.deadline = p.now().Add(allowed)
	return nil
}

func (c *call) readLastEvent(r *http.Request) *problem.Problem {
	text := r.Header.Get(headerLastID)
	if text == "" {
		return nil
	}
	id, ok := parseEventID(text)
	if !ok {
		return problem.New(http.StatusBadRequest, problem.NotRun, "want an id as it came with an event").WithField(headerLastID)
	}
	c.resume = &id
	return nil
}
