package experiment

import (
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
)

// Trial is the simulation of one day of one site by one version with one seed.
type Trial struct {
	Version Version
	// Site is the site's name, SiteFile the path of its description.
	Site, SiteFile string
	Day            string
	// Seed is 0 for the default seed of the day.
	Seed int
	// Why is a description that the player records with the trial.
	Why string
}

// Report holds the results of a trial as the player prints them.
type Report struct {
	// Worth is the score of the day, less the costs of machines and store calls.
	Worth float64
	// Whole, Windows and Class are the parts of the score: over the whole day, over the
	// time windows served worst, and over the class of requests served worst.
	Whole, Windows, Class float64
	// Calls is the number of calls to the platform's store.
	Calls float64
	// Downtime is the time during which groups were down, in seconds, and Stranded the
	// VM-seconds in which a VM served no requests.
	Downtime, Stranded float64
	// Broken lists the rules that were broken, as the player prints them; "" if none.
	Broken string
}

// Player runs trials.
type Player interface {
	RunTrial(ctx context.Context, t Trial) (Report, error)
}

// CommandPlayer is a Player that executes a program with the arguments "run SITE DAY
// --no-cpu --why TEXT", and "--seed N" unless the seed is 0, in the version's folder.
type CommandPlayer struct{ path string }

// NewCommandPlayer returns a player that executes the program at a path.
func NewCommandPlayer(path string) *CommandPlayer { return &CommandPlayer{path: path} }

// RunTrial implements Player. It returns *TrialError if the output of the program holds no
// report.
func (p *CommandPlayer) RunTrial(ctx context.Context, t Trial) (Report, error) {
	args := []string{"run", t.SiteFile, t.Day, "--no-cpu", "--why", t.Why}
	if t.Seed != 0 {
		args = append(args, "--seed", strconv.Itoa(t.Seed))
	}
	cmd := exec.CommandContext(ctx, p.path, args...)
	cmd.Dir = t.Version.Dir
	// The exit code is ignored if there is a report: the player also fails when a rule was
	// broken.
	out, err := cmd.CombinedOutput()
	report, ok := parse(string(out))
	if !ok {
		return Report{}, &TrialError{trial: t, output: tail(string(out)), err: err}
	}
	return report, nil
}

// Patterns of the lines and phrases that are read from the player's output.
var (
	worthLine    = regexp.MustCompile(`(?m)^worth (\S+) = whole day (\S+) .*?worst windows (\S+) .*?worst class (\S+) `)
	callsLine    = regexp.MustCompile(`(?m)^\s+\S+\s+(\S+) cloud calls`)
	downtimeLine = regexp.MustCompile(`groups stood still for (\S+) s in all`)
	strandedLine = regexp.MustCompile(`(\S+) server-seconds served nobody`)
	brokenLine   = regexp.MustCompile(`(?m)^rules broken: (.+)$`)
)

// parse returns the report in the player's output, and false if there is none.
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

// number returns submatch i as a number, or 0 without a match: days without groups have no
// downtime, for example.
func number(match []string, i int) float64 {
	if match == nil {
		return 0
	}
	v, err := strconv.ParseFloat(match[i], 64)
	if err != nil {
		return 0
	}
	return v
}

// maxErrorOutput bounds the output of a failed trial in an error message, in bytes.
const maxErrorOutput = 300

func tail(out string) string {
	return out[max(0, len(out)-maxErrorOutput):]
}

// TrialError reports that a trial produced no report.
type TrialError struct {
	trial  Trial
	output string
	err    error
}

// Error names the trial and shows the end of its output.
func (e *TrialError) Error() string {
	return fmt.Sprintf("%s: %s, %s, seed %d: no figures (%v): %s", e.trial.Version.Name, e.trial.Site, e.trial.Day, e.trial.Seed, e.err, e.output)
}

// Unwrap returns the error of the program.
func (e *TrialError) Unwrap() error { return e.err }
