package config

import (
	"time"

	"github.com/pointpass/pointpass/common/units"
)

// fileConfig mirrors the settings file. Durations are strings such as "250ms"; a
// nil pointer marks a setting that the file omits.
type fileConfig struct {
	Node         string     `json:"node"`
	Hall         string     `json:"hall"`
	CallersAddr  string     `json:"callers_addr"`
	ControlAddr  string     `json:"control_addr"`
	PlatformAddr string     `json:"platform_addr"`
	ControlToken string     `json:"control_token"`
	Peers        []string   `json:"peers"`
	LogLevel     string     `json:"log_level"`
	LogFile      string     `json:"log_file"`
	Timing       fileTiming `json:"timing"`
	Limits       fileLimits `json:"limits"`
}

type fileTiming struct {
	Lease       *string `json:"lease"`
	LeaseMargin *string `json:"lease_margin"`
	Poll        *string `json:"poll"`
	Probe       *string `json:"probe"`
	Suspect     *string `json:"suspect"`
	Absent      *string `json:"absent"`
	Order       *string `json:"order"`
	Load        *string `json:"load"`
	KeyAhead    *string `json:"key_ahead"`
	KeepClaims  *string `json:"keep_claims"`
	Platform    *string `json:"platform"`
	Peer        *string `json:"peer"`
	Drain       *string `json:"drain"`
	Deadline    *string `json:"deadline"`
	HeaderRead  *string `json:"header_read"`
	BodyRead    *string `json:"body_read"`
	CallerWrite *string `json:"caller_write"`
}

type fileLimits struct {
	BodyBytes       *int64 `json:"body_bytes"`
	HeaderBytes     *int   `json:"header_bytes"`
	AnswerBytes     *int64 `json:"answer_bytes"`
	KeptAnswerBytes *int   `json:"kept_answer_bytes"`
	Claims          *int   `json:"claims"`
	ClaimsBytes     *int64 `json:"claims_bytes"`
	Requests        *int   `json:"requests"`
	Slots           *int   `json:"slots"`
	Holders         *int   `json:"holders"`
	Loads           *int   `json:"loads"`
	UndatedClaims   *int   `json:"undated_claims"`
	MemoryMB        *int   `json:"memory_mb"`
}

func (c *validator) timing(t *Timing, f fileTiming) {
	c.duration("timing.lease", &t.Lease, f.Lease)
	c.duration("timing.lease_margin", &t.LeaseMargin, f.LeaseMargin)
	c.duration("timing.poll", &t.Poll, f.Poll)
	c.duration("timing.probe", &t.Probe, f.Probe)
	c.duration("timing.suspect", &t.Suspect, f.Suspect)
	c.duration("timing.absent", &t.Absent, f.Absent)
	c.duration("timing.order", &t.Order, f.Order)
	c.duration("timing.load", &t.Load, f.Load)
	c.duration("timing.key_ahead", &t.KeyAhead, f.KeyAhead)
	c.duration("timing.keep_claims", &t.KeepClaims, f.KeepClaims)
	c.duration("timing.platform", &t.Platform, f.Platform)
	c.duration("timing.peer", &t.Peer, f.Peer)
	c.duration("timing.drain", &t.Drain, f.Drain)
	c.duration("timing.deadline", &t.Deadline, f.Deadline)
	c.duration("timing.header_read", &t.HeaderRead, f.HeaderRead)
	c.duration("timing.body_read", &t.BodyRead, f.BodyRead)
	c.duration("timing.caller_write", &t.CallerWrite, f.CallerWrite)
}

func (c *validator) limits(l *Limits, f fileLimits) {
	bounded(c, "limits.body_bytes", &l.BodyBytes, f.BodyBytes, units.MaxBytes)
	bounded(c, "limits.header_bytes", &l.HeaderBytes, f.HeaderBytes, units.MaxCount)
	bounded(c, "limits.answer_bytes", &l.AnswerBytes, f.AnswerBytes, units.MaxBytes)
	bounded(c, "limits.kept_answer_bytes", &l.KeptAnswerBytes, f.KeptAnswerBytes, units.MaxCount)
	bounded(c, "limits.claims", &l.Claims, f.Claims, units.MaxCount)
	bounded(c, "limits.claims_bytes", &l.ClaimsBytes, f.ClaimsBytes, units.MaxBytes)
	bounded(c, "limits.requests", &l.Requests, f.Requests, units.MaxCount)
	bounded(c, "limits.slots", &l.Slots, f.Slots, units.MaxCount)
	bounded(c, "limits.holders", &l.Holders, f.Holders, units.MaxCount)
	bounded(c, "limits.loads", &l.Loads, f.Loads, units.MaxCount)
	bounded(c, "limits.undated_claims", &l.UndatedClaims, f.UndatedClaims, units.MaxCount)
	bounded(c, "limits.memory_mb", &l.MemoryMB, f.MemoryMB, units.MaxCount)
}

func (c *validator) duration(field string, target *time.Duration, value *string) {
	if value == nil {
		return
	}
	d, err := time.ParseDuration(*value)
	if err != nil || d <= 0 {
		c.addError(field, "want a duration above zero such as \"250ms\", found %q", *value)
		return
	}
	*target = d
}

// bounded takes a number from 1 to limit.
func bounded[T int | int64](c *validator, field string, target, value *T, limit T) {
	if value == nil {
		return
	}
	if *value < 1 {
		c.addError(field, "want 1 or more, found %d", *value)
		return
	}
	if *value > limit {
		c.addError(field, "want at most %d, found %d", limit, *value)
		return
	}
	*target = *value
}
