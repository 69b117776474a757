package mirror

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestMinorUpdatesAreRateLimited guards against the heartbeats of all
// targets saturating the network link of the holder: changes with an equal digest
// are forwarded once per minorUpdateInterval, all others immediately.
func TestMinorUpdatesAreRateLimited(t *testing.T) {
	now := time.Now()
	// The digest of a value is its first byte; "?" cannot be decoded.
	c := newCache(func(o bamboorail.Object) (string, bool) { return string(o.Value[:1]), o.Value[0] != '?' })
	c.now = func() time.Time { return now }
	c.replace("k", nil, 1, now)
	revision := bamboorail.StoreVersion(1)
	write := func(value string) {
		revision++
		o := bamboorail.Object{Key: "k/a", Version: revision, Value: []byte(value), Deleted: value == ""}
		if !c.apply("k", revision-1, bamboorail.Events{Revision: revision, Objects: []bamboorail.Object{o}}, now) {
			t.Fatal("a change was not applied")
		}
	}
	steps := []struct {
		name, value string
		after       time.Duration
		passed      bool
	}{
		{"the first entry", "r1", 0, true},
		{"a heartbeat", "r2", time.Second, false},
		{"another heartbeat", "r3", time.Second, false},
		{"the target leaves", "l4", 0, true},
		{"a heartbeat while it leaves", "l5", time.Second, false},
		{"the target is back", "r6", 0, true},
		{"a malformed entry", "?7", 0, true},
		{"a heartbeat after it", "r8", 0, false},
		{"a heartbeat after the interval", "r9", minorUpdateInterval, true},
		{"the entry is removed", "", 0, true},
		{"the entry is back", "r10", 0, true},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		before := revision
		write(s.value)
		a, _ := c.read("k", before)
		if got := len(a.events.Objects) == 1; got != s.passed || a.events.Revision != revision {
			t.Errorf("%s: forwarded %t at revision %d, want %t at %d", s.name, got, a.events.Revision, s.passed, revision)
		}
		if all, _ := c.read("k", 0); s.value != "" && string(all.objects[0].Value) != s.value {
			t.Errorf("%s: list contains %q", s.name, all.objects[0].Value)
		}
	}
}
