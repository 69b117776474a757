// Command measure simulates the scheduling policies of the daemon and a naive
// baseline in virtual time, and prints a table of the results.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"bamboorail.example/bamboorail/internal/measure"
)

// seeds are the workload seeds; every variant runs with each.
var seeds = []uint64{11, 23, 37, 59, 83}

// cell holds the results of a variant in a scenario, one for each seed.
type cell struct {
	variant measure.Variant
	results []*measure.Results
}

func main() {
	only := flag.String("scenario", "", "measure only scenarios whose name contains `TEXT`")
	plotFile := flag.String("plot", "", "write stalls over time as SVG to `FILE`")
	flag.Parse()
	if err := run(*only, *plotFile); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(only, plotFile string) error {
	variants := []measure.Variant{measure.Naive(), measure.Daemon()}
	for _, site := range []measure.Site{measure.Archive(), measure.Coupons()} {
		fmt.Printf("%s: %d engines with %d slots and batches of %d, %.1f requests/s at full batches, %g loads/s\n",
			site.Name, site.Engines, site.Slots, site.MaxBatch, site.Capacity(), site.LoadsPerSecond)
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "SCENARIO\tPOLICY\tSTALL MEAN s\tP95\tP99\tFILL\tWORST SHARE\tREFUSED\tDONE/s\tLOADS/1000\tEVICT/1000\tRECOVERY s")
		for _, sc := range measure.Scenarios() {
			if !strings.Contains(sc.Name, only) {
				continue
			}
			cells := measureAll(site, sc, variants)
			printScenario(w, site, sc, cells)
			if plotFile != "" && sc.ShiftAt > 0 {
				if err := plotStalls(strings.Replace(plotFile, ".svg", "-"+site.Name+".svg", 1), site.Name, cells); err != nil {
					return err
				}
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
		fmt.Println()
	}
	return nil
}

// printScenario prints a row for each variant and one for the lower bound.
func printScenario(w *tabwriter.Writer, site measure.Site, sc measure.Scenario, cells []cell) {
	for _, c := range cells {
		printRow(w, sc, c)
	}
	bounds := make([]float64, 0, len(seeds))
	for _, seed := range seeds {
		bounds = append(bounds, measure.LowerBound(site, sc, seed))
	}
	_, _ = fmt.Fprintf(w, "%s\tlower bound\t%s\n", sc.Name, formatSpread(bounds))
}

// measureAll runs every variant with every seed, in parallel.
func measureAll(site measure.Site, sc measure.Scenario, variants []measure.Variant) []cell {
	cells := make([]cell, len(variants))
	var group sync.WaitGroup
	for n, c := range variants {
		cells[n] = cell{variant: c, results: make([]*measure.Results, len(seeds))}
		for k, seed := range seeds {
			group.Go(func() { cells[n].results[k] = measure.Run(site, sc, c, seed) })
		}
	}
	group.Wait()
	return cells
}

func printRow(w *tabwriter.Writer, sc measure.Scenario, c cell) {
	over := func(f func(*measure.Results) float64) string {
		values := make([]float64, 0, len(c.results))
		for _, r := range c.results {
			values = append(values, f(r))
		}
		return formatSpread(values)
	}
	recovery := "-"
	if event := max(sc.ShiftAt, sc.RestartAt); event > 0 {
		recovery = over(func(r *measure.Results) float64 { return r.RecoverySeconds(event) })
	}
	columns := []string{
		sc.Name, c.variant.Name, over((*measure.Results).MeanStall),
		over(func(r *measure.Results) float64 { return r.StallQuantile(0.95) }),
		over(func(r *measure.Results) float64 { return r.StallQuantile(0.99) }),
		over((*measure.Results).BatchUtilization), over((*measure.Results).MinFairShareRatio), over((*measure.Results).RejectionRate),
		over((*measure.Results).Throughput), over((*measure.Results).LoadsPer1000), over((*measure.Results).EvictionsPer1000), recovery,
	}
	_, _ = fmt.Fprintln(w, strings.Join(columns, "\t"))
}

// formatSpread formats the minimum, the median and the maximum of values.
func formatSpread(values []float64) string {
	s := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.3g/%.3g/%.3g", s[0], s[len(s)/2], s[len(s)-1])
}
