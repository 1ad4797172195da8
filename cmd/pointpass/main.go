// Command pointpass is the operators' client.
package main

import (
	"os"

	"github.com/pointpass/pointpass/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
