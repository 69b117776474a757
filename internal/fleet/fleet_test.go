package fleet

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

var start = time.Unix(1000, 0)

func entry(name string, born int64, beat uint64) bamboorail.TargetEntry {
	return bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: name, StartMillis: born}, Service: "s", HeartbeatSeq: beat}
}

func TestOlderEntriesAreDropped(t *testing.T) {
	cases := map[string]struct {
		next    bamboorail.TargetEntry
		applied bool
	}{
		"later heartbeat":                    {entry("a", 5, 8), true},
		"earlier heartbeat":                  {entry("a", 5, 6), false},
		"new start, whose count begins anew": {entry("a", 9, 1), true},
		"earlier start":                      {entry("a", 4, 90), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(time.Second)
			f.Update(entry("a", 5, 7))
			f.Update(c.next)
			got, _ := f.Target("a")
			if applied := got.ID == c.next.ID && got.HeartbeatSeq == c.next.HeartbeatSeq; applied != c.applied {
				t.Errorf("known entry %+v", got)
			}
		})
	}
}

// TestTargetsOutliveAnOutageForAWhile: entries lapse while the store is away
// though their targets live; those that stay missing are gone.
func TestTargetsOutliveAnOutageForAWhile(t *testing.T) {
	cases := map[string]struct {
		outage bool
		after  time.Duration
		want   bool
	}{
		"listed without it after an outage": {true, time.Second, true},
		"missing for longer than the grace": {true, 3 * time.Second, false},
		"listed without it, no outage":      {false, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(2 * time.Second)
			f.Update(entry("a", 1, 1))
			f.Replace(nil, start, c.outage)
			f.Expire(start.Add(c.after))
			if _, ok := f.Target("a"); ok != c.want {
				t.Errorf("known %t, want %t", ok, c.want)
			}
		})
	}
}

func TestReleasesNeverGoBack(t *testing.T) {
	f, key := New(time.Second), bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 3}, start)
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 2}, start.Add(time.Second))
	if h := f.Releases(key); len(h) != 1 || h.Newest() != 3 || !h[0].LearnedAt.Equal(start) {
		t.Errorf("releases %v", h)
	}
}

// TestReleasesBeyondTheKeptOnesStayOutOfUse: the bound on the history of an
// adapter never makes an old replacement look recent.
func TestReleasesBeyondTheKeptOnesStayOutOfUse(t *testing.T) {
	f, key := New(time.Second), bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 2}, start)
	before := f.Releases(key)
	now := start.Add(time.Minute)
	for n := range 3 * keptReleases {
		f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 3 + n}, now)
		h := f.Releases(key)
		if len(h) > keptReleases {
			t.Fatalf("%d releases are kept", len(h))
		}
		if age := h.OutdatedFor(1, now); age < time.Minute {
			t.Fatalf("after %d releases, version 1 has been replaced for %v", n+2, age)
		}
		if age := h.OutdatedFor(h.Newest()-1, now); age != 0 {
			t.Fatalf("the version before the newest has been replaced for %v", age)
		}
		if h.OutdatedFor(h.Newest(), now) != 0 {
			t.Fatal("the newest version counts as replaced")
		}
	}
	if len(before) != 1 || before.Newest() != 2 || !before[0].LearnedAt.Equal(start) {
		t.Errorf("a history that was read changed to %v", before)
	}
}

func TestServiceLeavesOutLeavingTargets(t *testing.T) {
	f := New(time.Second)
	leaving := entry("a", 1, 1)
	leaving.Leaving = true
	f.Update(leaving)
	f.Update(entry("b", 1, 1))
	if list := f.Service("s"); len(list) != 1 || list[0].ID.Name != "b" {
		t.Errorf("targets %+v", list)
	}
}
