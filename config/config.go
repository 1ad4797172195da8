// Package config holds a daemon's settings file: what it is, where it listens
// and what bounds it. What operators change while it runs is in package tree.
package config

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/pointpass/pointpass/common/jsonc"
)

// Config is a checked settings file. It doesn't change after Load.
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

// Timing holds the lengths of time that a daemon works with.
type Timing struct {
	// Lease is how long a daemon holds its duties without renewal.
	Lease time.Duration
	// LeaseMargin is what a successor waits beyond the lease. It covers
	// KeyAhead and the difference between clocks.
	LeaseMargin time.Duration
	// Poll is the time between two reads of the platform's table.
	Poll time.Duration
	// Probe is the time between two probes of a group's member.
	Probe time.Duration
	// Suspect is how long a member may go without answering a probe before its
	// group gets no new work.
	Suspect time.Duration
	// Absent is how long a member may go without answering a probe before its
	// group is dissolved.
	Absent time.Duration
	// Order bounds how long an order to an endpoint may be under way.
	Order time.Duration
	// Load bounds how long a group may take from its formation to serving.
	Load time.Duration
	// KeyAhead is how far ahead of a daemon's clock a key may be dated.
	KeyAhead time.Duration
	// KeepClaims is how long the answer to a key is kept.
	KeepClaims time.Duration
	// Platform bounds one call to the platform.
	Platform time.Duration
	// Peer bounds one call to another daemon.
	Peer time.Duration
	// Drain bounds how long a daemon waits for streams when told to stop.
	Drain time.Duration
	// Deadline bounds a request whose kind sets no deadline.
	Deadline time.Duration
	// HeaderRead bounds how long a caller may take to send its headers.
	HeaderRead time.Duration
	// BodyRead bounds how long a caller may take to send its body.
	BodyRead time.Duration
	// CallerWrite bounds how long a caller may leave one write unread.
	CallerWrite time.Duration
}

// Limits holds the bounds on memory and concurrency.
type Limits struct {
	// BodyBytes is the longest request body.
	BodyBytes int64
	// HeaderBytes is the longest request header.
	HeaderBytes int
	// AnswerBytes is the longest answer that is not streamed.
	AnswerBytes int64
	// KeptAnswerBytes is the longest answer that is kept for a key.
	KeptAnswerBytes int
	// Claims is how many keys one daemon remembers.
	Claims int
	// ClaimsBytes bounds the answers kept with them.
	ClaimsBytes int64
	// Requests is how many requests one daemon works on at once.
	Requests int
	// Slots is how many ranges keys are spread over, alike on all daemons.
	Slots int
	// Holders is how many daemons hold duties at once.
	Holders int
	// Loads is how many groups of one domain may load at once, because the
	// weight store is rate-limited.
	Loads int
	// UndatedClaims is how many claims for keys without a time may be written
	// to the platform's table in a second, by one daemon.
	UndatedClaims int
}

// Default returns the settings that a file need not state.
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
		},
	}
}

// Node returns the daemon's own name, unique among the entry VMs.
func (c *Config) Node() string { return c.node }

// Hall returns the data hall that the daemon stands in.
func (c *Config) Hall() string { return c.hall }

// CallersAddr returns where callers are served.
func (c *Config) CallersAddr() string { return c.callersAddr }

// ControlAddr returns where other daemons and operators are served.
func (c *Config) ControlAddr() string { return c.controlAddr }

// PlatformAddr returns where the platform is.
func (c *Config) PlatformAddr() string { return c.platformAddr }

// ControlToken returns the secret that daemons and operators share.
func (c *Config) ControlToken() string { return c.controlToken }

// Peers returns daemons to ask while the platform doesn't answer. Others are
// learned from the VM list.
func (c *Config) Peers() []string { return c.peers }

// LogLevel returns the least level that is logged.
func (c *Config) LogLevel() string { return c.logLevel }

// LogFile returns where logs go; empty means standard error.
func (c *Config) LogFile() string { return c.logFile }

// Timing returns the lengths of time.
func (c *Config) Timing() Timing { return c.timing }

// Limits returns the bounds.
func (c *Config) Limits() Limits { return c.limits }

// Load reads and checks a settings file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{err: err}
	}
	return Decode(file, data)
}

// Decode checks the text of a settings file. The error joins one
// jsonc.Mistake for every mistake found.
func Decode(file string, data []byte) (*Config, error) {
	doc, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var written fileConfig
	if err := doc.Decode(&written); err != nil {
		return nil, err
	}
	cfg := Default()
	c := compiler{doc: doc}
	cfg.node = c.text("node", written.Node)
	cfg.hall = c.text("hall", written.Hall)
	cfg.callersAddr = c.addr("callers_addr", written.CallersAddr)
	cfg.controlAddr = c.addr("control_addr", written.ControlAddr)
	cfg.platformAddr = c.addr("platform_addr", written.PlatformAddr)
	cfg.controlToken = c.text("control_token", written.ControlToken)
	cfg.peers = c.peers(written.Peers)
	cfg.logFile = written.LogFile
	if written.LogLevel != "" {
		cfg.logLevel = c.level(written.LogLevel)
	}
	c.timing(&cfg.timing, written.Timing)
	c.limits(&cfg.limits, written.Limits)
	c.relations(&cfg)
	if err := errors.Join(c.mistakes...); err != nil {
		return nil, err
	}
	return &cfg, nil
}

// FileError says that the settings file could not be read.
type FileError struct {
	err error
}

// Error names the file.
func (e *FileError) Error() string { return "config: " + e.err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.err }

// compiler gathers the mistakes of one file.
type compiler struct {
	doc      *jsonc.Document
	mistakes []error
}

func (c *compiler) mistake(field, format string, args ...any) {
	c.mistakes = append(c.mistakes, c.doc.MistakeAt(field, format, args...))
}

func (c *compiler) text(field, value string) string {
	if value == "" {
		c.mistake(field, "must be set")
	}
	return value
}

func (c *compiler) addr(field, value string) string {
	if value == "" {
		c.mistake(field, "must be set")
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.mistake(field, "want an IP number and a port, found %q", value)
	}
	return value
}

func (c *compiler) peers(addrs []string) []string {
	for _, addr := range addrs {
		c.addr("peers", addr)
	}
	return addrs
}

func (c *compiler) level(value string) string {
	switch value {
	case "debug", "info", "warn", "error":
	default:
		c.mistake("log_level", "want debug, info, warn or error, found %q", value)
	}
	return value
}

// relations checks what must hold between settings for the promises to hold.
func (c *compiler) relations(cfg *Config) {
	t := cfg.timing
	if t.LeaseMargin < t.KeyAhead+100*time.Millisecond {
		c.mistake("timing.lease_margin", "must exceed key_ahead (%v) by 100ms at least, so that a new owner of a slot knows which keys the last one may have granted", t.KeyAhead)
	}
	if t.Order >= t.Lease/2 {
		c.mistake("timing.order", "must be under half of lease (%v), so that no order outlives the lease it was given under", t.Lease)
	}
	if t.Poll > t.Lease/4 {
		c.mistake("timing.poll", "must be at most a quarter of lease (%v)", t.Lease)
	}
	if t.Suspect < 2*t.Probe {
		c.mistake("timing.suspect", "must be at least twice probe (%v)", t.Probe)
	}
	if t.Absent < 2*t.Suspect {
		c.mistake("timing.absent", "must be at least twice suspect (%v)", t.Suspect)
	}
}
