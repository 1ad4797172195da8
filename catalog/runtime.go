package catalog

import (
	"slices"
	"time"
)

// Model is one model of a service and the groups of workers that run it.
type Model struct {
	Name string
	// Size is the workers of a group.
	Size int
	// Share is the model's part of the service's work.
	Share float64
	// Pace multiplies all times of the model.
	Pace float64
	// Load and Warmup are the times to load the model from the weight store and
	// from the worker's host.
	Load, Warmup time.Duration
}

// Runtime says how a service's workers run models.
type Runtime struct {
	Slots  int
	Models []Model
	// LoadsPerSecond is how many loads from the weight store may begin.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Form is how long an open group takes to serve.
	Form time.Duration
	// Step is how long a group of pace 1 takes for one token of each of its requests,
	// and PerRequest how much longer with each request.
	Step, PerRequest time.Duration
	// PerThousand is added to a step for each 1,000 tokens that a request has before
	// its next one.
	PerThousand time.Duration
	// PerToken is how long a token of a prompt takes to read, and PerMillionPairs how
	// long a million pairs of a token and one before it.
	PerToken, PerMillionPairs time.Duration
	// UsualAnswer is the mean length of an answer in tokens, 0 if nobody says.
	UsualAnswer int
}

// Work returns how much of a group's time a request takes up, where the group is full:
// its prompt is read alone, and it has its part of each step that all requests of a
// batch share. Most is how many tokens it may generate; few answers are that long, so
// that the usual length bounds it. Work is 0 where the runtime doesn't tell its times.
func (r *Runtime) Work(m Model, prompt, most int) time.Duration {
	if r.Slots < 1 {
		return 0
	}
	answer := most
	if r.UsualAnswer > 0 {
		answer = min(most, r.UsualAnswer)
	}
	tokens := float64(prompt)
	pairs := tokens * tokens / 2
	reading := tokens*r.PerToken.Seconds() + pairs/1e6*r.PerMillionPairs.Seconds()
	context := tokens + float64(answer)/2
	step := r.Step.Seconds()/float64(r.Slots) + r.PerRequest.Seconds() + context/1e3*r.PerThousand.Seconds()
	return time.Duration(m.Pace * (reading + float64(answer)*step) * float64(time.Second))
}

// Model returns a model by name.
func (r *Runtime) Model(name string) (Model, bool) {
	i := slices.IndexFunc(r.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return r.Models[i], true
}
