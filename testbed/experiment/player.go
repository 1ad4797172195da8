package experiment

import (
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
)

// Play is one day of one site, played by one version with one seed.
type Play struct {
	Version Version
	// Site is the site's name, Sheet its file.
	Site, Sheet string
	Day         string
	// Seed is 0 for the day's own.
	Seed int
	Why  string
}

// Report is what a play showed.
type Report struct {
	// Worth is the day's worth, prices taken off.
	Worth float64
	// Whole, Windows and Class are its parts: the whole day, the worst seconds and
	// the kind of request served worst.
	Whole, Windows, Class float64
	// Calls are calls to the platform's store.
	Calls float64
	// Downtime is how long groups stood still, in seconds, and Stranded how many
	// VM-seconds served nobody.
	Downtime, Stranded float64
	// Broken are the rules that were broken, as the player prints them, "" if none.
	Broken string
}

// Player plays days.
type Player interface {
	Play(ctx context.Context, p Play) (Report, error)
}

// Program is a player that runs a program with the arguments "run SITE DAY --no-cpu
// --why TEXT", and "--seed N", in the folder of the version's sources.
type Program struct{ path string }

// NewProgram returns the player at a path.
func NewProgram(path string) *Program { return &Program{path: path} }

// Play implements Player. It returns *PlayError if the program fails or prints no
// figures.
func (b *Program) Play(ctx context.Context, p Play) (Report, error) {
	args := []string{"run", p.Sheet, p.Day, "--no-cpu", "--why", p.Why}
	if p.Seed != 0 {
		args = append(args, "--seed", strconv.Itoa(p.Seed))
	}
	cmd := exec.CommandContext(ctx, b.path, args...)
	cmd.Dir = p.Version.Dir
	// A day with a broken rule ends with an exit code; its figures count as well.
	out, err := cmd.CombinedOutput()
	report, found := parse(string(out))
	if !found {
		return Report{}, &PlayError{play: p, output: tail(string(out)), err: err}
	}
	return report, nil
}

// What is read of the player's output.
var (
	worthLine    = regexp.MustCompile(`(?m)^worth (\S+) = whole day (\S+) .*?worst windows (\S+) .*?worst class (\S+) `)
	callsLine    = regexp.MustCompile(`(?m)^\s+\S+\s+(\S+) cloud calls`)
	downtimeLine = regexp.MustCompile(`groups stood still for (\S+) s in all`)
	strandedLine = regexp.MustCompile(`(\S+) server-seconds served nobody`)
	brokenLine   = regexp.MustCompile(`(?m)^rules broken: (.+)$`)
)

// parse returns the figures in the player's output, and false if it has none.
func parse(out string) (Report, bool) {
	worth := worthLine.FindStringSubmatch(out)
	if worth == nil {
		return Report{}, false
	}
	r := Report{
		Worth:    number(worth, 1),
		Whole:    number(worth, 2),
		Windows:  number(worth, 3),
		Class:    number(worth, 4),
		Calls:    number(callsLine.FindStringSubmatch(out), 1),
		Downtime: number(downtimeLine.FindStringSubmatch(out), 1),
		Stranded: number(strandedLine.FindStringSubmatch(out), 1),
	}
	if broken := brokenLine.FindStringSubmatch(out); broken != nil {
		r.Broken = broken[1]
	}
	return r, true
}

// number returns a figure that was found, 0 if the output doesn't have it: days
// without groups have no downtime.
func number(found []string, i int) float64 {
	if found == nil {
		return 0
	}
	v, err := strconv.ParseFloat(found[i], 64)
	if err != nil {
		return 0
	}
	return v
}

// mostOutput is how much of a failed play's output an error shows, in bytes.
const mostOutput = 300

func tail(out string) string {
	return out[max(0, len(out)-mostOutput):]
}

// PlayError tells that a play gave no figures.
type PlayError struct {
	play   Play
	output string
	err    error
}

// Error names the play and shows the end of its output.
func (e *PlayError) Error() string {
	return fmt.Sprintf("%s: %s, %s, seed %d: no figures (%v): %s", e.play.Version.Name, e.play.Site, e.play.Day, e.play.Seed, e.err, e.output)
}

// Unwrap returns why the program failed.
func (e *PlayError) Unwrap() error { return e.err }
