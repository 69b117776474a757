// Package cli holds what the command lines of all programs share: exit codes
// and signals.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/settings"
)

// The exit codes of the programs.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitDenied      = 6
)

// UsageError reports a wrong use of the command line.
type UsageError struct{ Message string }

// Error returns the message.
func (u *UsageError) Error() string { return u.Message }

// Usagef returns an error for a wrong use of the command line.
func Usagef(format string, a ...any) error { return &UsageError{Message: fmt.Sprintf(format, a...)} }

// Run runs a command until it ends or the process is told to terminate. It
// returns the exit code.
func Run(command *cli.Command, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return execute(ctx, command, args, stdout, stderr)
}

// Serve runs the command of a daemon, which gets the signals of the process and
// a context that ends with the first SIGTERM or SIGINT. It returns the exit code.
func Serve(newCommand func(*Signals) *cli.Command, args []string, stdout, stderr io.Writer) int {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := receiveSignals(stop)
	receiving, end := context.WithCancel(context.WithoutCancel(ctx))
	received := duty.Start(receiving, "signals", signals.run)
	defer func() {
		end()
		received.Join()
	}()
	return execute(ctx, newCommand(signals), args, stdout, stderr)
}

func execute(ctx context.Context, command *cli.Command, args []string, stdout, stderr io.Writer) int {
	command.Writer, command.ErrWriter = stdout, stderr
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Message: err.Error()}
	}
	err := command.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *UsageError
	var faults *settings.Error
	if errors.As(err, &usage) || errors.As(err, &faults) {
		return ExitUsage
	}
	var f interface{ Detail() *bamboorail.Failure }
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f.Detail().Kind {
	case bamboorail.KindConflict:
		return ExitConflict
	case bamboorail.KindNotFound, bamboorail.KindUnknownTarget, bamboorail.KindUnknownAdapter:
		return ExitNotFound
	case bamboorail.KindUnavailable, bamboorail.KindOverloaded, bamboorail.KindNotOwner:
		return ExitUnavailable
	case bamboorail.KindUnauthenticated, bamboorail.KindForbidden:
		return ExitDenied
	case bamboorail.KindBadRequest, bamboorail.KindInvalidRecord, bamboorail.KindTooLarge:
		return ExitUsage
	}
	return ExitFailed
}
