package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bamboorail.example/bamboorail/internal/settings"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "railentry.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAllErrorsAreListedWithLines(t *testing.T) {
	path := write(t, `[instance]
name = bad name
drain-timeout = 5
color = red

[callers]
address = example:80
max-body = 1MB

[peers]
address = 127.0.0.1:99999

[operators]
token-sha256 = abc

[placement]
loads-at-once = 0
policy = best

[unknown]
key = 1
`)
	_, err := settings.ReadEntry(path)
	var invalid *settings.Error
	if !errors.As(err, &invalid) {
		t.Fatalf("error %v", err)
	}
	text := err.Error()
	for _, want := range []string{
		":2: [instance] name", ":3: [instance] drain-timeout", ":4: [instance] color: unknown key", "[instance] availability-zone: is required",
		":7: [callers] address", ":8: [callers] max-body", ":11: [peers] address", "[operators] address: is required", ":14: [operators] token-sha256",
		":17: [placement] loads-at-once", ":18: [placement] policy", ":21: [unknown] key: unknown key", "[metrics] address: is required", "[platform] url: is required",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("error lacks %q:\n%s", want, text)
		}
	}
}

func TestSamplesAreValid(t *testing.T) {
	for _, path := range []string{"../../docs/samples/railentry.ini", "../../_fixtures/demo/vstup-a1.ini"} {
		if _, err := settings.ReadEntry(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
	for kind, path := range map[string]string{
		"platform": "platform.ini", "weight-store": "weight-store.ini", "engine": "engine.ini", "application": "application.ini",
	} {
		if _, err := settings.ReadStandIn("../../docs/samples/"+path, kind); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nb = c\n"))
	f.Add([]byte("[a\n=\n\x00"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		file, err := settings.Parse("x.ini", data)
		if err != nil {
			return
		}
		file.Duration("a", "b", 0)
		file.Size("a", "b", 0)
		_ = file.Check()
	})
}
