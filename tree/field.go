package tree

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// PoolType tells models from plain services.
type PoolType string

const (
	// ModelPool is served by groups of VMs that load a model together.
	ModelPool PoolType = "model"
	// PlainPool is served by single VMs that run a plain service.
	PlainPool PoolType = "plain"
)

// Policy is how requests are let in and given to groups.
type Policy string

const (
	// PolicyValue queues by earliest deadline, gives up what is worth least for
	// the time it takes where not all can be in time, and balances load.
	PolicyValue Policy = "value"
	// PolicyDeadline queues by earliest deadline, refuses who comes last, and
	// balances load.
	PolicyDeadline Policy = "deadline"
	// PolicySlack is PolicyValue with the order of least slack.
	PolicySlack Policy = "slack"
	// PolicyFIFO queues in order of arrival, refuses who comes last, and
	// balances load.
	PolicyFIFO Policy = "fifo"
	// PolicyBaseline neither queues nor balances: any group at random. It is
	// there to be measured against.
	PolicyBaseline Policy = "baseline"
)

// The sizes that a group can have, in VMs.
const (
	MinGroupVMs = 1
	MaxGroupVMs = 32
)

// Pool says how the VMs of one pool are used.
type Pool struct {
	// Type tells models from plain services.
	Type PoolType `json:"type"`
	// VMsPerGroup is how many VMs one replica spans.
	VMsPerGroup int `json:"vms_per_group"`
	// Groups is the most groups to form; 0 means as many as the VMs allow.
	Groups int `json:"groups"`
	// Streams is how many requests a group works on at once.
	Streams int `json:"streams"`
	// DowntimeWeight is what a second of a group's downtime costs.
	DowntimeWeight float64 `json:"downtime_weight"`
	// StrandedWeight is what a VM's second without a group costs.
	StrandedWeight float64 `json:"stranded_weight"`
	// Policy is how requests are let in and given to groups; empty means
	// PolicyValue.
	Policy Policy `json:"policy,omitempty"`
	// Fenced tells whether the endpoints refuse orders with an old epoch.
	Fenced bool `json:"fenced"`
}

// Kind says how requests of one kind are treated.
type Kind struct {
	// Repeatable tells whether a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// DeadlineMS is the default deadline in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// Weight is what one answer in time is worth.
	Weight float64 `json:"weight"`
}

// Deadline returns the kind's default deadline.
func (k Kind) Deadline() time.Duration { return time.Duration(k.DeadlineMS) * time.Millisecond }

// field describes one setting: where it may be set and how it is checked.
type field struct {
	name string
	// keyed fields have a name after a dot, such as kinds.ruling.
	keyed  bool
	levels []Level
	check  func(value json.RawMessage) string
}

var anyLevel = []Level{RootLevel, CustomerLevel, ServiceLevel, EventLevel}

var fields = []field{
	{name: "pools", keyed: true, levels: []Level{RootLevel}, check: checkPool},
	{name: "kinds", keyed: true, levels: anyLevel, check: checkKind},
	{name: "api_keys", levels: []Level{CustomerLevel}, check: checkAPIKeys},
	{name: "pool", levels: []Level{CustomerLevel, ServiceLevel, EventLevel}, check: checked(validName.MatchString, "want a name")},
	{name: "share", levels: anyLevel, check: checked(func(share float64) bool { return share > 0 }, "want more than 0")},
	{name: "queue", levels: anyLevel, check: checked(func(queue int) bool { return queue >= 0 }, "want 0 or more")},
	{name: "retry_percent", levels: anyLevel, check: checked(func(percent int) bool { return percent >= 0 && percent <= 100 }, "want 0 to 100")},
	{name: "opens_at", levels: []Level{EventLevel}, check: checked(isClock, `want a time of day such as "20:00"`)},
}

func findField(name string) (field, bool) {
	base, key, keyed := strings.Cut(name, ".")
	for _, f := range fields {
		if f.name == base && f.keyed == keyed && (!keyed || validName.MatchString(key)) {
			return f, true
		}
	}
	return field{}, false
}

// checkField returns what is wrong with a value for a field at a path.
func checkField(path Path, name string, value json.RawMessage) error {
	f, ok := findField(name)
	if !ok {
		return &FieldError{path: string(path), field: name, text: "unknown field"}
	}
	allowed := false
	for _, level := range f.levels {
		allowed = allowed || level == path.Level()
	}
	if !allowed {
		return &FieldError{path: string(path), field: name, text: "can't be set at the level of a " + path.Level().String()}
	}
	if value == nil {
		return nil
	}
	if text := f.check(value); text != "" {
		return &FieldError{path: string(path), field: name, text: text}
	}
	return nil
}

// strict decodes a value and refuses unknown members.
func strict(value json.RawMessage, into any) string {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err.Error()
	}
	return ""
}

func checkPool(value json.RawMessage) string {
	var pool Pool
	if text := strict(value, &pool); text != "" {
		return text
	}
	switch {
	case pool.Type != ModelPool && pool.Type != PlainPool:
		return `type: want "model" or "plain"`
	case pool.VMsPerGroup < MinGroupVMs || pool.VMsPerGroup > MaxGroupVMs:
		return "vms_per_group: want 1 to 32"
	case pool.Type == PlainPool && pool.VMsPerGroup != 1:
		return "vms_per_group: a plain service runs on one VM each"
	case pool.Groups < 0:
		return "groups: want 0 or more"
	case pool.Streams < 1:
		return "streams: want 1 or more"
	case !slices.Contains([]Policy{"", PolicyValue, PolicyDeadline, PolicySlack, PolicyFIFO, PolicyBaseline}, pool.Policy):
		return `policy: want "value", "deadline", "slack", "fifo" or "baseline"`
	case pool.DowntimeWeight < 0 || pool.StrandedWeight < 0:
		return "downtime_weight, stranded_weight: want 0 or more"
	}
	return ""
}

func checkKind(value json.RawMessage) string {
	var kind Kind
	if text := strict(value, &kind); text != "" {
		return text
	}
	if kind.DeadlineMS < 1 {
		return "deadline_ms: want 1 or more"
	}
	if kind.Weight <= 0 {
		return "weight: want more than 0"
	}
	return ""
}

func checkAPIKeys(value json.RawMessage) string {
	var keys []string
	if text := strict(value, &keys); text != "" {
		return text
	}
	for _, key := range keys {
		if len(key) != 64 || strings.Trim(key, "0123456789abcdef") != "" {
			return "want SHA-256 hashes of keys, in 64 lower-case hex digits"
		}
	}
	return ""
}

// checked returns the check of a field that holds one value: what ok lets
// through, or else what is wanted.
func checked[T any](ok func(T) bool, want string) func(json.RawMessage) string {
	return func(value json.RawMessage) string {
		var decoded T
		if text := strict(value, &decoded); text != "" {
			return text
		}
		if !ok(decoded) {
			return want
		}
		return ""
	}
}

func isClock(text string) bool {
	_, err := time.Parse("15:04", text)
	return err == nil
}
