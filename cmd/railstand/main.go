// Command railstand runs the stand-ins for engines, applications, platform and weight store.
package main

import (
	"os"

	"bamboorail.example/bamboorail/cmd/railstand/cmds"
)

func main() { os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr)) }
