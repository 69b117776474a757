// Command soak plays seeds of the fault soak and reports broken promises.
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
		Description: "Exit code 1 if a promise was broken; the logs of such a seed are kept.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "bin", Usage: "take the programs from `DIR`", Value: "bin"},
			&urfave.Uint64Flag{Name: "seed", Usage: "play from `SEED` on; the time if 0"},
			&urfave.IntFlag{Name: "seeds", Usage: "play `N` seeds", Value: 1},
			&urfave.IntFlag{Name: "instances", Usage: "run `N` instances, and half as many engines", Value: 4},
			&urfave.IntFlag{Name: "zones", Usage: "spread them over `N` zones, two to a region", Value: 2},
			&urfave.DurationFlag{Name: "duration", Usage: "inject faults for `TIME` a seed", Value: 20 * time.Second},
		},
		Action: play,
	}
}

func play(ctx context.Context, c *urfave.Command) error {
	first := c.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	broken := 0
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
		fmt.Printf("seed %d, %d processes: %d answered, %d refused, %d cut off (%d crossed a close), %d calls, takeover %s, served %s, %d broken promises\n",
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
		broken++
		fmt.Println("  logs in " + dir)
	}
	if broken > 0 {
		return fmt.Errorf("%d seeds broke a promise", broken)
	}
	return nil
}
