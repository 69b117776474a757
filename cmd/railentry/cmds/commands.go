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
	"bamboorail.example/bamboorail/internal/gateway"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/service"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/platform"
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
			path := c.String("settings")
			gateway, err := settings.IsGateway(path)
			if err != nil {
				return err
			}
			open := openEntry
			if gateway {
				open = openGateway
			}
			p, err := open(path)
			if err != nil {
				return err
			}
			if c.Bool("check-settings") {
				_, err := fmt.Fprintln(stdout, "settings are valid")
				return err
			}
			return run(ctx, p, stderr)
		},
	}
}

// program is what the settings ask for.
type program struct {
	log settings.Log
	// start opens the ports of an instance.
	start func(ctx context.Context, logs *logflags.Logs) (instance, error)
}

// instance runs until stop ends, then shuts down gracefully.
type instance interface {
	Run(ctx, stop context.Context) error
}

// openEntry reads the settings of an instance that owns targets.
func openEntry(path string) (program, error) {
	s, err := settings.ReadEntry(path)
	return program{log: s.Log, start: func(ctx context.Context, logs *logflags.Logs) (instance, error) {
		return service.New(ctx, s, logs)
	}}, err
}

// openGateway reads the settings of an instance on the users' platform.
func openGateway(path string) (program, error) {
	s, err := settings.ReadGateway(path)
	return program{log: s.Log, start: func(ctx context.Context, logs *logflags.Logs) (instance, error) {
		return gateway.New(ctx, s, platform.NewAdapter(s.PlatformURL, gateway.Transport()), logs)
	}}, err
}

func run(ctx context.Context, p program, stderr io.Writer) error {
	logs, err := logflags.New(stderr, "railentry", p.log.Level, p.log.JSON)
	if err != nil {
		return err
	}
	i, err := p.start(ctx, logs)
	if err != nil {
		return err
	}
	signals, cancel := context.WithCancel(ctx)
	toggled := duty.Start(signals, "log-level", func(ctx context.Context) error { return toggleDebug(ctx, logs, p.log.Level) })
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
