// Command soak runs the fault-injection test for one or more seeds and reports
// violated guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/soak"
)

func main() {
	os.Exit(cli.Run(command(), os.Args, os.Stdout, os.Stderr))
}

func command() *urfave.Command {
	return &urfave.Command{
		Name:        "soak",
		Usage:       "run the programs as processes under faults",
		Description: "Exit code 1 if a guarantee was violated; the logs of such a seed are kept.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "bin", Usage: "take the programs from `DIR`", Value: "bin"},
			&urfave.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 takes the current time"},
			&urfave.IntFlag{Name: "seeds", Usage: "run `N` seeds", Value: 1},
			&urfave.IntFlag{Name: "instances", Usage: "run `N` instances, and half as many engines", Value: 4},
			&urfave.IntFlag{Name: "zones", Usage: "spread them over `N` zones, two to a region", Value: 2},
			&urfave.DurationFlag{Name: "duration", Usage: "inject faults for `TIME` per seed", Value: 20 * time.Second},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *urfave.Command) error {
	first := c.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	failedSeeds := 0
	for seed := first; seed < first+uint64(c.Int("seeds")); seed++ {
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(dir, "faults.txt"))
		if err != nil {
			return err
		}
		r, err := soak.Run(ctx, soak.Options{
			Bin: c.String("bin"), Dir: dir, Seed: seed, Instances: c.Int("instances"), Zones: c.Int("zones"),
			Duration: c.Duration("duration"), Out: log,
		})
		if err != nil {
			return fmt.Errorf("seed %d, logs in %s: %w", seed, dir, err)
		}
		if err := log.Close(); err != nil {
			return err
		}
		fmt.Printf("seed %d, %d processes: %d answered, %d refused, %d interrupted (%d raced with an idle close), %d calls, takeover %s, served %s, %d violations\n",
			r.Seed, r.Processes, r.Answers, r.Refusals, r.Failures, r.IdleCloseRaces, r.Calls,
			r.Takeover.Round(time.Millisecond), r.Served.Round(time.Millisecond), len(r.Violations))
		for _, v := range r.Violations {
			fmt.Println("  " + v)
		}
		if len(r.Violations) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
			continue
		}
		failedSeeds++
		fmt.Println("  logs in " + dir)
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d seeds violated a guarantee", failedSeeds)
	}
	return nil
}
