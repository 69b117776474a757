// Command measure compares the decisions of the daemon with a naive baseline
// on virtual time and prints a table.
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

// seeds are those of every run.
var seeds = []uint64{11, 23, 37, 59, 83}

// cell holds the results of all seeds of a contender in a scenario.
type cell struct {
	contender measure.Contender
	results   []*measure.Results
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
	contenders := []measure.Contender{measure.Naive(), measure.Ours()}
	for _, site := range []measure.Site{measure.Archive(), measure.Coupons()} {
		fmt.Printf("%s: %d engines with %d slots and batches of %d, %.1f requests/s at full batches, %g loads/s\n",
			site.Name, site.Engines, site.Slots, site.MaxBatch, site.Capacity(), site.LoadsPerSecond)
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "SCENARIO\tPOLICY\tSTALL MEAN s\tP95\tP99\tFILL\tWORST SHARE\tREFUSED\tDONE/s\tLOADS/1000\tEVICT/1000\tRECOVERY s")
		for _, sc := range measure.Scenarios() {
			if !strings.Contains(sc.Name, only) {
				continue
			}
			cells := measureAll(site, sc, contenders)
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

// printScenario prints the rows of a scenario, with the lower bound.
func printScenario(w *tabwriter.Writer, site measure.Site, sc measure.Scenario, cells []cell) {
	for _, c := range cells {
		printRow(w, sc, c)
	}
	bounds := make([]float64, 0, len(seeds))
	for _, seed := range seeds {
		bounds = append(bounds, measure.LowerBound(site, sc, seed))
	}
	_, _ = fmt.Fprintf(w, "%s\tlower bound\t%s\n", sc.Name, spread(bounds))
}

// measureAll runs every contender with every seed, in parallel.
func measureAll(site measure.Site, sc measure.Scenario, contenders []measure.Contender) []cell {
	cells := make([]cell, len(contenders))
	var group sync.WaitGroup
	for n, c := range contenders {
		cells[n] = cell{contender: c, results: make([]*measure.Results, len(seeds))}
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
		return spread(values)
	}
	recovery := "-"
	if event := max(sc.ShiftAt, sc.RestartAt); event > 0 {
		recovery = over(func(r *measure.Results) float64 { return r.RecoverySeconds(event) })
	}
	columns := []string{
		sc.Name, c.contender.Name, over((*measure.Results).MeanStall),
		over(func(r *measure.Results) float64 { return r.StallQuantile(0.95) }),
		over(func(r *measure.Results) float64 { return r.StallQuantile(0.99) }),
		over((*measure.Results).Fill), over((*measure.Results).WorstShare), over((*measure.Results).Refusals),
		over((*measure.Results).Finished), over((*measure.Results).LoadsPer1000), over((*measure.Results).EvictionsPer1000), recovery,
	}
	_, _ = fmt.Fprintln(w, strings.Join(columns, "\t"))
}

// spread prints the least, the median and the greatest value.
func spread(values []float64) string {
	s := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.3g/%.3g/%.3g", s[0], s[len(s)/2], s[len(s)-1])
}
