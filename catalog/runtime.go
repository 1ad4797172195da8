package catalog

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/common/units"
)

// Model is one model of a service. Groups of workers run it.
type Model struct {
	Name string
	// Size is the number of workers in a group.
	Size int
	// Share is the model's part of the service's work.
	Share float64
	// TimeFactor multiplies all times of the model.
	TimeFactor float64
	// Load and Warmup are the times to load the model from the weight store and from the
	// worker's host.
	Load, Warmup time.Duration
}

// Runtime describes how a service's workers run models.
type Runtime struct {
	Slots  int
	Models []Model
	// LoadsPerSecond is the maximum rate of starting loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Form is the time until an open group can serve.
	Form time.Duration
	// Step is how long a group with a time factor of 1 takes for one token of each of its
	// requests, and PerRequest how much longer for each request.
	Step, PerRequest time.Duration
	// PerThousand is added to a step for each 1,000 tokens of a request's context.
	PerThousand time.Duration
	// PerToken is the time to read a token of a prompt, and PerMillionPairs the time for a
	// million pairs of a token and an earlier one.
	PerToken, PerMillionPairs time.Duration
	// MeanAnswerTokens is the mean length of an answer, 0 if unknown.
	MeanAnswerTokens int
}

// Work returns how much of a full group's time a request takes: its prompt is read alone,
// and it has a share of each step of the batch. maxTokens is the maximum number of
// generated tokens. Few answers are that long, so MeanAnswerTokens is used instead if it is
// lower and known. Work is 0 if the runtime has no slots or times configured.
func (r *Runtime) Work(m Model, prompt, maxTokens int) time.Duration {
	if r.Slots < 1 {
		return 0
	}
	answer := maxTokens
	if r.MeanAnswerTokens > 0 {
		answer = min(maxTokens, r.MeanAnswerTokens)
	}
	tokens := float64(prompt)
	pairs := tokens * tokens / 2
	reading := tokens*r.PerToken.Seconds() + pairs/1e6*r.PerMillionPairs.Seconds()
	context := tokens + float64(answer)/2
	step := r.Step.Seconds()/float64(r.Slots) + r.PerRequest.Seconds() + context/1e3*r.PerThousand.Seconds()
	return max(units.Seconds(m.TimeFactor*(reading+float64(answer)*step)), 0)
}

// Model returns a model by name.
func (r *Runtime) Model(name string) (Model, bool) {
	i := slices.IndexFunc(r.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return r.Models[i], true
}
