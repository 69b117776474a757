// Command railctl is the command line of operators.
package main

import (
	"os"

	"bamboorail.example/bamboorail/cmd/railctl/cmds"
)

func main() { os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr)) }
