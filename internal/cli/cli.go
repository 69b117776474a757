// Package cli provides the exit codes and signal handling shared by all
// programs.
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
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/task"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitDenied      = 6
)

// UsageError reports invalid command-line usage.
type UsageError struct{ Message string }

func (u *UsageError) Error() string { return u.Message }

// Usagef returns a formatted UsageError.
func Usagef(format string, a ...any) error { return &UsageError{Message: fmt.Sprintf(format, a...)} }

// Run runs a command and returns its exit code. SIGINT and SIGTERM cancel the
// context of the command.
func Run(command *cli.Command, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return execute(ctx, command, args, stdout, stderr)
}

// Serve runs the command of a daemon and returns its exit code. The command
// receives the process signals and a context that is canceled by the first
// SIGTERM or SIGINT.
func Serve(newCommand func(*Signals) *cli.Command, args []string, stdout, stderr io.Writer) int {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := receiveSignals(stop)
	receiving, end := context.WithCancel(context.WithoutCancel(ctx))
	received := task.Start(receiving, "signals", signals.run)
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
