// Package cmds implements the command line of railentry.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/service"
	"bamboorail.example/bamboorail/internal/settings"
)

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(New(stdout, stderr), args, stdout, stderr)
}

// New returns the command of railentry.
func New(stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:    "railentry",
		Usage:   "serve callers and own targets",
		Version: bamboorail.Version,
		Description: "Runs until it gets SIGTERM, then hands over what it owns and waits for the requests in flight.\n" +
			"SIGHUP switches the log between its configured level and debug.\n\n" +
			"Examples:\n  railentry --settings /etc/bamboorail/railentry.ini\n  railentry --settings railentry.ini --check-settings\n\n" +
			"Exit codes: 0 left as told, 1 failed, 2 wrong command line or settings.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "settings", Usage: "read settings from `FILE`", Required: true},
			&urfave.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *urfave.Command) error {
			s, err := settings.ReadEntry(c.String("settings"))
			if err != nil {
				return err
			}
			if c.Bool("check-settings") {
				_, err := fmt.Fprintln(stdout, "settings are valid")
				return err
			}
			return run(ctx, s, stderr)
		},
	}
}

func run(ctx context.Context, s settings.Entry, stderr io.Writer) error {
	logs, err := logflags.New(stderr, "railentry", s.Log.Level, s.Log.JSON)
	if err != nil {
		return err
	}
	i, err := service.New(ctx, s, logs)
	if err != nil {
		return err
	}
	signals, cancel := context.WithCancel(ctx)
	toggled := duty.Start(signals, "log-level", func(ctx context.Context) error { return toggleDebug(ctx, logs, s.Log.Level) })
	err = i.Run(context.WithoutCancel(ctx), ctx)
	cancel()
	toggled.Join()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// toggleDebug switches the log level at each SIGHUP.
func toggleDebug(ctx context.Context, logs *logflags.Logs, configured string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
		}
		next := "debug"
		if logs.Level() == "debug" {
			next = configured
		}
		if err := logs.SetLevel(next); err != nil {
			return err
		}
	}
}
