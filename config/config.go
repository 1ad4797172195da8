// Package config reads a daemon's settings file: its identity, addresses,
// timeouts and limits. Settings that operators change at run time are in package
// tree.
package config

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/pointpass/pointpass/common/jsonc"
)

// Config holds the validated contents of a settings file. It is immutable.
type Config struct {
	node         string
	hall         string
	callersAddr  string
	controlAddr  string
	platformAddr string
	controlToken string
	peers        []string
	logLevel     string
	logFile      string
	timing       Timing
	limits       Limits
}

// Timing holds a daemon's intervals and timeouts.
type Timing struct {
	// Lease is how long a daemon holds its duties without a renewal.
	Lease time.Duration
	// LeaseMargin is how long a successor waits after the lease has expired. It
	// covers KeyAhead and the difference between clocks.
	LeaseMargin time.Duration
	// Poll is the interval between reads of the platform's table.
	Poll time.Duration
	// Probe is the interval between probes of a group's member.
	Probe time.Duration
	// Suspect is how long a member may leave probes unanswered before its group
	// gets no new work.
	Suspect time.Duration
	// Absent is how long a member may leave probes unanswered before its group is
	// dissolved.
	Absent time.Duration
	// Order bounds how long an order to an endpoint may be in flight.
	Order time.Duration
	// Load bounds the time from a group's formation until it serves.
	Load time.Duration
	// KeyAhead is how far ahead of a daemon's clock a key may be dated.
	KeyAhead time.Duration
	// KeepClaims is how long the answer to a key is retained.
	KeepClaims time.Duration
	// Platform bounds one call to the platform.
	Platform time.Duration
	// Peer bounds one call to another daemon.
	Peer time.Duration
	// Drain bounds how long a daemon waits for streams in flight at shutdown.
	Drain time.Duration
	// Deadline bounds a request whose kind sets no deadline.
	Deadline time.Duration
	// HeaderRead bounds how long a caller may take to send its headers.
	HeaderRead time.Duration
	// BodyRead bounds how long a caller may take to send its body.
	BodyRead time.Duration
	// CallerWrite bounds how long one write to a caller may block.
	CallerWrite time.Duration
}

// Limits holds the limits on memory and concurrency.
type Limits struct {
	// BodyBytes is the maximum length of a request body.
	BodyBytes int64
	// HeaderBytes is the maximum length of a request header.
	HeaderBytes int
	// AnswerBytes is the maximum length of an answer that is not streamed.
	AnswerBytes int64
	// KeptAnswerBytes is the maximum length of an answer that is retained for a key.
	KeptAnswerBytes int
	// Claims is the maximum number of keys that one daemon tracks.
	Claims int
	// ClaimsBytes bounds the total length of the answers retained with them.
	ClaimsBytes int64
	// Requests is the maximum number of requests in flight at one daemon.
	Requests int
	// Slots is the number of slots that keys are distributed over. All daemons must
	// have the same number.
	Slots int
	// Holders is the maximum number of daemons that hold duties at the same time.
	Holders int
	// Loads is the maximum number of groups of one domain that load at the same
	// time, because the weight store is rate-limited.
	Loads int
	// UndatedClaims is the maximum number of claims per second, for keys without
	// a time, that one daemon writes to the platform's table.
	UndatedClaims int
	// MemoryMB is the memory that the daemon may take, in MB of 1,048,576 bytes.
	MemoryMB int
}

// bytesPerMB is the number of bytes in an MB.
const bytesPerMB = 1 << 20

// Memory returns the memory that the daemon may take, in bytes.
func (l Limits) Memory() int64 { return int64(l.MemoryMB) * bytesPerMB }

// Default returns the values of optional settings.
func Default() Config {
	return Config{
		logLevel: "info",
		timing: Timing{
			Lease:       4 * time.Second,
			LeaseMargin: 1500 * time.Millisecond,
			Poll:        500 * time.Millisecond,
			Probe:       250 * time.Millisecond,
			Suspect:     750 * time.Millisecond,
			Absent:      3 * time.Second,
			Order:       time.Second,
			Load:        60 * time.Second,
			KeyAhead:    time.Second,
			KeepClaims:  10 * time.Minute,
			Platform:    2 * time.Second,
			Peer:        time.Second,
			Drain:       5 * time.Minute,
			Deadline:    time.Minute,
			HeaderRead:  5 * time.Second,
			BodyRead:    10 * time.Second,
			CallerWrite: 10 * time.Second,
		},
		limits: Limits{
			BodyBytes:       1 << 20,
			HeaderBytes:     16 << 10,
			AnswerBytes:     8 << 20,
			KeptAnswerBytes: 64 << 10,
			Claims:          200_000,
			ClaimsBytes:     64 << 20,
			Requests:        10_000,
			Slots:           64,
			Holders:         24,
			Loads:           4,
			UndatedClaims:   5,
			MemoryMB:        2048,
		},
	}
}

// Node returns the daemon's name, which is unique among the entry VMs.
func (c *Config) Node() string { return c.node }

// Hall returns the data hall that the daemon runs in.
func (c *Config) Hall() string { return c.hall }

// CallersAddr returns the address on which callers are served.
func (c *Config) CallersAddr() string { return c.callersAddr }

// ControlAddr returns the address on which other daemons and operators are served.
func (c *Config) ControlAddr() string { return c.controlAddr }

// PlatformAddr returns the address of the platform.
func (c *Config) PlatformAddr() string { return c.platformAddr }

// ControlToken returns the secret that daemons and operators share.
func (c *Config) ControlToken() string { return c.controlToken }

// Peers returns the addresses of daemons to query while the platform is
// unavailable. Others are found in the VM list.
func (c *Config) Peers() []string { return c.peers }

// LogLevel returns the minimum level that is logged.
func (c *Config) LogLevel() string { return c.logLevel }

// LogFile returns the path of the log file; empty means standard error.
func (c *Config) LogFile() string { return c.logFile }

// Timing returns the intervals and timeouts.
func (c *Config) Timing() Timing { return c.timing }

// Limits returns the limits on memory and concurrency.
func (c *Config) Limits() Limits { return c.limits }

// Load reads and validates a settings file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{err: err}
	}
	return Decode(file, data)
}

// Decode validates the text of a settings file. The error joins one jsonc.Error
// per invalid field.
func Decode(file string, data []byte) (*Config, error) {
	doc, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var raw fileConfig
	if err := doc.Decode(&raw); err != nil {
		return nil, err
	}
	cfg := Default()
	c := validator{doc: doc}
	cfg.node = c.text("node", raw.Node)
	cfg.hall = c.text("hall", raw.Hall)
	cfg.callersAddr = c.addr("callers_addr", raw.CallersAddr)
	cfg.controlAddr = c.addr("control_addr", raw.ControlAddr)
	cfg.platformAddr = c.addr("platform_addr", raw.PlatformAddr)
	cfg.controlToken = c.text("control_token", raw.ControlToken)
	cfg.peers = c.peers(raw.Peers)
	cfg.logFile = raw.LogFile
	if raw.LogLevel != "" {
		cfg.logLevel = c.level(raw.LogLevel)
	}
	c.timing(&cfg.timing, raw.Timing)
	c.limits(&cfg.limits, raw.Limits)
	c.checkRelations(&cfg)
	if err := errors.Join(c.errs...); err != nil {
		return nil, err
	}
	return &cfg, nil
}

// FileError reports that the settings file could not be read.
type FileError struct {
	err error
}

// Error returns the message, which names the file.
func (e *FileError) Error() string { return "config: " + e.err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.err }

// validator converts the fields of one file and collects the errors in them.
type validator struct {
	doc  *jsonc.Document
	errs []error
}

func (c *validator) addError(field, format string, args ...any) {
	c.errs = append(c.errs, c.doc.ErrorAt(field, format, args...))
}

func (c *validator) text(field, value string) string {
	if value == "" {
		c.addError(field, "must be set")
	}
	return value
}

func (c *validator) addr(field, value string) string {
	if value == "" {
		c.addError(field, "must be set")
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(field, "want an IP number and a port, found %q", value)
	}
	return value
}

func (c *validator) peers(addrs []string) []string {
	for _, addr := range addrs {
		c.addr("peers", addr)
	}
	return addrs
}

func (c *validator) level(value string) string {
	switch value {
	case "debug", "info", "warn", "error":
	default:
		c.addError("log_level", "want debug, info, warn or error, found %q", value)
	}
	return value
}

// memoryPerBody is how many times the memory of a daemon must exceed the longest body of a request and of an answer.
const memoryPerBody = 32

// checkRelations checks the constraints between settings that the system's
// guarantees depend on.
func (c *validator) checkRelations(cfg *Config) {
	if bodies := cfg.limits.Memory() / memoryPerBody; cfg.limits.BodyBytes > bodies {
		c.addError("limits.body_bytes", "must be at most a %dth of memory_mb (%d bytes), so that bodies of this length find room beside others", memoryPerBody, bodies)
	}
	if answers := cfg.limits.Memory() / memoryPerBody; cfg.limits.AnswerBytes > answers {
		c.addError("limits.answer_bytes", "must be at most a %dth of memory_mb (%d bytes), so that answers of this length find room beside others", memoryPerBody, answers)
	}
	t := cfg.timing
	if t.LeaseMargin < t.KeyAhead+100*time.Millisecond {
		c.addError("timing.lease_margin", "must exceed key_ahead (%v) by at least 100ms, so that a new owner of a slot can tell which keys the previous owner may have granted", t.KeyAhead)
	}
	if t.Order >= t.Lease/2 {
		c.addError("timing.order", "must be under half of lease (%v), so that no order outlives the lease under which it was sent", t.Lease)
	}
	if t.Poll > t.Lease/4 {
		c.addError("timing.poll", "must be at most a quarter of lease (%v)", t.Lease)
	}
	if t.Suspect < 2*t.Probe {
		c.addError("timing.suspect", "must be at least twice probe (%v)", t.Probe)
	}
	if t.Absent < 2*t.Suspect {
		c.addError("timing.absent", "must be at least twice suspect (%v)", t.Suspect)
	}
}
