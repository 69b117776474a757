// Package cmds implements the command line of railstand.
package cmds

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/application"
	"bamboorail.example/bamboorail/internal/stand/engine"
	"bamboorail.example/bamboorail/internal/stand/fault"
	"bamboorail.example/bamboorail/internal/stand/platform"
	"bamboorail.example/bamboorail/internal/stand/weightstore"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

const headerReadTimeout = 10 * time.Second

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Serve(func(s *cli.Signals) *urfave.Command { return New(s, stderr) }, args, stdout, stderr)
}

// New returns the command of railstand.
func New(signals *cli.Signals, stderr io.Writer) *urfave.Command {
	root := &urfave.Command{
		Name:    "railstand",
		Usage:   "run a stand-in for an outside system",
		Version: bamboorail.Version,
		Description: "Every stand-in serves a fault API below /fault: POST /fault adds a rule, DELETE /fault removes all,\n" +
			"POST /fault/freeze, /fault/thaw and /fault/restart do what they say.\n\n" +
			"Example:\n  railstand engine --settings engine.ini\n\n" +
			"Exit codes: 0 stopped as told, 1 failed, 2 wrong command line or settings.",
	}
	for _, k := range []struct{ name, usage string }{
		{"platform", "run the object API with instance list"},
		{"weight-store", "run the rate-limited store of weights"},
		{"engine", "run a model engine"},
		{"application", "run a plain service"},
	} {
		root.Commands = append(root.Commands, &urfave.Command{
			Name: k.name, Usage: k.usage,
			Flags: []urfave.Flag{
				&urfave.StringFlag{Name: "settings", Usage: "read settings from `FILE`", Required: true},
				&urfave.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
			},
			Action: func(ctx context.Context, c *urfave.Command) error {
				s, err := settings.ReadStandIn(c.String("settings"), k.name)
				if err != nil || c.Bool("check-settings") {
					return err
				}
				return run(ctx, k.name, s, signals, stderr)
			},
		})
	}
	return root
}

// stand is a stand-in: a handler, and a duty that may be nil.
type stand struct {
	handler http.Handler
	restart func()
	duty    task.Func
}

func run(ctx context.Context, kind string, s settings.StandIn, signals *cli.Signals, stderr io.Writer) error {
	logs, err := logflags.New(stderr, "railstand", s.Log.Level, s.Log.JSON)
	if err != nil {
		return err
	}
	signals.LogTo(logs.Layer("signals"))
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address)
	if err != nil {
		return err
	}
	in := build(kind, s)
	g := task.NewGroup(ctx)
	if in.duty != nil {
		g.Start(kind, in.duty)
	}
	g.Start("serve", func(ctx context.Context) error {
		return serve(ctx, l, fault.NewInjector(in.restart).Wrap(in.handler), logs.Layer(kind))
	})
	return g.Wait()
}

func build(kind string, s settings.StandIn) stand {
	switch kind {
	case "platform":
		registry := prometheus.NewRegistry()
		server := platform.New(platform.Options{
			WritesPerSecond: s.WritesPerSecond, InstanceLag: s.InstanceLag, Instances: s.Instances,
		}, registry)
		mux := http.NewServeMux()
		mux.Handle("/", server.Handler())
		mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
		return stand{handler: mux}
	case "weight-store":
		return stand{handler: weightstore.New(weightstore.Options{LoadTime: s.LoadTime, FailEvery: s.FailEvery}).Handler()}
	case "application":
		return stand{handler: application.New(s.Name, s.RunTime).Handler()}
	}
	e := engine.New(engine.Options{
		Name: s.Name, BaseModel: s.BaseModel, Slots: s.Slots, MaxBatch: s.MaxBatch, Step: s.Step, Prefill: s.Prefill,
		ColdStart: s.ColdStart, WeightStore: s.WeightStore, ChecksFencing: s.ChecksFencing, StateLag: s.StateLag,
	}, http.DefaultClient)
	h := e.OpenAIHandler()
	if s.Dialect == record.DialectStatus {
		h = e.StatusHandler()
	}
	return stand{handler: h, restart: e.Restart, duty: e.Run}
}

func serve(ctx context.Context, l net.Listener, h http.Handler, log hclog.Logger) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerReadTimeout}
	closed := task.Start(ctx, "close", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	log.Info("stand-in serves", "address", l.Addr())
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return <-closed.Done()
	}
	return err
}
