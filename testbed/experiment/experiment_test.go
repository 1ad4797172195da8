package experiment

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const planText = `{
  // A question.
  "why": "is the window worth something",
  "sites": {"kcw": "/sites/kcw.toml", "np": "/sites/np.toml"},
  "days": ["trouble-1", "quiet-1"],
  "seeds": [0, 11],
  "versions": [{"name": "now", "dir": "."}, {"name": "without", "dir": "../without"}],
}`

func loadText(t *testing.T, text string) (*Plan, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "plan.jsonc")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return LoadPlan(file)
}

func TestPlan_TrialsAlternateVersions(t *testing.T) {
	plan, err := loadText(t, planText)
	must.NoError(t, err)
	trials := plan.Trials()
	must.Len(t, 16, trials)
	must.EqOp(t, "now", trials[0].Version.Name)
	must.EqOp(t, "without", trials[1].Version.Name)
	must.EqOp(t, pairKeyOf(trials[0]), pairKeyOf(trials[1]))
	must.EqOp(t, "is the window worth something: without", trials[1].Why)
	must.EqOp(t, "/sites/np.toml", trials[15].SiteFile)
}

func TestLoadPlan_ReportsPositionOfErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"why": "is`, `"why_not": "is`, "plan.jsonc:3: why_not"},
		{`"seeds": [0, 11]`, `"seeds": []`, "plan.jsonc:6: seeds: want at least one seed"},
		{`"seeds": [0, 11]`, `"seeds": ["a"]`, "plan.jsonc:6"},
		{`"name": "without"`, `"name": "now"`, "two versions are named now"},
		{`"dir": "../without"`, `"dir": ""`, "each version needs a name and a dir"},
		{`"days": ["trouble-1", "quiet-1"],`, ``, "days: want at least one day"},
	} {
		must.StrContains(t, planText, c.old)
		_, err := loadText(t, strings.Replace(planText, c.old, c.new, 1))
		must.ErrorContains(t, err, c.want)
	}
	_, err := LoadPlan("/nowhere/plan.jsonc")
	must.ErrorIs(t, err, os.ErrNotExist)
}

const output = `built in 2.6 s; 27995 lines in 151 files
day                  own/srv  score  worth served refused failed  weakest part
trouble-1               7/51   0.77  0.793  0.914   0.009  0.007  worst windows 0.54
rules broken: CONFIG 2

worth 0.793 = whole day 0.914 (weight 0.7), worst windows 0.541 (weight 0.15), worst class 0.862 (weight 0.15) less prices
  -0.0213  481.707 machine-seconds
  -0.0109  1036.0 cloud calls
- groups stood still for 11.0 s in all, 0 broke; 359 server-seconds served nobody
`

func TestParse(t *testing.T) {
	got, found := parse(output)
	must.True(t, found)
	must.EqOp(t, Report{Worth: 0.793, Whole: 0.914, Windows: 0.541, Class: 0.862, Calls: 1036, Downtime: 11, Stranded: 359, Broken: "CONFIG 2"}, got)
	_, found = parse("no core is free")
	must.False(t, found)
}

// A shell script replaces the player. It records its arguments and prints a report, except
// for the day "bad".
func TestCommandPlayer_RunsInDirOfVersion(t *testing.T) {
	dir := t.TempDir()
	script := filepath.Join(dir, "player")
	text := "#!/bin/sh\necho \"$@\" >> args\n[ \"$3\" = bad ] || cat <<'END'\n" + output + "END\nexit 3\n"
	must.NoError(t, os.WriteFile(script, []byte(text), 0o700))
	p := NewCommandPlayer(script)
	trial := Trial{Version: Version{Name: "now", Dir: dir}, Site: "kcw", SiteFile: "kcw.toml", Day: "trouble-1", Seed: 11, Why: "a question"}
	r, err := p.RunTrial(t.Context(), trial)
	must.NoError(t, err)
	must.EqOp(t, 0.793, r.Worth)
	trial.Day = "bad"
	trial.Seed = 0
	_, err = p.RunTrial(t.Context(), trial)
	var failed *TrialError
	must.True(t, errors.As(err, &failed))
	must.ErrorContains(t, err, "now: kcw, bad, seed 0: no figures")
	args, err := os.ReadFile(filepath.Join(dir, "args"))
	must.NoError(t, err)
	must.EqOp(t, "run kcw.toml trouble-1 --no-cpu --why a question --seed 11\nrun kcw.toml bad --no-cpu --why a question\n", string(args))
}

// fakePlayer reports a worth that depends on the version and the seed. It counts the
// trials in flight and blocks them until minParallel have started.
type fakePlayer struct {
	mu                  sync.Mutex
	running, maxRunning int
	failingDay          string // day on which the version "without" fails
	brokenDay           string // day on which a rule is broken
	release             chan struct{}
	minParallel         int
	releaseOnce         sync.Once
}

func (f *fakePlayer) RunTrial(_ context.Context, t Trial) (Report, error) {
	f.mu.Lock()
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	if f.running == f.minParallel {
		f.releaseOnce.Do(func() { close(f.release) })
	}
	f.mu.Unlock()
	<-f.release
	f.mu.Lock()
	f.running--
	f.mu.Unlock()
	if t.Day == f.failingDay && t.Version.Name == "without" {
		return Report{}, &TrialError{trial: t, output: "x"}
	}
	r := Report{Worth: 0.5 + float64(t.Seed)/100, Calls: 100, Downtime: 10, Stranded: 300}
	if t.Version.Name == "without" {
		r.Worth -= 0.01 + float64(t.Seed)/1100
		r.Calls = 200
	}
	if t.Day == f.brokenDay {
		r.Broken = "TWO 1"
	}
	return r, nil
}

func newFakePlayer(parallel int) *fakePlayer {
	return &fakePlayer{minParallel: parallel, release: make(chan struct{})}
}

func TestRun_LimitsParallelTrials(t *testing.T) {
	plan, err := loadText(t, planText)
	must.NoError(t, err)
	player := newFakePlayer(3)
	reported := 0
	results := Run(t.Context(), player, plan.Trials(), 3, func(Result) { reported++ })
	must.EqOp(t, 3, player.maxRunning)
	must.Len(t, 16, results)
	must.EqOp(t, 16, reported)
	for i, trial := range plan.Trials() {
		must.EqOp(t, trial, results[i].Trial)
	}
}

func TestRun_StartsNothingAfterContextEnds(t *testing.T) {
	plan, err := loadText(t, planText)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	results := Run(ctx, newFakePlayer(1), plan.Trials(), 1, func(Result) { cancel() })
	must.Between(t, 1, len(results), 2) // a second trial may have been dispatched already
}

func TestCompare_PairsTrials(t *testing.T) {
	plan, err := loadText(t, planText)
	must.NoError(t, err)
	player := newFakePlayer(1)
	player.failingDay = "quiet-1"
	player.brokenDay = "trouble-1"
	got := Compare(Run(t.Context(), player, plan.Trials(), 1, func(Result) {}))
	must.Len(t, 4, got)
	must.EqOp(t, "now", got[0].Version)
	must.EqOp(t, 4, got[0].Pairs)
	must.EqOp(t, 0.0, got[0].Difference)
	without := got[1]
	must.EqOp(t, "kcw", without.Site)
	must.EqOp(t, 2, without.Pairs)
	must.EqOp(t, 2, without.Failed)
	must.EqOp(t, 2, without.Broken)
	must.InDelta(t, -0.015, without.Difference, 1e-9)
	must.InDelta(t, 0.005, without.Error, 1e-9)
	must.InDelta(t, 0.54, without.Mean, 1e-9)
	must.EqOp(t, 200.0, without.Calls)
	must.SliceEmpty(t, Compare(nil))
}

func TestWriteTable(t *testing.T) {
	summaries := []Summary{{
		Version: "now", Site: "kcw", Pairs: 2, Days: map[string]float64{"b": 0.5, "a": 0.75}, Mean: 0.625, Calls: 1036, Downtime: 11, Stranded: 359,
	}}
	var b strings.Builder
	must.NoError(t, WriteTable(&b, summaries))
	must.EqOp(t, `| Site | Version | a | b | Mean | Difference | Standard error | Pairs | Calls | Downtime, s | Stranded, VM s | Broken | Failed |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
| kcw | now | 0.750 | 0.500 | 0.625 | +0.0000 | 0.0000 | 2 | 1036 | 11.0 | 359 | 0 | 0 |
`, b.String())
}

func TestWritePlot(t *testing.T) {
	summaries := []Summary{
		{Version: "now", Site: "kcw"}, {Version: "without", Site: "kcw", Difference: -0.01, Error: 0.002},
		{Version: "now", Site: "np"}, {Version: "without", Site: "np", Difference: 0.004, Error: 0.003},
	}
	file := filepath.Join(t.TempDir(), "plot.svg")
	must.NoError(t, WritePlot(file, summaries))
	svg, err := os.ReadFile(file)
	must.NoError(t, err)
	for _, want := range []string{"<svg", "Worth against now", "without", "kcw", "np"} {
		must.StrContains(t, string(svg), want)
	}
	var empty *EmptyPlotError
	must.True(t, errors.As(WritePlot(file, summaries[:1]), &empty))
	must.Error(t, WritePlot(filepath.Join(t.TempDir(), "plot.none"), summaries))
}
