package fleet

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

var start = time.Unix(1000, 0)

func entry(name string, startMillis int64, heartbeatSeq uint64) bamboorail.TargetEntry {
	return bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: name, StartMillis: startMillis}, Service: "s", HeartbeatSeq: heartbeatSeq}
}

func TestUpdateDropsOlderEntries(t *testing.T) {
	cases := map[string]struct {
		next    bamboorail.TargetEntry
		applied bool
	}{
		"later heartbeat":                         {entry("a", 5, 8), true},
		"earlier heartbeat":                       {entry("a", 5, 6), false},
		"later start, with a new heartbeat count": {entry("a", 9, 1), true},
		"earlier start":                           {entry("a", 4, 90), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(time.Second)
			f.Update(entry("a", 5, 7))
			f.Update(c.next)
			got, _ := f.Target("a")
			if applied := got.ID == c.next.ID && got.HeartbeatSeq == c.next.HeartbeatSeq; applied != c.applied {
				t.Errorf("entry %+v", got)
			}
		})
	}
}

// TestMissingTargetsAreKeptForGracePeriod checks that targets whose entries
// lapsed during an outage of the store are kept for the grace period, and
// removed if they are still missing afterwards.
func TestMissingTargetsAreKeptForGracePeriod(t *testing.T) {
	cases := map[string]struct {
		outage bool
		after  time.Duration
		want   bool
	}{
		"missing from the list after an outage":    {true, time.Second, true},
		"missing for longer than the grace period": {true, 3 * time.Second, false},
		"missing from the list without an outage":  {false, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(2 * time.Second)
			f.Update(entry("a", 1, 1))
			f.Replace(nil, start, c.outage)
			f.Expire(start.Add(c.after))
			if _, ok := f.Target("a"); ok != c.want {
				t.Errorf("target found: %t, want %t", ok, c.want)
			}
		})
	}
}

func TestAddReleaseIgnoresOlderVersions(t *testing.T) {
	f, key := New(time.Second), bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 3}, start)
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 2}, start.Add(time.Second))
	if h := f.Releases(key); len(h) != 1 || h.Newest() != 3 || !h[0].LearnedAt.Equal(start) {
		t.Errorf("releases %v", h)
	}
}

// TestReleaseHistoryLimit checks that the bound on the history of an adapter
// never makes an old replacement look recent.
func TestReleaseHistoryLimit(t *testing.T) {
	f, key := New(time.Second), bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 2}, start)
	before := f.Releases(key)
	now := start.Add(time.Minute)
	for n := range 3 * maxReleaseHistory {
		f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: 3 + n}, now)
		h := f.Releases(key)
		if len(h) > maxReleaseHistory {
			t.Fatalf("history has %d releases", len(h))
		}
		if age := h.OutdatedFor(1, now); age < time.Minute {
			t.Fatalf("after %d releases, version 1 has been replaced for %v", n+2, age)
		}
		if age := h.OutdatedFor(h.Newest()-1, now); age != 0 {
			t.Fatalf("the version before the newest has been replaced for %v", age)
		}
		if h.OutdatedFor(h.Newest(), now) != 0 {
			t.Fatal("the newest version is reported as replaced")
		}
	}
	if len(before) != 1 || before.Newest() != 2 || !before[0].LearnedAt.Equal(start) {
		t.Errorf("a returned history changed to %v", before)
	}
}

func TestServiceExcludesLeavingTargets(t *testing.T) {
	f := New(time.Second)
	leaving := entry("a", 1, 1)
	leaving.Leaving = true
	f.Update(leaving)
	f.Update(entry("b", 1, 1))
	if list := f.Service("s"); len(list) != 1 || list[0].ID.Name != "b" {
		t.Errorf("targets %+v", list)
	}
}

// TestOlderEntriesBringNoTargetBack guards against targets that left and come back
// with entries that a store restored from an older copy lists again.
func TestOlderEntriesBringNoTargetBack(t *testing.T) {
	leaving := entry("a", 5, 8)
	leaving.Leaving = true
	cases := map[string]struct {
		known   bamboorail.TargetEntry
		removed bool
		next    bamboorail.TargetEntry
		listed  bool // next comes with a list
		later   time.Duration
		takes   bool // calls
	}{
		"gone, older change":            {known: entry("a", 5, 8), removed: true, next: entry("a", 5, 7)},
		"gone, older list":              {known: entry("a", 5, 8), removed: true, next: entry("a", 5, 7), listed: true},
		"gone, same entry":              {known: entry("a", 5, 8), removed: true, next: entry("a", 5, 8), listed: true},
		"gone, later heartbeat":         {known: entry("a", 5, 8), removed: true, next: entry("a", 5, 9), takes: true},
		"gone, later start":             {known: entry("a", 5, 8), removed: true, next: entry("a", 6, 1), takes: true},
		"gone, no heartbeats":           {known: entry("a", 0, 0), removed: true, next: entry("a", 0, 0), takes: true},
		"gone for long":                 {known: entry("a", 5, 8), removed: true, next: entry("a", 5, 7), later: 2 * departureMemory, takes: true},
		"leaves, ready in older list":   {known: leaving, next: entry("a", 5, 7), listed: true},
		"leaves, ready in later list":   {known: leaving, next: entry("a", 5, 9), listed: true, takes: true},
		"leaves, ready in older change": {known: leaving, next: entry("a", 5, 7)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(2 * time.Second)
			f.Update(c.known)
			if c.removed {
				f.Remove("a", start)
			}
			now := start.Add(c.later)
			f.Expire(now)
			if c.listed {
				f.Replace([]bamboorail.TargetEntry{c.next}, now, true)
			} else {
				f.Update(c.next)
			}
			if takes := len(f.Service("s")) > 0; takes != c.takes {
				t.Errorf("takes calls: %t, want %t", takes, c.takes)
			}
		})
	}
}

// TestOwnWordOutweighsEntries guards against a target that says that it leaves and is
// brought back by an entry that says that it is ready.
func TestOwnWordOutweighsEntries(t *testing.T) {
	cases := map[string]struct {
		next  bamboorail.TargetEntry
		takes bool
	}{
		"later heartbeat":   {entry("a", 5, 9), false},
		"its next start":    {entry("a", 6, 1), true},
		"another in a list": {entry("b", 5, 1), true},
	}
	for name, c := range cases {
		for _, listed := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := New(time.Second)
				f.Update(entry("a", 5, 8))
				f.MarkLeaving(bamboorail.TargetID{Name: "a", StartMillis: 5}, start)
				if len(f.Service("s")) > 0 {
					t.Fatal("the target still takes calls")
				}
				if listed {
					f.Replace([]bamboorail.TargetEntry{c.next}, start, false)
				} else {
					f.Update(c.next)
				}
				f.Expire(start.Add(2 * leavingMemory))
				if takes := len(f.Service("s")) > 0; takes != c.takes {
					t.Errorf("takes calls: %t, want %t", takes, c.takes)
				}
			})
		}
	}
}
