package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/pkg/record"
)

func adapterRecord(name, fields string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"}]%s}`, name, fields))
}

func mustCommit(t *testing.T, s bamboorail.ObjectStore, c platform.Change) uint64 {
	t.Helper()
	revision, err := platform.NewWriter(s).Commit(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func view(t *testing.T, s bamboorail.ObjectStore) *platform.View {
	t.Helper()
	r := platform.NewReader(s, func(*platform.View, []error) {})
	if err := r.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r.Current()
}

func TestCommitIsIdempotent(t *testing.T) {
	s := memory.NewStore()
	c := platform.Change{ID: "c1", Apply: []json.RawMessage{adapterRecord("a", "")}}
	first := mustCommit(t, s, c)
	if again := mustCommit(t, s, c); again != first {
		t.Errorf("second commit gave revision %d, first %d", again, first)
	}
}

// TestCommitSurvivesLostResponses drops the response of each write in turn:
// the change must take effect once, and a commit with the same id must return it.
func TestCommitSurvivesLostResponses(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			s := memory.NewStore()
			mustCommit(t, s, platform.Change{ID: "c0", Apply: []json.RawMessage{adapterRecord("a", "")}})
			writes := 0
			s.SetHook(func(op, _ string) error {
				if op != "put-object" {
					return nil
				}
				writes++
				if writes == lost+1 {
					return memory.ErrLostResponse
				}
				return nil
			})
			c := platform.Change{ID: "c1", Base: 1, Apply: []json.RawMessage{adapterRecord("a", `,"note":"x"`), adapterRecord("b", "")}}
			revision, err := platform.NewWriter(s).Commit(t.Context(), c)
			if err != nil {
				revision = mustCommit(t, s, c)
			}
			if revision != 2 {
				t.Errorf("revision %d, expected 2", revision)
			}
			v := view(t, s)
			if _, ok := v.Adapter("b"); !ok || v.Revision() != 2 {
				t.Errorf("change did not take effect: revision %d", v.Revision())
			}
		})
	}
}

func TestConflictNamesChangedRecord(t *testing.T) {
	s := memory.NewStore()
	mustCommit(t, s, platform.Change{ID: "c0", Apply: []json.RawMessage{adapterRecord("a", "")}})
	mustCommit(t, s, platform.Change{ID: "c1", Base: 1, Apply: []json.RawMessage{adapterRecord("a", `,"note":"first"`)}})
	_, err := platform.NewWriter(s).Commit(t.Context(), platform.Change{ID: "c2", Base: 1, Apply: []json.RawMessage{adapterRecord("a", `,"note":"second"`)}})
	if bamboorail.KindOf(err) != bamboorail.KindConflict {
		t.Fatalf("error %v", err)
	}
	for _, part := range []string{"adapter/a", "revision 2", "first"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("conflict %q does not name %q", err, part)
		}
	}
}

// TestConcurrentCommitsAllTakeEffect runs writers that race for the head, with the
// response of every tenth call lost. No acknowledged change may be lost.
func TestConcurrentCommitsAllTakeEffect(t *testing.T) {
	s := memory.NewStore()
	var mu sync.Mutex
	calls := 0
	s.SetHook(func(string, string) error {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls%10 == 0 {
			return memory.ErrLostResponse
		}
		return nil
	})
	var group sync.WaitGroup
	for w := range 6 {
		group.Go(func() {
			for n := range 10 {
				c := platform.Change{ID: fmt.Sprintf("w%d-%d", w, n), Apply: []json.RawMessage{adapterRecord(fmt.Sprintf("a-%d-%d", w, n), "")}}
				for {
					_, err := platform.NewWriter(s).Commit(context.Background(), c)
					if err == nil {
						break
					}
				}
			}
		})
	}
	group.Wait()
	s.SetHook(nil)
	v := view(t, s)
	if got := len(v.Records(record.KindAdapter)); got != 60 || v.Revision() != 60 {
		t.Errorf("%d records at revision %d, expected 60 at 60", got, v.Revision())
	}
}

// TestReaderNeverReverts applies snapshots and head events out of order. The
// reader must never return to an older revision.
func TestReaderNeverReverts(t *testing.T) {
	s := memory.NewStore()
	var heads []bamboorail.Object
	var snapshots [][]byte
	for n := range 4 {
		mustCommit(t, s, platform.Change{ID: fmt.Sprintf("c%d", n), Base: uint64(n), Apply: []json.RawMessage{adapterRecord("a", fmt.Sprintf(`,"note":"%d"`, n))}})
		head, err := s.Get(t.Context(), platform.HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		heads = append(heads, head)
		snapshot, err := view(t, s).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, snapshot)
	}
	var last uint64
	r := platform.NewReader(s, func(v *platform.View, _ []error) {
		if v.Revision() <= last {
			t.Errorf("revision %d after %d", v.Revision(), last)
		}
		last = v.Revision()
	})
	for _, n := range []int{1, 0, 3, 2, 1, 3, 0} {
		if err := r.ApplySnapshot(snapshots[n]); err != nil {
			t.Error(err)
		}
		// An old head refers to shards that have since been deleted; it must
		// not change the view either.
		_ = r.ApplyEvent(t.Context(), heads[n])
	}
	if r.Current().Revision() != 4 {
		t.Errorf("current revision %d, expected 4", r.Current().Revision())
	}
}

func TestRefreshIsAtomic(t *testing.T) {
	s := memory.NewStore()
	mustCommit(t, s, platform.Change{ID: "c0", Apply: []json.RawMessage{adapterRecord("a", ""), adapterRecord("b", "")}})
	r := platform.NewReader(s, func(*platform.View, []error) {})
	if err := r.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	mustCommit(t, s, platform.Change{ID: "c1", Base: 1, Apply: []json.RawMessage{adapterRecord("a", `,"note":"2"`), adapterRecord("b", `,"note":"2"`)}})
	reads := 0
	s.SetHook(func(op, key string) error {
		if op == "get-object" && strings.HasPrefix(key, "config/shard/") {
			if reads++; reads == 2 {
				return errors.New("store is down")
			}
		}
		return nil
	})
	if err := r.Refresh(t.Context()); err == nil {
		t.Fatal("Refresh succeeded although a shard could not be read")
	}
	for _, name := range []string{"a", "b"} {
		rec, _ := r.Current().Record(record.Key{Kind: record.KindAdapter, Name: name})
		if strings.Contains(string(rec.Raw()), "note") || r.Current().Revision() != 1 {
			t.Errorf("%s is partially at revision 2: %s", name, rec.Raw())
		}
	}
}

func TestUnknownFeatureSkipsOnlyItsRecord(t *testing.T) {
	s := memory.NewStore()
	mustCommit(t, s, platform.Change{ID: "c0", Apply: []json.RawMessage{adapterRecord("a", "")}})
	// A newer writer stored a record that requires an unknown feature.
	newer := strings.Replace(string(adapterRecord("b", `,"requires":["mixing"]`)), `"schema-version":1`, `"schema-version":3`, 1)
	head, version, err := platform.ReadHead(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	head.Revision, head.Shards[255] = 2, "2-x"
	put(t, s, "config/shard/255/2-x", `{"adapter/b":{"revision":2,"record":`+newer+`}}`, 0)
	data, err := json.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, platform.HeadKey, string(data), version)
	var errs []error
	r := platform.NewReader(s, func(_ *platform.View, e []error) { errs = e })
	if err := r.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, ok := r.Current().Adapter("a"); !ok || len(errs) != 1 || !strings.Contains(errs[0].Error(), "mixing") {
		t.Errorf("adapter a present: %t, errors %v", ok, errs)
	}
}

func put(t *testing.T, s bamboorail.ObjectStore, key, value string, expect bamboorail.StoreVersion) {
	t.Helper()
	if _, err := s.Put(t.Context(), key, []byte(value), expect); err != nil {
		t.Fatal(err)
	}
}

func TestAcceptedRecordsFitSnapshots(t *testing.T) {
	for _, depth := range []int{20, 9_980, 9_993, 9_994, 9_995, 9_996, 9_997, 9_998, 9_999, 15_000} {
		t.Run(fmt.Sprint(depth), func(t *testing.T) {
			s := memory.NewStore()
			note := `,"note":` + strings.Repeat("[", depth) + strings.Repeat("]", depth)
			_, err := platform.NewWriter(s).Commit(t.Context(), platform.Change{ID: "c", Apply: []json.RawMessage{adapterRecord("a", note)}})
			if err != nil {
				if depth < 100 || bamboorail.KindOf(err) != bamboorail.KindInvalidRecord {
					t.Errorf("record refused: %v", err)
				}
				return
			}
			if _, err := view(t, s).Snapshot(); err != nil {
				t.Error(err)
			}
		})
	}
}
