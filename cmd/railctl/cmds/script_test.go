package cmds_test

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/testscript"

	railctl "bamboorail.example/bamboorail/cmd/railctl/cmds"
	railentry "bamboorail.example/bamboorail/cmd/railentry/cmds"
	railstand "bamboorail.example/bamboorail/cmd/railstand/cmds"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/service"
	"bamboorail.example/bamboorail/internal/settings"
	standplatform "bamboorail.example/bamboorail/internal/stand/platform"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

type program func(args []string, stdout, stderr *os.File) int

func main(run program) func() {
	return func() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) }
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"railctl":   main(func(a []string, o, e *os.File) int { return railctl.Main(a, o, e) }),
		"railentry": main(func(a []string, o, e *os.File) int { return railentry.Main(a, o, e) }),
		"railstand": main(func(a []string, o, e *os.File) int { return railstand.Main(a, o, e) }),
	})
}

// TestScripts runs the command lines against an instance of its own each.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "../../../_fixtures/scripts", Setup: startInstance})
}

// startInstance runs a platform stand-in and an instance, and points railctl
// to it.
func startInstance(env *testscript.Env) error {
	server := standplatform.New(standplatform.Options{WritesPerSecond: 1000}, prometheus.NewRegistry())
	front := httptest.NewServer(server.Handler())
	s := settings.Entry{
		Instance: "a1", Zone: "sala-a", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0",
		PeerAddress: "127.0.0.1:0", PlatformURL: front.URL, OperatorTokenSHA256: record.HashToken("tajne"),
		MaxBody: 1 << 20, MaxConcurrentLoads: 1, Policy: "weighted", TraceCapacity: 16,
	}
	ctx, cancel := context.WithCancel(context.Background())
	i, err := service.New(ctx, s, logflags.Discard())
	if err != nil {
		cancel()
		return err
	}
	d := task.Start(ctx, "a1", func(ctx context.Context) error { return i.Run(ctx, ctx) })
	env.Defer(func() { cancel(); d.Join(); front.Close() })
	env.Setenv("RAILCTL_SERVER", "http://"+i.OperatorAddress())
	env.Setenv("RAILCTL_TOKEN_FILE", filepath.Join(env.WorkDir, "token"))
	return os.WriteFile(filepath.Join(env.WorkDir, "token"), []byte("tajne\n"), 0o600)
}
