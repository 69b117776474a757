// Package cmds implements the command line of railentry.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"
	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/gateway"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/service"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/platform"
)

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Serve(func(s *cli.Signals) *urfave.Command { return New(s, stdout, stderr) }, args, stdout, stderr)
}

// New returns the command of railentry.
func New(signals *cli.Signals, stdout, stderr io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:    "railentry",
		Usage:   "serve callers and own targets",
		Version: bamboorail.Version,
		Description: "Runs until it gets SIGTERM, then hands over what it owns and waits for the requests in flight;\n" +
			"signals that follow do not cut it short.\n" +
			"SIGHUP switches the log between its configured level and debug.\n\n" +
			"Settings with a section [gateway] run an instance on a platform that keeps routes and targets itself;\n" +
			"it reads changed settings at SIGHUP and every two seconds, and logs to standard output.\n\n" +
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
			p, err := open(path, stdout, stderr)
			if err != nil {
				return err
			}
			if c.Bool("check-settings") {
				_, err := fmt.Fprintln(stdout, "settings are valid")
				return err
			}
			return run(ctx, p, signals)
		},
	}
}

// program is what the settings ask for.
type program struct {
	log settings.Log
	out io.Writer
	// start opens the ports of an instance.
	start func(ctx context.Context, logs *logflags.Logs) (instance, error)
	// watch follows hangups and the settings file while i runs.
	watch func(ctx context.Context, i instance, hangups <-chan struct{}, logs *logflags.Logs) error
}

// instance runs until stop ends, then shuts down gracefully.
type instance interface {
	Run(ctx, stop context.Context) error
}

// openEntry reads the settings of an instance that owns targets.
func openEntry(path string, _, stderr io.Writer) (program, error) {
	s, err := settings.ReadEntry(path)
	return program{
		log: s.Log, out: stderr,
		start: func(ctx context.Context, logs *logflags.Logs) (instance, error) { return service.New(ctx, s, logs) },
		watch: func(ctx context.Context, _ instance, hangups <-chan struct{}, logs *logflags.Logs) error {
			return toggleDebug(ctx, hangups, logs, s.Log.Level)
		},
	}, err
}

// openGateway reads the settings of an instance on the users' platform, which
// collects logs from standard output.
func openGateway(path string, stdout, _ io.Writer) (program, error) {
	s, err := settings.ReadGateway(path)
	return program{
		log: s.Log, out: stdout,
		start: func(ctx context.Context, logs *logflags.Logs) (instance, error) {
			logs = logs.With("instance", s.Instance)
			return gateway.New(ctx, s, platform.NewAdapter(s.PlatformURL, gateway.NewTransport(relay.NewDialer()), logs.Layer("store")), logs)
		},
		watch: func(ctx context.Context, i instance, hangups <-chan struct{}, logs *logflags.Logs) error {
			return reloadSettings(ctx, path, s, i.(*gateway.Gateway), hangups, logs)
		},
	}, err
}

// logPatience bounds the writing of the last log lines, which an output that
// nobody reads does not take; the gateway leaves 400 ms for its end.
const logPatience = 200 * time.Millisecond

func run(ctx context.Context, p program, signals *cli.Signals) error {
	ring := logflags.NewAsyncWriter()
	// The log and the settings are followed until the end of the process, not
	// only until it is told to end.
	whole := context.WithoutCancel(ctx)
	logging, stopLog := context.WithCancel(whole)
	written := task.Start(logging, "log", func(ctx context.Context) error { return ring.Run(ctx, p.out) })
	defer func() {
		stopLog()
		joined, release := context.WithTimeout(whole, logPatience)
		defer release()
		// A log that nobody reads cannot tell that it was not read.
		_ = written.JoinWithin(joined)
	}()
	logs, err := logflags.New(ring, "railentry", p.log.Level, p.log.JSON)
	if err != nil {
		return err
	}
	signals.LogTo(logs.Layer("signals"))
	// Libraries such as net/http write to the standard logger.
	log.SetFlags(0)
	log.SetOutput(logs.Layer("library").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}))
	i, err := p.start(ctx, logs)
	if err != nil {
		return err
	}
	watching, cancel := context.WithCancel(whole)
	watched := task.Start(watching, "settings", func(ctx context.Context) error {
		err := p.watch(ctx, i, signals.Hangups(), logs)
		if ctx.Err() == nil {
			logs.Layer("settings").Error("settings are not followed any more", "error", err)
		}
		return err
	})
	err = i.Run(whole, ctx)
	cancel()
	watched.Join()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// settingsInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// reloadSettings follows the settings file. Settings with faults are reported
// and leave those before in force.
func reloadSettings(ctx context.Context, path string, inForce settings.Gateway, g *gateway.Gateway, hangups <-chan struct{}, logs *logflags.Logs) error {
	log := logs.Layer("settings")
	ticks := time.NewTicker(settingsInterval)
	defer ticks.Stop()
	var faults string
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
		case <-ticks.C:
		}
		next, err := settings.ReadGateway(path)
		if err != nil {
			if err.Error() != faults {
				log.Error("settings not reloaded", "error", err)
			}
			faults = err.Error()
			continue
		}
		faults = ""
		if !reflect.DeepEqual(next, inForce) {
			inForce = next
			g.Reload(next)
		}
	}
}

// toggleDebug switches the log level at each SIGHUP.
func toggleDebug(ctx context.Context, hangups <-chan struct{}, logs *logflags.Logs, configured string) error {
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
