package tree

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pointpass/pointpass/common/units"
)

// PoolType distinguishes models from plain services.
type PoolType string

const (
	// ModelPool is served by groups of VMs that load a model together.
	ModelPool PoolType = "model"
	// PlainPool is served by single VMs that run a plain service.
	PlainPool PoolType = "plain"
)

// Policy selects how requests are admitted and assigned to groups.
type Policy string

const (
	// PolicyValue queues by earliest deadline and balances load. If not all
	// requests can meet their deadlines, it drops those with the least value per
	// unit of service time.
	PolicyValue Policy = "value"
	// PolicyDeadline queues by earliest deadline, rejects the latest arrivals under
	// overload, and balances load.
	PolicyDeadline Policy = "deadline"
	// PolicySlack is PolicyValue with the queue ordered by least slack.
	PolicySlack Policy = "slack"
	// PolicyFIFO queues in order of arrival, rejects the latest arrivals under
	// overload, and balances load.
	PolicyFIFO Policy = "fifo"
	// PolicyBaseline neither queues nor balances load: it picks a random group. It
	// is the baseline of comparisons.
	PolicyBaseline Policy = "baseline"
)

// Bounds of a group's size, in VMs.
const (
	MinGroupVMs = 1
	MaxGroupVMs = 32
)

// Pool holds the settings of one pool of VMs.
type Pool struct {
	// Type distinguishes models from plain services.
	Type PoolType `json:"type"`
	// VMsPerGroup is how many VMs one replica spans.
	VMsPerGroup int `json:"vms_per_group"`
	// Groups is the maximum number of groups; 0 means as many as the VMs allow.
	Groups int `json:"groups"`
	// Streams is the maximum number of requests in flight at one group.
	Streams int `json:"streams"`
	// DowntimeWeight is the cost of one second of a group's downtime.
	DowntimeWeight float64 `json:"downtime_weight"`
	// StrandedWeight is the cost of one second that a VM spends without a group.
	StrandedWeight float64 `json:"stranded_weight"`
	// Policy selects how requests are admitted and assigned to groups; empty means
	// PolicyValue.
	Policy Policy `json:"policy,omitempty"`
	// Fenced reports whether the endpoints reject orders with an old epoch.
	Fenced bool `json:"fenced"`
}

// Kind holds the settings for one kind of request.
type Kind struct {
	// Repeatable reports whether a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// DeadlineMS is the default deadline in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// Weight is the value of an answer that meets its deadline.
	Weight float64 `json:"weight"`
}

// Deadline returns the kind's default deadline.
func (k Kind) Deadline() time.Duration { return units.Millis(int64(k.DeadlineMS)) }

// field describes one setting: the levels at which it may be set and its
// validation.
type field struct {
	name string
	// keyed marks fields with a key after a dot, such as kinds.ruling.
	keyed  bool
	levels []Level
	check  func(value json.RawMessage) string
}

var anyLevel = []Level{RootLevel, CustomerLevel, ServiceLevel, EventLevel}

var fields = []field{
	{name: "pools", keyed: true, levels: []Level{RootLevel}, check: checkPool},
	{name: "kinds", keyed: true, levels: anyLevel, check: checkKind},
	{name: "api_keys", levels: []Level{CustomerLevel}, check: checkAPIKeys},
	{name: "pool", levels: []Level{CustomerLevel, ServiceLevel, EventLevel}, check: valueCheck(validName.MatchString, "want a name")},
	{name: "share", levels: anyLevel, check: valueCheck(func(share float64) bool { return share > 0 }, "want more than 0")},
	{name: "queue", levels: anyLevel, check: valueCheck(func(queue int) bool { return queue >= 0 }, "want 0 or more")},
	{name: "retry_percent", levels: anyLevel, check: valueCheck(func(percent int) bool { return percent >= 0 && percent <= 100 }, "want 0 to 100")},
	{name: "opens_at", levels: []Level{EventLevel}, check: valueCheck(isTimeOfDay, `want a time of day such as "20:00"`)},
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

// checkField returns an error if a value is invalid for a field at a path.
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

// decodeStrict decodes a value and rejects unknown members. It returns the error
// text, empty for success.
func decodeStrict(value json.RawMessage, target any) string {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err.Error()
	}
	return ""
}

func checkPool(value json.RawMessage) string {
	var pool Pool
	if text := decodeStrict(value, &pool); text != "" {
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
	if text := decodeStrict(value, &kind); text != "" {
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
	if text := decodeStrict(value, &keys); text != "" {
		return text
	}
	for _, key := range keys {
		if len(key) != 64 || strings.Trim(key, "0123456789abcdef") != "" {
			return "want SHA-256 hashes of keys, in 64 lower-case hex digits"
		}
	}
	return ""
}

// valueCheck returns a check that decodes a value and returns the text want if ok
// rejects it.
func valueCheck[T any](ok func(T) bool, want string) func(json.RawMessage) string {
	return func(value json.RawMessage) string {
		var decoded T
		if text := decodeStrict(value, &decoded); text != "" {
			return text
		}
		if !ok(decoded) {
			return want
		}
		return ""
	}
}

func isTimeOfDay(text string) bool {
	_, err := time.Parse("15:04", text)
	return err == nil
}
