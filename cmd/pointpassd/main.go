// Command pointpassd is the daemon that runs identically on every entry VM.
package main

import (
	"os"

	"github.com/pointpass/pointpass/commands"
)

func main() { os.Exit(commands.ExecuteDaemon(os.Args[1:], os.Stdout, os.Stderr)) }
