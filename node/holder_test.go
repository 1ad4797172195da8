package node

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// editedFile is a settings file and its holder.
type editedFile struct {
	t    *testing.T
	file string
	*Holder
}

func newEditedFile(t *testing.T) *editedFile {
	e := &editedFile{t: t, file: filepath.Join(t.TempDir(), "f.jsonc")}
	e.write(sample)
	h, err := Open(e.file)
	must.NoError(t, err)
	e.Holder = h
	return e
}

func (e *editedFile) write(text string) { must.NoError(e.t, os.WriteFile(e.file, []byte(text), 0o600)) }

// change writes the sample with one part replaced.
func (e *editedFile) change(from, to string) {
	must.StrContains(e.t, sample, from)
	e.write(strings.Replace(sample, from, to, 1))
}

func TestHolder_AppliesChanges(t *testing.T) {
	e := newEditedFile(t)
	before := e.Current()
	e.change(`"grace_s": 8, "revoke_ms": 4000,`, `"grace_s": 9, "revoke_ms": 4000, "fenced": true`)
	r := e.Reload()
	must.EqOp(t, Changed, r.Outcome)
	must.Eq(t, []Change{{"bounds.grace_s", 8.0, 9.0}, {"bounds.fenced", false, true}}, r.Changes)
	must.EqOp(t, "bounds.grace_s: 8 -> 9", r.Changes[0].String())
	must.EqOp(t, 9*time.Second, e.Bounds().GracePeriod)
	must.EqOp(t, 8*time.Second, before.Bounds().GracePeriod, must.Sprint("settings that were returned have changed"))
	must.EqOp(t, Unchanged, e.Reload().Outcome)
}

func TestHolder_ReportsRegionsByHall(t *testing.T) {
	e := newEditedFile(t)
	e.change(`"hall": "z1",`, `"hall": "z1", "hall_regions": {"z1": "r1", "z2": "r2"},`)
	must.Eq(t, []Change{{"hall_regions.z1", "", "r1"}, {"hall_regions.z2", "", "r2"}}, e.Reload().Changes)
	e.change(`"hall": "z1",`, `"hall": "z1", "hall_regions": {"z1": "r1"},`)
	must.Eq(t, []Change{{"hall_regions.z2", "r2", ""}}, e.Reload().Changes)
	must.Eq(t, map[string]string{"z1": "r1"}, e.Current().HallRegions())
}

// TestHolder_AppliesAllOrNothing guards against a partial reload: the file changes a fixed
// setting and one that may change. The error must name file, line and field.
func TestHolder_AppliesAllOrNothing(t *testing.T) {
	e := newEditedFile(t)
	before := e.Current()
	e.write(strings.NewReplacer("10.1.0.4:80", "10.1.0.4:99", `"grace_s": 8`, `"grace_s": 9`, `"z1"`, `"z2"`).Replace(sample))
	r := e.Reload()
	must.EqOp(t, Refused, r.Outcome)
	must.ErrorContains(t, r.Err, e.file+`:4: callers_addr: is fixed while the daemon runs: "10.1.0.4:80" is in force, found "10.1.0.4:99"`)
	must.ErrorContains(t, r.Err, e.file+":3: hall: is fixed")
	must.True(t, before == e.Current())
}

func TestHolder_KeepsSettingsIfUnreadable(t *testing.T) {
	e := newEditedFile(t)
	before := e.Current()
	for _, c := range []struct{ text, want string }{
		{"", ":1: "},
		{sample[:len(sample)/2], ":6: "},
		{strings.Replace(sample, `"grace_s": 8`, `"grace_s": "8"`, 1), ":8: bounds.grace_s: want float64"},
		{strings.Replace(sample, `"grace_s": 8`, `"grace_s": -1`, 1), ":8: bounds.grace_s: want more than 0"},
		{strings.Replace(sample, `"e1"`, `"e1", "log_level": "loud"`, 1), ":2: log_level: want one of"},
	} {
		e.write(c.text)
		r := e.Reload()
		must.EqOp(t, Unreadable, r.Outcome)
		must.ErrorContains(t, r.Err, e.file+c.want)
	}
	must.NoError(t, os.Remove(e.file))
	r := e.Reload()
	must.EqOp(t, Unreadable, r.Outcome)
	must.ErrorContains(t, r.Err, e.file)
	must.True(t, before == e.Current())
}

// TestHolder_ReadsFirstStartAtStartupOnly guards against a reload that changes first_start,
// since a file that is generated again no longer sets it.
func TestHolder_ReadsFirstStartAtStartupOnly(t *testing.T) {
	e := newEditedFile(t)
	e.change(`"e1",`, `"e1", "first_start": true,`)
	h, err := Open(e.file)
	must.NoError(t, err)
	e.write(sample)
	must.EqOp(t, Unchanged, h.Reload().Outcome)
	must.True(t, h.Current().FirstStart())
	e.change(`"e1",`, `"e1", "first_start": true,`)
	must.EqOp(t, Unchanged, e.Reload().Outcome)
	must.False(t, e.Current().FirstStart())
}

// TestHolder_ReportsEachChangeOnce guards against a rejected file that is reported at each
// check, or that counts as a confirmation of the settings in force.
func TestHolder_ReportsEachChangeOnce(t *testing.T) {
	e := newEditedFile(t)
	for _, c := range []struct {
		text string
		want Outcome
	}{
		{"half", Unreadable},
		{"other", Unreadable},
		{sample, Unchanged},
		{strings.Replace(sample, `"grace_s": 8`, `"grace_s": 9`, 1), Changed},
		{strings.Replace(sample, `"e1"`, `"e2"`, 1), Refused},
	} {
		e.write(c.text)
		r, changed := e.ReloadIfChanged()
		must.True(t, changed)
		must.EqOp(t, c.want, r.Outcome)
		confirmed := *e.confirmed.Load()
		_, changed = e.ReloadIfChanged()
		must.False(t, changed)
		inForce := c.want == Unchanged || c.want == Changed
		must.EqOp(t, inForce, e.confirmed.Load().After(confirmed))
	}
}

// TestFollow_ReloadsOnSignalAndChange guards against a missed signal, of two in a row, and
// against a missed change without a signal.
func TestFollow_ReloadsOnSignalAndChange(t *testing.T) {
	e := newEditedFile(t)
	signals := make(chan os.Signal, 2)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	readings := make(chan ReloadResult, 8)
	running.Go(func() { Watch(ctx, e.Holder, signals, func(r ReloadResult) { readings <- r }) })
	e.change(`"grace_s": 8`, `"grace_s": 9`)
	signals <- os.Interrupt
	signals <- os.Interrupt
	for _, want := range []Outcome{Changed, Unchanged} {
		select {
		case r := <-readings:
			must.EqOp(t, want, r.Outcome)
		case <-time.After(10 * time.Second):
			t.Fatal("a signal did not lead to a reload")
		}
	}
	e.change(`"grace_s": 8`, `"grace_s": 10`)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return e.Bounds().GracePeriod == 10*time.Second }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	cancel()
	running.Wait()
}

// TestFields_AreAllOfTheFile guards against a setting that is missing in fields: it changes
// each setting of a file by itself and checks that it is reported or refused.
func TestFields_AreAllOfTheFile(t *testing.T) {
	for _, name := range append(fieldNames(reflect.TypeFor[fileSettings](), ""), fieldNames(reflect.TypeFor[fileBounds](), "bounds.")...) {
		if name == "first_start" || name == "hall_regions" || name == "bounds" {
			continue
		}
		e := newEditedFile(t)
		e.write(withField(name))
		r := e.Reload()
		if r.Outcome == Refused {
			must.ErrorContains(t, r.Err, name+": is fixed")
			continue
		}
		must.Len(t, 1, r.Changes, must.Sprint(name, r.Err))
		must.EqOp(t, name, r.Changes[0].Field)
	}
}

func fieldNames(of reflect.Type, prefix string) []string {
	var names []string
	for f := range of.NumField() {
		names = append(names, prefix+of.Field(f).Tag.Get("json"))
	}
	return names
}

// withField returns the sample with one field changed.
func withField(name string) string {
	leaf, within := strings.CutPrefix(name, "bounds.")
	value := "77"
	switch {
	case strings.HasSuffix(leaf, "_addr"):
		value = `"10.9.9.9:9"`
	case leaf == "seeds":
		value = `["10.9.9.9:9"]`
	case leaf == "name", leaf == "hall":
		value = `"other"`
	case leaf == "log_level":
		value = `"warn"`
	case leaf == "fenced":
		value = "true"
	case leaf == "revoke_strict":
		value = "false"
	}
	lines := strings.Split(sample, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, `  "`+leaf+`"`) {
			lines[i] = ""
		}
	}
	text := strings.Join(lines, "\n")
	if !within {
		return strings.Replace(text, "{", `{"`+leaf+`": `+value+`, `, 1)
	}
	text = strings.NewReplacer(`"grace_s": 8, `, "", `"revoke_ms": 4000,`, "").Replace(text)
	kept := `"grace_s": 8, "revoke_ms": 4000`
	kept = strings.NewReplacer(`"`+leaf+`": 8`, `"`+leaf+`": 77`, `"`+leaf+`": 4000`, `"`+leaf+`": 77`).Replace(kept)
	if !strings.Contains(kept, leaf) {
		kept += `, "` + leaf + `": ` + value
	}
	return strings.Replace(text, `"bounds": {`, `"bounds": {`+kept, 1)
}

// BenchmarkHolder_Look measures a check of an unchanged file.
func BenchmarkHolder_Look(b *testing.B) {
	file := filepath.Join(b.TempDir(), "f.jsonc")
	must.NoError(b, os.WriteFile(file, []byte(sample), 0o600))
	h, err := Open(file)
	must.NoError(b, err)
	for b.Loop() {
		h.ReloadIfChanged()
	}
}
