// Command pointpassd is the daemon that runs alike on every entry VM.
package main

import (
	"os"

	"github.com/pointpass/pointpass/commands"
)

func main() { os.Exit(commands.ExecuteDaemon(os.Args[1:], os.Stdout, os.Stderr)) }
