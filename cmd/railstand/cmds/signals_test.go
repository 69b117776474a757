package cmds_test

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"bamboorail.example/bamboorail/cmd/railstand/cmds"
)

// programVariable makes the test binary run as railstand.
const programVariable = "BAMBOORAIL_TEST_RAILSTAND"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestHangupDoesNotEndAStandIn: a stand-in goes on after SIGHUP and ends with
// exit code 0 once it is told to.
func TestHangupDoesNotEndAStandIn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "application.ini")
	settings := "[application]\nname = app\naddress = 127.0.0.1:0\n[log]\nlevel = info\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.CommandContext(context.Background(), os.Args[0], "application", "--settings", path)
	c.Env = append(os.Environ(), programVariable+"=1")
	output, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	for _, step := range []struct {
		line string
		then syscall.Signal
	}{
		{"stand-in serves", syscall.SIGHUP},
		{"signal=hangup", syscall.SIGTERM},
	} {
		found := false
		for !found && lines.Scan() {
			found = strings.Contains(lines.Text(), step.line)
		}
		if !found {
			t.Fatalf("no line %q: %v", step.line, c.Wait())
		}
		if err := c.Process.Signal(step.then); err != nil {
			t.Fatal(err)
		}
	}
	for lines.Scan() {
		t.Log(lines.Text())
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}
