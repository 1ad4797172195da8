package engine

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// resumeRetention is how long a completed answer can still be resumed.
const resumeRetention = 30 * time.Second

// generation is the computation of one answer.
type generation struct {
	mu         sync.Mutex
	progressed *sync.Cond
	tokens     []string // the complete answer
	emitted    int      // number of tokens emitted
	failed     bool
	prompt     string    // key of the cached prefix
	priority   int       // larger values start first
	readyAt    time.Time // end of the prefill
}

func newGeneration(tokens []string, prompt string, prio int) *generation {
	g := &generation{tokens: tokens, prompt: prompt, priority: prio}
	g.progressed = sync.NewCond(&g.mu)
	return g
}

// next waits for the token with index n and returns it. It returns more false if there
// is no such token, and complete false if the generation failed before that token.
func (g *generation) next(n int) (token string, more, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.emitted <= n && g.emitted < len(g.tokens) && !g.failed {
		g.progressed.Wait()
	}
	if n < g.emitted {
		return g.tokens[n], true, true
	}
	return "", false, !g.failed
}

// emit emits one more token and reports whether the generation has ended.
func (g *generation) emit() (ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed {
		return true
	}
	if g.emitted < len(g.tokens) {
		g.emitted++
	}
	g.progressed.Broadcast()
	return g.emitted == len(g.tokens)
}

func (g *generation) fail() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.emitted < len(g.tokens) {
		g.failed = true
	}
	g.progressed.Broadcast()
}

// batch computes the answers of a group at its head by continuous batching: each step
// emits one token of each running answer.
type batch struct {
	engine *Engine

	mu       sync.Mutex
	running  []*generation
	waiting  []*generation
	byName   map[string]*generation
	prefixes map[string]*list.Element
	lru      *list.List // LRU list of prompts, most recently used first
	ticking  bool
	stopped  bool
}

func newBatch(e *Engine) *batch {
	return &batch{
		engine:   e,
		byName:   map[string]*generation{},
		prefixes: map[string]*list.Element{},
		lru:      list.New(),
	}
}

// queueLengths returns the numbers of running and waiting answers.
func (b *batch) queueLengths() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// add queues a generation under the name by which it can be resumed. Generations of
// equal priority start in the order of their arrival.
func (b *batch) add(name string, g *generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		g.fail()
		return
	}
	b.byName[name] = g
	at := slices.IndexFunc(b.waiting, func(other *generation) bool { return other.priority < g.priority })
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
	return b.byName[name]
}

// cancel ends the answer with a name and drops it.
func (b *batch) cancel(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g, ok := b.byName[name]; ok {
		g.fail()
		delete(b.byName, name)
	}
}

// admit moves waiting generations into free slots of the batch. The caller holds b.mu.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.engine.fabric.limits.Streams {
		g := b.waiting[0]
		b.waiting = b.waiting[1:]
		g.readyAt = time.Now().Add(b.prefill(g.prompt))
		b.running = append(b.running, g)
	}
}

// prefill returns the time from a prompt's start to its first token, and adds the prompt
// to the LRU cache of prefixes. The caller holds b.mu.
func (b *batch) prefill(prompt string) time.Duration {
	timing := b.engine.fabric.timing
	if e, cached := b.prefixes[prompt]; cached {
		b.lru.MoveToFront(e)
		return timing.CacheLoad
	}
	b.prefixes[prompt] = b.lru.PushFront(prompt)
	if b.lru.Len() > b.engine.fabric.limits.Prefixes {
		oldest := b.lru.Back()
		delete(b.prefixes, oldest.Value.(string))
		b.lru.Remove(oldest)
	}
	return timing.Prefill
}

// tick runs one step per token interval until no generation is left.
func (b *batch) tick() {
	ticker := time.NewTicker(b.engine.fabric.timing.Token)
	defer ticker.Stop()
	for range ticker.C {
		b.engine.waitWhileFrozen()
		if !b.step() {
			return
		}
	}
}

// step emits one token of each running answer if all members of the group take part,
// and reports whether there is work left.
func (b *batch) step() bool {
	group, epoch, _ := b.engine.State()
	complete := b.engine.fabric.allJoined(b.engine.currentMembers(), group, epoch)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	if !complete {
		return true
	}
	now := time.Now()
	remaining := b.running[:0]
	for _, g := range b.running {
		if now.Before(g.readyAt) || !g.emit() {
			remaining = append(remaining, g)
			continue
		}
		b.expireLater(g)
	}
	b.running = remaining
	b.admit()
	b.ticking = len(b.running)+len(b.waiting) > 0
	return b.ticking
}

// expireLater drops a completed answer after resumeRetention.
func (b *batch) expireLater(g *generation) {
	time.AfterFunc(resumeRetention, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for name, other := range b.byName {
			if other == g {
				delete(b.byName, name)
			}
		}
	})
}

// stop fails all answers and accepts no new ones.
func (b *batch) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, g := range b.byName {
		g.fail()
	}
	b.running = nil
	b.waiting = nil
}
