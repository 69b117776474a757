// Command slopes measures how the control-plane costs of an instance scale and
// prints a linear fit for each. docs/CAPACITY.md is based on its output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"
)

// sample is the cost measured at one size.
type sample struct{ size, cost float64 }

// series is a cost measured at several sizes.
type series struct {
	name    string
	unit    string
	samples []sample
}

// fit returns the least-squares line and its coefficient of determination.
func (s series) fit() (slope, intercept, r2 float64) {
	n := float64(len(s.samples))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range s.samples {
		sx += p.size
		sy += p.cost
		sxx += p.size * p.size
		sxy += p.size * p.cost
		syy += p.cost * p.cost
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	var residual float64
	for _, p := range s.samples {
		d := p.cost - (intercept + slope*p.size)
		residual += d * d
	}
	if total := syy - sy*sy/n; total > 0 {
		return slope, intercept, 1 - residual/total
	}
	return slope, intercept, 1
}

func (s series) print() {
	slope, intercept, r2 := s.fit()
	fmt.Printf("%-44s slope %.4g %s, intercept %.4g, R2 %.4f;", s.name, slope, s.unit, intercept, r2)
	for _, p := range s.samples {
		fmt.Printf(" %g:%.4g", p.size, p.cost)
	}
	fmt.Println()
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes returns the size of the live heap after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func main() {
	for _, measure := range []func() ([]series, error){measureHeartbeats, measureSessions, measureConfiguration, measureHop} {
		list, err := measure()
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		for _, s := range list {
			s.print()
		}
	}
}
