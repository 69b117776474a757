// Command shares prints the lowest served shares of each day in the journal,
// with the floors from the users' site files.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/platform/journal"
)

func main() {
	os.Exit(cli.Run(command(), os.Args, os.Stdout, os.Stderr))
}

func command() *urfave.Command {
	return &urfave.Command{
		Name:      "shares",
		Usage:     "print the worst-served class, zone and seconds of each day of the journal",
		ArgsUsage: "[ENTRY...]",
		Description: "ENTRY is a file of the journal. Exit code 1 if a share is below its floor. A floor with ~ is that of\n" +
			"the site's other days of the same kind; the files state none for the worst seconds.",
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: "site", Usage: "take names and floors from the site `FILE`; for several sites more than once"},
			&urfave.StringFlag{Name: "journal", Usage: "read the entries in `DIR` if none is named", Value: "journal"},
			&urfave.IntFlag{Name: "last", Usage: "of these, read the last `N`", Value: 1},
		},
		Action: report,
	}
}

var errBelowFloor = errors.New("a share is below its floor")

func report(_ context.Context, c *urfave.Command) error {
	sites := map[string]*journal.Site{}
	for _, path := range c.StringSlice("site") {
		s, err := journal.ReadSite(path)
		if err != nil {
			return err
		}
		sites[s.Name()] = s
	}
	paths := c.Args().Slice()
	if len(paths) == 0 {
		var err error
		if paths, err = filepath.Glob(filepath.Join(c.String("journal"), "*.json")); err != nil {
			return err
		}
		slices.Sort(paths)
		paths = paths[max(len(paths)-c.Int("last"), 0):]
	}
	belowFloor := 0
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "RUN\tDAY\tSEED\tWHOLE\tWORST CLASS\tWORST ZONE\tWORST SECONDS\tFOUND")
	for _, path := range paths {
		e, err := journal.Read(path)
		if err != nil {
			return err
		}
		s := sites[e.Site()]
		if s == nil {
			// Without a site file, a day has shares but no names or floors.
			s = &journal.Site{}
		}
		belowFloor += printEntry(w, e, s)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if belowFloor > 0 {
		return fmt.Errorf("%d days: %w", belowFloor, errBelowFloor)
	}
	return nil
}

// printEntry prints the days of an entry and returns the number of days with a
// share below its floor.
func printEntry(w io.Writer, e *journal.Entry, s *journal.Site) int {
	belowFloor := 0
	if len(e.Days()) == 0 {
		_, _ = fmt.Fprintf(w, "%s %s\tno days: the run has not ended, or played none\n", e.Command(), e.ID())
	}
	for _, r := range journal.Compare(e, s) {
		found := slices.Clone(r.Day.Violations())
		if r.BelowFloor() {
			belowFloor++
			found = append(found, "SHORT")
		}
		_, _ = fmt.Fprintf(w, "%s %s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", e.Command(), e.ID(), r.Day.Name(), r.Day.Seed(),
			formatShare(r.Total, r.FallbackFloors), formatShare(r.Class, r.FallbackFloors), formatShare(r.Zone, r.FallbackFloors), formatShare(r.Seconds, r.FallbackFloors), strings.Join(found, " "))
	}
	return belowFloor
}

// formatShare formats a share as its name, value and floor. A floor taken from
// other days of the site is marked with ~.
func formatShare(s journal.Share, fallback bool) string {
	floor := "-"
	if s.Floor > 0 {
		floor = fmt.Sprintf("%.2f", s.Floor)
		if fallback {
			floor = "~" + floor
		}
	}
	if s.Value < 0 {
		return "-"
	}
	return strings.TrimSpace(fmt.Sprintf("%s %.3f/%s", s.Name, s.Value, floor))
}
