// Package node holds the settings of one daemon that runs on a platform which
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
)

// Settings are the settings of one daemon. They never change.
type Settings struct {
	name          string
	hall          string
	callersAddr   string
	readinessAddr string
	metricsAddr   string
	peersAddr     string
	seeds         []string
	cores         float64
	storeAddr     string
	logLevel      string
	firstStart    bool
	hallRegions   map[string]string
	bounds        Bounds
	// source is the text that the settings were read from.
	source []byte
}

// Bounds are what the operator of the platform has promised to others.
type Bounds struct {
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// Revoke is how long after its withdrawal a key may still be used.
	Revoke time.Duration
	// RevokeStrict tells that Revoke also holds while the store can't be reached, so
	// that keys aren't taken on older evidence.
	RevokeStrict bool
	// Admit is how old the evidence for a key may be where RevokeStrict is false.
	Admit time.Duration
	// RetryRatio and RetryExtra bound the retries for a service within
	// RetryWindow, over all daemons.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// InTouch is within which time a daemon that the store serves again has to act on
	// what it says.
	InTouch time.Duration
	// Fenced tells that workers refuse orders with an old fencing token.
	Fenced bool
	// LoadWindow and LoadOverrun bound how many loads of weights may begin.
	LoadWindow  time.Duration
	LoadOverrun float64
	// ColdOverrun and ColdSlack bound how many requests a cold worker gets within a
	// second from all daemons: the slack and this many times what it bears.
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

// Defaults of what the file leaves out: what is safe where nothing is promised.
const (
	defaultGraceS       = 8
	defaultRevokeMs     = 5000
	defaultRevokeStrict = true
	// defaultAdmitS is above the outages of a store that users ride out, and short
	// enough that a daemon that is cut off for good takes no withdrawn keys for long.
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

// Load reads a settings file. The error names every mistake with its line and
// field.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse reads settings; file is used in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	s, _, err := parse(file, data)
	return s, err
}

// parse is Parse that also returns the document, which knows the lines of fields.
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
	c.mistakes = append(c.mistakes, c.document.MistakeAt(field, format, args...))
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

// logLevels are the levels that a file may name.
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
		Grace:        c.seconds("bounds.grace_s", f.GraceS, defaultGraceS),
		Revoke:       c.seconds("bounds.revoke_ms", f.RevokeMs, defaultRevokeMs) / 1000,
		RevokeStrict: flagOr(f.RevokeStrict, defaultRevokeStrict),
		Admit:        c.seconds("bounds.admit_s", f.AdmitS, defaultAdmitS),
		RetryRatio:   c.number("bounds.retry_ratio", f.RetryRatio, defaultRetryRatio),
		RetryExtra:   c.number("bounds.retry_extra", f.RetryExtra, defaultRetryExtra),
		RetryWindow:  c.seconds("bounds.retry_window_s", f.RetryWindowS, defaultRetryWindowS),
		InTouch:      c.seconds("bounds.in_touch_ms", f.InTouchMs, defaultInTouchMs) / 1000,
		Fenced:       flagOr(f.Fenced, false),
		LoadWindow:   c.seconds("bounds.load_window_s", f.LoadWindowS, defaultLoadWindowS),
		LoadOverrun:  c.number("bounds.load_overrun", f.LoadOverrun, defaultLoadOverrun),
		ColdOverrun:  c.number("bounds.cold_overrun", f.ColdOverrun, defaultColdOverrun),
		ColdSlack:    c.number("bounds.cold_slack", f.ColdSlack, defaultColdSlack),
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

func flagOr(written *bool, otherwise bool) bool {
	if written == nil {
		return otherwise
	}
	return *written
}

func (c *checker) number(field string, written *float64, otherwise float64) float64 {
	if written == nil {
		return otherwise
	}
	if *written < 0 {
		c.mistake(field, "want 0 or more, found %v", *written)
	}
	return *written
}

func (c *checker) seconds(field string, written *float64, otherwise float64) time.Duration {
	if written != nil && *written <= 0 {
		c.mistake(field, "want more than 0, found %v", *written)
		return 0
	}
	return time.Duration(c.number(field, written, otherwise) * float64(time.Second))
}

// Name returns the daemon's name, alike to no other's.
func (s *Settings) Name() string { return s.name }

// Hall returns the data hall that the daemon stands in.
func (s *Settings) Hall() string { return s.hall }

// CallersAddr returns where callers are served.
func (s *Settings) CallersAddr() string { return s.callersAddr }

// ReadinessAddr returns where the balancer asks whether callers may come.
func (s *Settings) ReadinessAddr() string { return s.readinessAddr }

// MetricsAddr returns where metrics are served.
func (s *Settings) MetricsAddr() string { return s.metricsAddr }

// Seeds returns where a few other daemons are served that this one asks who the others are
// when it starts. They may be gone, and this daemon may be one of them.
func (s *Settings) Seeds() []string { return slices.Clone(s.seeds) }

// PeersAddr returns where other daemons are served, "" for nowhere.
func (s *Settings) PeersAddr() string { return s.peersAddr }

// Cores returns the share of a core that the daemon may use, 0 if nobody says.
func (s *Settings) Cores() float64 { return s.cores }

// StoreAddr returns where the platform's store is.
func (s *Settings) StoreAddr() string { return s.storeAddr }

// LogLevel returns the least level that is logged, "" for the usual one.
func (s *Settings) LogLevel() string { return s.logLevel }

// FirstStart tells whether the whole system starts for the first time, so that
// nobody can have been served yet.
func (s *Settings) FirstStart() bool { return s.firstStart }

// HallRegions returns the region of each data hall, as far as the settings tell them.
func (s *Settings) HallRegions() map[string]string { return maps.Clone(s.hallRegions) }

// Bounds returns what was promised to others.
func (s *Settings) Bounds() Bounds { return s.bounds }
