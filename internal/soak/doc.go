// Package soak runs the programs as separate processes on one machine, does
// planned work to them and injects faults from outside, and checks what callers
// and targets see: exact answers, calls that run at most once, true outcomes,
// nothing cut off by planned work, and recovery.
package soak

import (
	"fmt"

	"bamboorail.example/bamboorail"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func fail(op string, format string, a ...any) error {
	return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindInternal, Err: fmt.Errorf(format, a...)}}
}
