package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pointpass/pointpass/common/memory"
	"github.com/pointpass/pointpass/common/problem"
	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/connlimit"
	"github.com/pointpass/pointpass/tree"
)

// Request headers.
const (
	headerKind        = "Pointpass-Kind"
	headerEvent       = "Pointpass-Event"
	headerDeadline    = "Pointpass-Deadline-Ms"
	headerKey         = "Idempotency-Key"
	headerLastEventID = "Last-Event-Id"
)

// Response headers.
const (
	headerRequest = "Pointpass-Request-Id"
	headerNode    = "Pointpass-Node"
	headerGroup   = "Pointpass-Group"
)

// servicePrefix is the path prefix of requests to plain services.
const servicePrefix = "/svc/"

// defaultKind is the kind of requests without a kind header.
const defaultKind = "question"

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 10 * time.Minute

// call is a validated request, with the settings that apply to it.
type call struct {
	id          string
	customer    string
	effective   *tree.Effective
	pool        tree.Pool
	kindName    string
	kind        tree.Kind
	key         string
	deadline    time.Time
	wantsStream bool
	prefix      uint64
	resumeFrom  *eventID

	method string
	path   string
	header http.Header
	body   *memory.Bytes

	// releaseBody gives the memory of the body back, nil if there is none.
	releaseBody func()

	headerSent bool // the header of a streamed answer was sent
	// mayHaveRun reports whether a request with the same key or an attempt of
	// this one may have run. The outcome reported to the caller is then never NotRun.
	mayHaveRun bool
}

// release gives the memory of the request back.
func (c *call) release() {
	if c.releaseBody != nil {
		c.releaseBody()
	}
}

// atMostOnce reports whether the request may run at most once.
func (c *call) atMostOnce() bool { return !c.kind.Repeatable }

// refusalOutcome returns the outcome that a refusal reports: NotRun only if the
// request certainly did not run.
func (c *call) refusalOutcome() problem.Outcome {
	if c.mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

func (c *call) fingerprint() []byte {
	h := sha256.New()
	h.Write([]byte(c.method + " " + c.path + "\n"))
	c.body.WriteTo(h)
	return h.Sum(nil)
}

// Bodies reads the bodies of requests.
type Bodies interface {
	// Read reads a body of at most limit bytes. The returned function gives its memory back. The error is a
	// *connlimit.RefusedError if the body was refused.
	Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*memory.Bytes, func(), error)
}

// parser validates HTTP requests and returns them as calls.
type parser struct {
	tree            func() *tree.Tree
	bodies          Bodies
	maxBodyBytes    int64
	bodyReadTimeout time.Duration
	now             func() time.Time
	decoding        chatGate
}

// parse validates a request. The problem names the invalid field; the request
// has not run.
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
	service, fault := p.readService(r, c)
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
	body, release, err := p.bodies.Read(w, r, p.maxBodyBytes, p.bodyReadTimeout)
	if err != nil {
		return p.bodyProblem(err)
	}
	c.body, c.releaseBody = body, release
	return nil
}

// bodyProblem returns the answer to a request whose body was not read to its end.
func (p *parser) bodyProblem(err error) *problem.Problem {
	var refused *connlimit.RefusedError
	if errors.As(err, &refused) {
		switch refused.Reason() {
		case connlimit.BodyTooLong:
			return problem.New(http.StatusRequestEntityTooLarge, problem.NotRun, "at most %d bytes are taken", p.maxBodyBytes).WithField("body")
		case connlimit.NoMemory:
			return problem.New(http.StatusServiceUnavailable, problem.NotRun, "there is no memory for the body").WithField("body").WithRetryAfter(time.Second)
		case connlimit.Stopping:
			return problem.New(http.StatusServiceUnavailable, problem.NotRun, "this daemon is stopping").WithField("body").WithRetryAfter(time.Second)
		}
	}
	return problem.New(http.StatusRequestTimeout, problem.NotRun, "the body did not arrive whole in time").WithField("body").WithRetryAfter(time.Second)
}

// readService returns the name of the called service. It parses the body of chat
// completions.
func (p *parser) readService(r *http.Request, c *call) (string, *problem.Problem) {
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
	defer p.decoding.enter(c.body.Len())()
	return c.readChat()
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
		allowed = units.Millis(int64(ms))
	}
	c.deadline = p.now().Add(allowed)
	return nil
}

func (c *call) readLastEvent(r *http.Request) *problem.Problem {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return nil
	}
	id, ok := parseEventID(text)
	if !ok {
		return problem.New(http.StatusBadRequest, problem.NotRun, "want an id as it came with an event").WithField(headerLastEventID)
	}
	c.resumeFrom = &id
	return nil
}
