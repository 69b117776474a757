// Package logflags creates one logger for each layer of a program. All loggers
// share an output and a level, which can be changed at run time.
package logflags

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Logs is the root of the loggers of one process.
type Logs struct {
	root hclog.Logger
}

// New returns loggers that write to w at the given level, as JSON if json is set.
func New(w io.Writer, program, level string, json bool) (*Logs, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return nil, fmt.Errorf("invalid log level %q, must be one of trace, debug, info, warn, error, off", level)
	}
	root := hclog.New(&hclog.LoggerOptions{
		Name:              program,
		Level:             l,
		Output:            w,
		JSONFormat:        json,
		TimeFormat:        "2006-01-02T15:04:05.000Z07:00",
		IndependentLevels: false,
	})
	return &Logs{root: root}, nil
}

// With returns loggers that add a field to every line.
func (l *Logs) With(key, value string) *Logs { return &Logs{root: l.root.With(key, value)} }

// Discard returns loggers that write nothing.
func Discard() *Logs { return &Logs{root: hclog.NewNullLogger()} }

// Layer returns the logger of a layer; its name prefixes every line.
func (l *Logs) Layer(name string) hclog.Logger { return l.root.Named(name) }

// Level returns the current level.
func (l *Logs) Level() string { return l.root.GetLevel().String() }

// SetLevel changes the level of every logger of the process.
func (l *Logs) SetLevel(level string) error {
	n := hclog.LevelFromString(level)
	if n == hclog.NoLevel {
		return fmt.Errorf("invalid log level %q, must be one of trace, debug, info, warn, error, off", level)
	}
	l.root.SetLevel(n)
	return nil
}
