package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	// HeadKey is the key of the head. A conditional update of the head commits a
	// change.
	HeadKey = "config/head"

	shardPrefix = "config/shard/"
	// shardCount distributes 85,000 records so that a shard stays far below
	// MaxValueBytes and a change transfers only tens of kilobytes.
	shardCount = 256
	// maxAppliedChanges is the maximum number of change ids in the head.
	maxAppliedChanges = 128
	commitAttempts    = 8
)

// Head holds the current revision and the object name of every shard. It is the
// only mutable object of the configuration.
type Head struct {
	Revision uint64 `json:"revision"`
	// Shards maps shard numbers to the names of their current objects.
	Shards map[int]string `json:"shards"`
	// Changes lists recent change ids with their revisions, oldest first.
	Changes []AppliedChange `json:"changes"`
}

// AppliedChange records a committed change.
type AppliedChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Change is an operator's change to the configuration.
type Change struct {
	// ID identifies the change and makes its commit idempotent.
	ID string `json:"id"`
	// Base is the revision on which the change is based.
	Base uint64 `json:"base-revision"`
	// Apply holds the records to create or replace, Delete the keys to delete.
	Apply  []json.RawMessage `json:"apply,omitempty"`
	Delete []record.Key      `json:"delete,omitempty"`
}

type storedRecord struct {
	Revision uint64          `json:"revision"`
	Record   json.RawMessage `json:"record"`
}

// shard maps the text form of a record key to the stored record.
type shard map[string]storedRecord

func shardOf(k record.Key) int { return int(xxhash.Sum64String(k.String()) % shardCount) }

func shardKey(n int, name string) string {
	return shardPrefix + strconv.Itoa(n) + "/" + name
}

// shardName returns a name unique to the change, so that writers racing for the
// same revision never overwrite each other's shards.
func shardName(revision uint64, changeID string) string {
	return strconv.FormatUint(revision, 10) + "-" + changeID
}

// shardRevision returns the revision for which a shard object was written.
func shardRevision(key string) (uint64, bool) {
	_, name, _ := strings.Cut(strings.TrimPrefix(key, shardPrefix), "/")
	digits, _, _ := strings.Cut(name, "-")
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, err == nil
}

// Writer commits changes to the configuration.
type Writer struct{ store bamboorail.ObjectStore }

// NewWriter returns a writer to the store.
func NewWriter(store bamboorail.ObjectStore) *Writer { return &Writer{store: store} }

// Commit applies a change atomically and returns the revision at which it took
// effect. Committing the same change id again returns the same revision. If a
// record changed after the base revision, the error has KindConflict and names the
// record. After an error of kind unavailable the outcome is unknown, and the change
// should be committed again.
func (w *Writer) Commit(ctx context.Context, c Change) (uint64, error) {
	const op = "commit-change"
	if !bamboorail.ValidName(c.ID) {
		return 0, fail(op, bamboorail.KindBadRequest, fmt.Errorf("change id %q is not a valid name", c.ID))
	}
	records, err := parseAll(c.Apply)
	if err != nil {
		return 0, err
	}
	for range commitAttempts {
		revision, err := w.attempt(ctx, c, records)
		if err == nil || bamboorail.KindOf(err) != bamboorail.KindConflict || errors.As(err, new(*recordConflict)) {
			return revision, err
		}
	}
	return 0, fail(op, bamboorail.KindConflict, fmt.Errorf("gave up after %d conflicting updates of the head", commitAttempts))
}

func parseAll(raw []json.RawMessage) ([]record.Record, error) {
	records := make([]record.Record, 0, len(raw))
	for _, r := range raw {
		rec, err := record.Parse(r)
		if err != nil {
			return nil, err
		}
		if err := rec.Validate(); err != nil {
			return nil, err
		}
		records = append(records, rec)
	}
	return records, nil
}

// recordConflict is the error for a record that changed after the base revision.
type recordConflict struct {
	key     record.Key
	base    uint64
	current uint64
	raw     json.RawMessage
}

func (r *recordConflict) Error() string {
	return fmt.Sprintf("record %s changed at revision %d, after revision %d; it is now %s", r.key, r.current, r.base, r.raw)
}

func (w *Writer) attempt(ctx context.Context, c Change, records []record.Record) (uint64, error) {
	head, version, err := ReadHead(ctx, w.store)
	if err != nil {
		return 0, err
	}
	if i := slices.IndexFunc(head.Changes, func(a AppliedChange) bool { return a.ID == c.ID }); i >= 0 {
		return head.Changes[i].Revision, nil
	}
	if c.Base > head.Revision {
		return 0, fail("commit-change", bamboorail.KindBadRequest,
			fmt.Errorf("base revision %d is newer than the current revision %d", c.Base, head.Revision))
	}
	next := head.Revision + 1
	shards, err := w.editShards(ctx, head, c, records, next)
	if err != nil {
		return 0, err
	}
	if err := w.writeShards(ctx, &head, shards, shardName(next, c.ID)); err != nil {
		return 0, err
	}
	head.Revision = next
	head.Changes = append(head.Changes, AppliedChange{ID: c.ID, Revision: next})
	head.Changes = head.Changes[max(0, len(head.Changes)-maxAppliedChanges):]
	if err := w.putHead(ctx, head, version, c.ID); err != nil {
		return 0, err
	}
	for n := range shards {
		w.deleteUnreferenced(ctx, head, n)
	}
	return next, nil
}

// editShards reads the affected shards and returns them with the change applied.
func (w *Writer) editShards(ctx context.Context, head Head, c Change, records []record.Record, next uint64) (map[int]shard, error) {
	shards := map[int]shard{}
	load := func(k record.Key) (shard, error) {
		n := shardOf(k)
		if s, ok := shards[n]; ok {
			return s, nil
		}
		s, err := readShard(ctx, w.store, n, head.Shards[n])
		if err != nil {
			return nil, err
		}
		shards[n] = s
		return s, nil
	}
	for _, r := range records {
		s, err := load(r.Key())
		if err != nil {
			return nil, err
		}
		if err := applyRecord(s, r, c.Base, next); err != nil {
			return nil, err
		}
	}
	for _, k := range c.Delete {
		s, err := load(k)
		if err != nil {
			return nil, err
		}
		if err := checkBase(s, k, c.Base); err != nil {
			return nil, err
		}
		if _, ok := s[k.String()]; !ok {
			return nil, fail("commit-change", bamboorail.KindNotFound, fmt.Errorf("record %s does not exist", k))
		}
		delete(s, k.String())
	}
	return shards, nil
}

func checkBase(s shard, k record.Key, base uint64) error {
	if old, ok := s[k.String()]; ok && old.Revision > base {
		return fail("commit-change", bamboorail.KindConflict,
			&recordConflict{key: k, base: base, current: old.Revision, raw: old.Record})
	}
	return nil
}

func applyRecord(s shard, r record.Record, base, next uint64) error {
	if err := checkBase(s, r.Key(), base); err != nil {
		return err
	}
	if old, ok := s[r.Key().String()]; ok {
		prev, err := record.ParseStored(old.Record, old.Revision)
		if err != nil {
			return err
		}
		if r, err = record.Merge(prev, r); err != nil {
			return err
		}
	}
	s[r.Key().String()] = storedRecord{Revision: next, Record: r.Raw()}
	return nil
}

// writeShards stores the edited shards under a name unique to the change.
func (w *Writer) writeShards(ctx context.Context, head *Head, shards map[int]shard, name string) error {
	for _, n := range slices.Sorted(maps.Keys(shards)) {
		value, err := json.Marshal(shards[n])
		if err != nil {
			return fail("write-shard", bamboorail.KindInternal, err)
		}
		_, err = w.store.Put(ctx, shardKey(n, name), value, 0)
		// A conflict means that an earlier attempt of this change wrote the
		// same shard, based on the same revision.
		if err != nil && bamboorail.KindOf(err) != bamboorail.KindConflict {
			return err
		}
		head.Shards[n] = name
	}
	return nil
}

// putHead commits the change by replacing the head. After an error it reads the
// head back, because the write may have taken effect although its response was
// lost.
func (w *Writer) putHead(ctx context.Context, head Head, version bamboorail.StoreVersion, id string) error {
	value, err := json.Marshal(head)
	if err != nil {
		return fail("commit-change", bamboorail.KindInternal, err)
	}
	_, err = w.store.Put(ctx, HeadKey, value, version)
	if err == nil {
		return nil
	}
	current, _, readErr := ReadHead(ctx, w.store)
	if readErr != nil {
		return err
	}
	if slices.ContainsFunc(current.Changes, func(a AppliedChange) bool { return a.ID == id }) {
		return nil
	}
	return err
}

// deleteUnreferenced deletes the objects of a shard that no head can refer to any
// more: those of a committed revision that the head does not refer to. After a
// failure they remain until the next change of the shard.
func (w *Writer) deleteUnreferenced(ctx context.Context, head Head, n int) {
	objects, _, err := w.store.List(ctx, shardKey(n, ""))
	if err != nil {
		return
	}
	for _, o := range objects {
		revision, ok := shardRevision(o.Key)
		if ok && revision <= head.Revision && o.Key != shardKey(n, head.Shards[n]) {
			_ = w.store.Delete(ctx, o.Key, o.Version)
		}
	}
}

// ReadHead returns the head of the configuration and its object version.
func ReadHead(ctx context.Context, store bamboorail.ObjectStore) (Head, bamboorail.StoreVersion, error) {
	o, err := store.Get(ctx, HeadKey)
	if err != nil {
		if bamboorail.KindOf(err) == bamboorail.KindNotFound {
			return Head{Shards: map[int]string{}}, 0, nil
		}
		return Head{}, 0, err
	}
	head, err := parseHead(o.Value)
	return head, o.Version, err
}

func parseHead(value []byte) (Head, error) {
	head := Head{}
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, fail("read-head", bamboorail.KindInvalidRecord, err)
	}
	if head.Shards == nil {
		head.Shards = map[int]string{}
	}
	return head, nil
}

func readShard(ctx context.Context, store bamboorail.ObjectStore, n int, name string) (shard, error) {
	if name == "" {
		return shard{}, nil
	}
	o, err := store.Get(ctx, shardKey(n, name))
	if err != nil {
		return nil, err
	}
	s := shard{}
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return nil, fail("read-shard", bamboorail.KindInvalidRecord, err)
	}
	return s, nil
}

// Reader maintains the current configuration of a process.
type Reader struct {
	store    bamboorail.ObjectStore
	current  *View
	onChange func(*View, []error)
}

// NewReader returns a reader that calls notify with every new view and with
// the errors of the records that it had to omit.
func NewReader(store bamboorail.ObjectStore, notify func(*View, []error)) *Reader {
	return &Reader{store: store, current: emptyView(), onChange: notify}
}

// Current returns the current view.
func (r *Reader) Current() *View { return r.current }

// Refresh reads the head and applies it if it is newer than the current view.
func (r *Reader) Refresh(ctx context.Context) error {
	head, _, err := ReadHead(ctx, r.store)
	if err != nil {
		return err
	}
	return r.applyHead(ctx, head)
}

// ApplyEvent applies a head from a watch event if it is newer than the current
// view.
func (r *Reader) ApplyEvent(ctx context.Context, o bamboorail.Object) error {
	if o.Key != HeadKey || o.Deleted {
		return nil
	}
	head, err := parseHead(o.Value)
	if err != nil {
		return err
	}
	return r.applyHead(ctx, head)
}

// applyHead reads the changed shards and switches to the new view atomically.
func (r *Reader) applyHead(ctx context.Context, head Head) error {
	if head.Revision <= r.current.revision {
		return nil
	}
	shards := maps.Clone(r.current.shards)
	var errs []error
	for n, name := range head.Shards {
		if s, ok := shards[n]; ok && s.name == name {
			continue
		}
		raw, err := readShard(ctx, r.store, n, name)
		if err != nil {
			return err
		}
		parsed, shardErrs := parseShard(raw, name)
		shards[n] = parsed
		errs = append(errs, shardErrs...)
	}
	r.install(newView(head.Revision, shards), errs)
	return nil
}

// ApplySnapshot applies a snapshot from a peer if it is newer than the current
// view.
func (r *Reader) ApplySnapshot(data []byte) error {
	view, errs, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if view.revision > r.current.revision {
		r.install(view, errs)
	}
	return nil
}

func (r *Reader) install(v *View, errs []error) {
	r.current = v
	r.onChange(v, errs)
}

// The watch reports changes of the configuration immediately; polling detects
// changes whose event was lost.
const (
	WatchTimeout = 30 * time.Second
	PollInterval = 2 * time.Second
)
