package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/common/control"
	"github.com/pointpass/pointpass/deps"
	"github.com/pointpass/pointpass/rpc"
)

const clientUsage = `pointpass operates the pointpass daemons: it edits the settings tree, announces
planned stops and shows the current state.

Usage:
  pointpass [flags] COMMAND [arguments]

Queries:
  tree get [PATH]              show the settings at and below PATH (-json: also the effective values at PATH)
  tree diff FILE               show what "tree edit FILE" would change
  tree history [PATH]          show accepted edits at and below PATH
  stop list                    show announced stops
  status                       show the daemon, its settings revision and its duties
  groups                       show the serving groups
  vms                          show the VMs
  audit                        show the audit trail
  check FILE                   check a file for "tree edit" without sending it
  version                      print the version

Commands:
  tree set PATH FIELD VALUE    set a field; VALUE is JSON
  tree unset PATH FIELD        remove an override, so that PATH inherits the field
  tree edit FILE               change the tree to match FILE, in one edit
  stop announce                announce a planned stop of a VM or of a group
  stop cancel ID               cancel an announced stop

Flags:
  -addr IP:PORT   control address of any daemon (or POINTPASS_ADDR)
  -token TEXT     control token (or POINTPASS_TOKEN)
  -who NAME       operator's name in the audit trail (or POINTPASS_WHO, USER)
  -json           print JSON (queries)
  -why TEXT       reason for the audit trail (commands)
  -id ID          id of the edit or stop; repeat it to retry after a lost response
  -vm ID          VM to stop (stop announce)
  -group ID       group to stop (stop announce)
  -base N         revision that the edit is based on; a change of the same field
                  since then is a conflict (tree set, unset, edit; default: the newest)
  -limit N        maximum number of entries to show (audit, tree history; default: 50)

Examples:
  pointpass tree get /nile-pawn
  pointpass tree set /nile-pawn/rulings queue 500 -why "final round tonight"
  pointpass tree unset /nile-pawn/rulings queue -why "round is over"
  pointpass stop announce -vm nasr-07 -why "new kernel"
  pointpass groups -json

Exit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict with another operator's edit
`

// callTimeout bounds one call to a daemon.
const callTimeout = 15 * time.Second

// client holds the flags, arguments and connection of one invocation of pointpass.
type client struct {
	stdout, stderr io.Writer
	addr           string
	token          string
	who            string
	why            string
	id             string
	vm             string
	group          string
	limit          int
	base           uint64
	json           bool
	args           []string
	operator       rpc.Operator
}

// usageError reports an invalid command line.
type usageError struct{ text string }

// Error describes what is invalid.
func (e *usageError) Error() string { return e.text }

// conflictError reports a conflict with another operator's edit.
type conflictError struct{ text string }

// Error describes the conflicting edit.
func (e *conflictError) Error() string { return e.text }

// Execute runs pointpass, the operators' client, and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	c := &client{stdout: stdout, stderr: stderr}
	if err := c.parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprint(stdout, clientUsage)
			return exitOK
		}
		fmt.Fprintf(stderr, "pointpass: %v\nRun \"pointpass -h\" for help.\n", err)
		return exitUsage
	}
	return c.exitCode(c.run())
}

func (c *client) exitCode(err error) int {
	var usage *usageError
	var conflict *conflictError
	var remote twirp.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(c.stderr, "pointpass: %v\nRun \"pointpass -h\" for help.\n", err)
		return exitUsage
	case errors.As(err, &conflict):
		fmt.Fprintln(c.stderr, "pointpass:", err)
		return exitConflict
	case errors.As(err, &remote):
		fmt.Fprintln(c.stderr, "pointpass:", remote.Msg())
		return exitFailed
	}
	fmt.Fprintln(c.stderr, "pointpass:", err)
	return exitFailed
}

// parse parses the command line; flags may appear anywhere among the arguments.
func (c *client) parse(args []string) error {
	flags := flag.NewFlagSet("pointpass", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&c.addr, "addr", os.Getenv("POINTPASS_ADDR"), "")
	flags.StringVar(&c.token, "token", os.Getenv("POINTPASS_TOKEN"), "")
	flags.StringVar(&c.who, "who", firstNonEmpty(os.Getenv("POINTPASS_WHO"), os.Getenv("USER"), "operator"), "")
	flags.StringVar(&c.why, "why", "", "")
	flags.StringVar(&c.id, "id", "", "")
	flags.StringVar(&c.vm, "vm", "", "")
	flags.StringVar(&c.group, "group", "", "")
	flags.Uint64Var(&c.base, "base", 0, "")
	flags.IntVar(&c.limit, "limit", 50, "")
	flags.BoolVar(&c.json, "json", false, "")
	for len(args) > 0 {
		if err := flags.Parse(args); err != nil {
			return err
		}
		args = flags.Args()
		if len(args) > 0 {
			c.args = append(c.args, args[0])
			args = args[1:]
		}
	}
	if len(c.args) == 0 {
		return &usageError{text: "missing command"}
	}
	return nil
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

// command is an entry of clientCommands.
type command struct {
	words []string
	args  int  // number of arguments; -1 means zero or one
	local bool // runs without a daemon
	run   func(c *client, ctx context.Context, args []string) error
}

var clientCommands = []command{
	{words: []string{"tree", "get"}, args: -1, run: (*client).treeGet},
	{words: []string{"tree", "diff"}, args: 1, run: (*client).treeDiff},
	{words: []string{"tree", "history"}, args: -1, run: (*client).treeHistory},
	{words: []string{"tree", "set"}, args: 3, run: (*client).treeSet},
	{words: []string{"tree", "unset"}, args: 2, run: (*client).treeUnset},
	{words: []string{"tree", "edit"}, args: 1, run: (*client).treeEdit},
	{words: []string{"stop", "list"}, run: (*client).stopList},
	{words: []string{"stop", "announce"}, run: (*client).stopAnnounce},
	{words: []string{"stop", "cancel"}, args: 1, run: (*client).stopCancel},
	{words: []string{"status"}, run: (*client).status},
	{words: []string{"groups"}, run: (*client).groups},
	{words: []string{"vms"}, run: (*client).vms},
	{words: []string{"audit"}, run: (*client).audit},
	{words: []string{"check"}, args: 1, local: true, run: (*client).check},
	{words: []string{"version"}, local: true, run: (*client).version},
}

func (c *client) run() error {
	cmd, rest, err := c.findCommand()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if cmd.local {
		return cmd.run(c, ctx, rest)
	}
	if _, err := netip.ParseAddrPort(c.addr); err != nil {
		return &usageError{text: "-addr: want the IP address and port of a daemon's control address"}
	}
	httpClient, closeClient := control.NewClient(c.token, nil)
	defer closeClient()
	c.operator = rpc.NewOperatorProtobufClient("http://"+c.addr, httpClient)
	return cmd.run(c, ctx, rest)
}

func (c *client) findCommand() (command, []string, error) {
	for _, cmd := range clientCommands {
		if !hasWords(c.args, cmd.words) {
			continue
		}
		rest := c.args[len(cmd.words):]
		if len(rest) == cmd.args || (cmd.args < 0 && len(rest) <= 1) {
			return cmd, rest, nil
		}
		return command{}, nil, &usageError{text: fmt.Sprintf("%q: wrong number of arguments", cmd.words)}
	}
	return command{}, nil, &usageError{text: fmt.Sprintf("unknown command %q", c.args)}
}

func hasWords(args, words []string) bool {
	if len(args) < len(words) {
		return false
	}
	for i, word := range words {
		if args[i] != word {
			return false
		}
	}
	return true
}

func (c *client) version(context.Context, []string) error {
	fmt.Fprintln(c.stdout, "pointpass", deps.Version)
	return nil
}
