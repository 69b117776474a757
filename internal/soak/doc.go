// Package soak is a fault-injection test. It runs the programs as separate
// processes on one machine, performs maintenance on them, injects faults from
// outside, and checks what callers and targets observe: exact response text,
// at-most-once execution, correct run outcomes, no requests interrupted by
// maintenance, and recovery.
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
