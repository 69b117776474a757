// Command railentry serves callers and owns targets: it is the daemon of bamboorail.
package main

import (
	"os"

	"bamboorail.example/bamboorail/cmd/railentry/cmds"
)

func main() { os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr)) }
