// Package node parses and holds the settings of a daemon that runs on a platform which
// keeps its state in a store.
package node

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pointpass/pointpass/common/jsonc"
	"github.com/pointpass/pointpass/common/units"
)

// Settings are the settings of one daemon. They are immutable.
type Settings struct {
	name          string
	hall          string
	callersAddr   string
	readinessAddr string
	metricsAddr   string
	peersAddr     string
	seeds         []string
	cores         float64
	memoryMB      float64
	maxFDs        float64
	storeAddr     string
	logLevel      string
	firstStart    bool
	hallRegions   map[string]string
	bounds        Bounds
	// source is the text that the settings were parsed from.
	source []byte
}

// Bounds are the limits that the operator of the platform has guaranteed to others.
type Bounds struct {
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	// MaxRevocationDelay is how long a key may still be accepted after it was revoked.
	MaxRevocationDelay time.Duration
	// StrictRevocation makes MaxRevocationDelay apply while the store can't be reached as
	// well, so that keys aren't accepted on older evidence.
	StrictRevocation bool
	// MaxEvidenceAge is the maximum age of the evidence for a key if StrictRevocation is
	// false.
	MaxEvidenceAge time.Duration
	// RetryRatio and RetryExtra bound the retries for a service within
	// RetryWindow, over all daemons.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ReconnectDeadline is the time within which a daemon has to act on the store's data
	// after the store serves it again.
	ReconnectDeadline time.Duration
	// Fenced is true if workers refuse orders with an old fencing token.
	Fenced bool
	// LoadWindow and LoadOverrun bound how many loads of weights may start.
	LoadWindow  time.Duration
	LoadOverrun float64
	// ColdOverrun and ColdSlack bound how many requests a cold worker gets within a second
	// from all daemons: ColdOverrun times its capacity, plus ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
}

type fileSettings struct {
	Name          string   `json:"name"`
	Hall          string   `json:"hall"`
	CallersAddr   string   `json:"callers_addr"`
	ReadinessAddr string   `json:"readiness_addr"`
	MetricsAddr   string   `json:"metrics_addr"`
	PeersAddr     string   `json:"peers_addr"`
	Seeds         []string `json:"seeds"`
	Cores         float64  `json:"cores"`
	MemoryMB      float64  `json:"memory_mb"`
	MaxFDs        float64  `json:"max_fds"`
	StoreAddr     string   `json:"store_addr"`
	LogLevel      string   `json:"log_level"`
	FirstStart    bool     `json:"first_start"`
	// HallRegions is the region of each data hall.
	HallRegions map[string]string `json:"hall_regions"`
	Bounds      fileBounds        `json:"bounds"`
}

type fileBounds struct {
	GraceS       *float64 `json:"grace_s"`
	RevokeMs     *float64 `json:"revoke_ms"`
	RevokeStrict *bool    `json:"revoke_strict"`
	AdmitS       *float64 `json:"admit_s"`
	RetryRatio   *float64 `json:"retry_ratio"`
	RetryExtra   *float64 `json:"retry_extra"`
	RetryWindowS *float64 `json:"retry_window_s"`
	InTouchMs    *float64 `json:"in_touch_ms"`
	Fenced       *bool    `json:"fenced"`
	LoadWindowS  *float64 `json:"load_window_s"`
	LoadOverrun  *float64 `json:"load_overrun"`
	ColdOverrun  *float64 `json:"cold_overrun"`
	ColdSlack    *float64 `json:"cold_slack"`
}

// Defaults of optional settings. They are safe where the operator guarantees nothing.
const (
	defaultGraceS       = 8
	defaultRevokeMs     = 5000
	defaultRevokeStrict = true
	// defaultAdmitS is longer than the store outages that users tolerate, and short enough
	// that a daemon which is cut off for good doesn't accept revoked keys for long.
	defaultAdmitS       = 60
	defaultRetryRatio   = 0.1
	defaultRetryExtra   = 10
	defaultRetryWindowS = 10
	defaultInTouchMs    = 3000
	defaultLoadWindowS  = 5
	defaultLoadOverrun  = 1
	defaultColdOverrun  = 1
	defaultColdSlack    = 0
)

// minRetryWindow is the shortest window of retries, in which requests can still be told apart by time.
const minRetryWindow = time.Millisecond

// Load reads a settings file. The error names every mistake with its line and
// field.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse parses settings. The name of the file is used in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	s, _, err := parse(file, data)
	return s, err
}

// parse is like Parse, and also returns the document, which has the line of each field.
func parse(file string, data []byte) (*Settings, *jsonc.Document, error) {
	document, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, nil, err
	}
	var f fileSettings
	if err := document.Decode(&f); err != nil {
		return nil, nil, err
	}
	c := &checker{document: document}
	s := &Settings{
		name:          c.text("name", f.Name),
		hall:          f.Hall,
		callersAddr:   c.address("callers_addr", f.CallersAddr),
		readinessAddr: c.address("readiness_addr", f.ReadinessAddr),
		metricsAddr:   c.address("metrics_addr", f.MetricsAddr),
		peersAddr:     c.optionalAddress("peers_addr", f.PeersAddr),
		seeds:         c.seeds(f.Seeds),
		cores:         c.number("cores", &f.Cores, 0),
		memoryMB:      c.number("memory_mb", &f.MemoryMB, 0),
		maxFDs:        c.number("max_fds", &f.MaxFDs, 0),
		storeAddr:     c.address("store_addr", f.StoreAddr),
		logLevel:      c.logLevel(f.LogLevel),
		firstStart:    f.FirstStart,
		hallRegions:   c.hallRegions(f.HallRegions),
		bounds:        c.bounds(f.Bounds),
		source:        data,
	}
	return s, document, errors.Join(c.mistakes...)
}

type checker struct {
	document *jsonc.Document
	mistakes []error
}

func (c *checker) mistake(field, format string, args ...any) {
	c.mistakes = append(c.mistakes, c.document.ErrorAt(field, format, args...))
}

func (c *checker) text(field, value string) string {
	if value == "" {
		c.mistake(field, "must be given")
	}
	return value
}

func (c *checker) address(field, value string) string {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.mistake(field, "want an IP number and a port, found %q", value)
	}
	return value
}

// logLevels lists the allowed values of log_level.
var logLevels = []string{"", "debug", "info", "warn", "error"}

func (c *checker) logLevel(value string) string {
	if !slices.Contains(logLevels, value) {
		c.mistake("log_level", "want one of debug, info, warn and error, found %q", value)
	}
	return value
}

func (c *checker) optionalAddress(field, value string) string {
	if value == "" {
		return ""
	}
	return c.address(field, value)
}

func (c *checker) bounds(f fileBounds) Bounds {
	return Bounds{
		GracePeriod:        c.seconds("bounds.grace_s", f.GraceS, defaultGraceS),
		MaxRevocationDelay: c.seconds("bounds.revoke_ms", f.RevokeMs, defaultRevokeMs) / 1000,
		StrictRevocation:   boolOr(f.RevokeStrict, defaultRevokeStrict),
		MaxEvidenceAge:     c.seconds("bounds.admit_s", f.AdmitS, defaultAdmitS),
		RetryRatio:         c.number("bounds.retry_ratio", f.RetryRatio, defaultRetryRatio),
		RetryExtra:         c.number("bounds.retry_extra", f.RetryExtra, defaultRetryExtra),
		RetryWindow:        c.retryWindow(f.RetryWindowS),
		ReconnectDeadline:  c.seconds("bounds.in_touch_ms", f.InTouchMs, defaultInTouchMs) / 1000,
		Fenced:             boolOr(f.Fenced, false),
		LoadWindow:         c.seconds("bounds.load_window_s", f.LoadWindowS, defaultLoadWindowS),
		LoadOverrun:        c.number("bounds.load_overrun", f.LoadOverrun, defaultLoadOverrun),
		ColdOverrun:        c.number("bounds.cold_overrun", f.ColdOverrun, defaultColdOverrun),
		ColdSlack:          c.number("bounds.cold_slack", f.ColdSlack, defaultColdSlack),
	}
}

// seeds checks the addresses of other daemons.
func (c *checker) seeds(addrs []string) []string {
	var checked []string
	for i, addr := range addrs {
		checked = append(checked, c.address("seeds."+strconv.Itoa(i), addr))
	}
	return checked
}

// hallRegions checks that each data hall has a region.
func (c *checker) hallRegions(regions map[string]string) map[string]string {
	for _, hall := range slices.Sorted(maps.Keys(regions)) {
		if hall == "" || regions[hall] == "" {
			c.mistake("hall_regions", "want the name of a hall and of its region, found %q: %q", hall, regions[hall])
		}
	}
	return regions
}

func boolOr(value *bool, fallback bool) bool {
	if value == nil {
		return fallback
	}
	return *value
}

func (c *checker) number(field string, value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	if *value < 0 {
		c.mistake(field, "want 0 or more, found %v", *value)
	}
	return *value
}

func (c *checker) seconds(field string, value *float64, fallback float64) time.Duration {
	if value != nil && *value <= 0 {
		c.mistake(field, "want more than 0, found %v", *value)
		return 0
	}
	return units.Seconds(c.number(field, value, fallback))
}

func (c *checker) retryWindow(value *float64) time.Duration {
	const field = "bounds.retry_window_s"
	if value != nil && *value > 0 && units.Seconds(*value) < minRetryWindow {
		c.mistake(field, "want %v or more, found %v", minRetryWindow.Seconds(), *value)
	}
	return c.seconds(field, value, defaultRetryWindowS)
}

// Name returns the daemon's name, which is unique.
func (s *Settings) Name() string { return s.name }

// Hall returns the data hall that the daemon runs in.
func (s *Settings) Hall() string { return s.hall }

// CallersAddr returns the address at which callers are served.
func (s *Settings) CallersAddr() string { return s.callersAddr }

// ReadinessAddr returns the address of the load balancer's readiness check.
func (s *Settings) ReadinessAddr() string { return s.readinessAddr }

// MetricsAddr returns the address at which metrics are served.
func (s *Settings) MetricsAddr() string { return s.metricsAddr }

// Seeds returns the addresses of a few daemons that this one queries at startup to discover
// its peers. Some of them may not exist any more, and one may be this daemon itself.
func (s *Settings) Seeds() []string { return slices.Clone(s.seeds) }

// PeersAddr returns the address at which other daemons are served, "" for none.
func (s *Settings) PeersAddr() string { return s.peersAddr }

// Cores returns the number of CPU cores that the daemon may use, 0 if not set. It may be a
// fraction.
func (s *Settings) Cores() float64 { return s.cores }

// Memory returns how many bytes of memory the daemon may use, 0 if not set.
func (s *Settings) Memory() int64 { return units.Bytes(s.memoryMB * (1 << 20)) }

// MaxDescriptors returns how many files and sockets the daemon may have open, 0 if not set.
func (s *Settings) MaxDescriptors() int { return units.Count(s.maxFDs) }

// StoreAddr returns the address of the platform's store.
func (s *Settings) StoreAddr() string { return s.storeAddr }

// LogLevel returns the minimum level that is logged, "" for the default.
func (s *Settings) LogLevel() string { return s.logLevel }

// FirstStart reports whether the whole system starts for the first time, so that no
// request can have been served yet.
func (s *Settings) FirstStart() bool { return s.firstStart }

// HallRegions returns the regions of data halls, by the hall's name. Halls that the
// settings don't list are missing.
func (s *Settings) HallRegions() map[string]string { return maps.Clone(s.hallRegions) }

// Bounds returns the limits that the operator has guaranteed to others.
func (s *Settings) Bounds() Bounds { return s.bounds }
