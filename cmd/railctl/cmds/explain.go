package cmds

import (
	"context"
	"fmt"
	"os"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/explain"
)

// explainCommand reads log files; it asks no instance.
func (a *app) explainCommand() *urfave.Command {
	return &urfave.Command{
		Name: "explain", Usage: "find in log files what decided a request", ArgsUsage: "REQUEST-ID FILE...",
		Action: func(_ context.Context, c *urfave.Command) error {
			if c.Args().Len() < 2 {
				return cli.Usagef("explain needs a request id and at least one log file")
			}
			var lines []explain.Line
			for _, path := range c.Args().Slice()[1:] {
				part, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, part...)
			}
			report, err := explain.Request(lines, c.Args().First())
			if err != nil {
				return err
			}
			for _, l := range report.Lines {
				if _, err := fmt.Fprintln(a.stdout, l); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintln(a.stdout, "\ncause:", report.Cause)
			return err
		},
	}
}

func readLog(path string) ([]explain.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, cli.Usagef("log file: %v", err)
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f)
}
