package engine

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// keepEnded is how long an ended answer can still be resumed.
const keepEnded = 30 * time.Second

// generation is one answer in the making.
type generation struct {
	mu      sync.Mutex
	grown   *sync.Cond
	tokens  []string // all that it will say
	told    int      // how many of them it has said
	failed  bool
	prompt  string // what its prefix is cached under
	urgent  int    // priority: the larger, the sooner it starts
	readyAt time.Time
}

func newGeneration(tokens []string, prompt string, priority int) *generation {
	g := &generation{tokens: tokens, prompt: prompt, urgent: priority}
	g.grown = sync.NewCond(&g.mu)
	return g
}

// next returns the token after the first n, waiting until it is said. More is
// false once all were said, and whole is false if the rest will never be.
func (g *generation) next(n int) (token string, more, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.told <= n && g.told < len(g.tokens) && !g.failed {
		g.grown.Wait()
	}
	if n < g.told {
		return g.tokens[n], true, true
	}
	return "", false, !g.failed
}

func (g *generation) tell() (ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed {
		return true
	}
	if g.told < len(g.tokens) {
		g.told++
	}
	g.grown.Broadcast()
	return g.told == len(g.tokens)
}

func (g *generation) fail() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.told < len(g.tokens) {
		g.failed = true
	}
	g.grown.Broadcast()
}

// batch computes the answers of a group at its leader: continuous batching, one
// token for each running answer at each step.
type batch struct {
	engine *Engine

	mu       sync.Mutex
	running  []*generation
	waiting  []*generation
	known    map[string]*generation
	prefixes map[string]*list.Element
	recent   *list.List // of prompts, most recently used first
	ticking  bool
	stopped  bool
}

func newBatch(e *Engine) *batch {
	return &batch{
		engine:   e,
		known:    map[string]*generation{},
		prefixes: map[string]*list.Element{},
		recent:   list.New(),
	}
}

func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// add starts an answer under the name by which it can be resumed.
func (b *batch) add(name string, g *generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		g.fail()
		return
	}
	b.known[name] = g
	at := slices.IndexFunc(b.waiting, func(other *generation) bool { return other.urgent < g.urgent })
	if at < 0 {
		at = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, at, g)
	b.admit()
	if !b.ticking {
		b.ticking = true
		go b.tick()
	}
}

func (b *batch) find(name string) *generation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known[name]
}

// cancel ends an answer that nobody waits for.
func (b *batch) cancel(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g, ok := b.known[name]; ok {
		g.fail()
		delete(b.known, name)
	}
}

// admit moves waiting answers into free places of the batch.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.engine.fabric.limits.Streams {
		g := b.waiting[0]
		b.waiting = b.waiting[1:]
		g.readyAt = time.Now().Add(b.prefill(g.prompt))
		b.running = append(b.running, g)
	}
}

// prefill returns how long a prompt takes before its first token, and keeps
// its prefix.
func (b *batch) prefill(prompt string) time.Duration {
	timing := b.engine.fabric.timing
	if e, cached := b.prefixes[prompt]; cached {
		b.recent.MoveToFront(e)
		return timing.CacheLoad
	}
	b.prefixes[prompt] = b.recent.PushFront(prompt)
	if b.recent.Len() > b.engine.fabric.limits.Prefixes {
		oldest := b.recent.Back()
		delete(b.prefixes, oldest.Value.(string))
		b.recent.Remove(oldest)
	}
	return timing.Prefill
}

// tick runs the token clock as long as there is work.
func (b *batch) tick() {
	ticker := time.NewTicker(b.engine.fabric.timing.Token)
	defer ticker.Stop()
	for range ticker.C {
		b.engine.awake()
		if !b.step() {
			return
		}
	}
}

// step says one token of each running answer, if all members of the group take
// part.
func (b *batch) step() bool {
	group, epoch, _ := b.engine.State()
	whole := b.engine.fabric.whole(b.engine.membersNow(), group, epoch)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	if !whole {
		return true
	}
	now := time.Now()
	still := b.running[:0]
	for _, g := range b.running {
		if now.Before(g.readyAt) || !g.tell() {
			still = append(still, g)
			continue
		}
		b.dropLater(g)
	}
	b.running = still
	b.admit()
	b.ticking = len(b.running)+len(b.waiting) > 0
	return b.ticking
}

// dropLater forgets an ended answer once it can't be resumed any more.
func (b *batch) dropLater(g *generation) {
	time.AfterFunc(keepEnded, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for name, other := range b.known {
			if other == g {
				delete(b.known, name)
			}
		}
	})
}

// stop breaks off all answers.
func (b *batch) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, g := range b.known {
		g.fail()
	}
	b.running = nil
	b.waiting = nil
}
