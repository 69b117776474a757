package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/pkg/record"
)

// View is an immutable, consistent snapshot of one revision of the configuration.
type View struct {
	revision uint64
	shards   map[int]parsedShard
	callers  map[string]record.Caller // by token digest
	targets  []record.Target          // sorted by name
	routes   *route.Table
}

type parsedShard struct {
	name    string
	records map[record.Key]record.Record
}

func emptyView() *View { return newView(0, map[int]parsedShard{}) }

func parseShard(raw shard, name string) (parsedShard, []error) {
	p := parsedShard{name: name, records: make(map[record.Key]record.Record, len(raw))}
	var errs []error
	for _, s := range raw {
		r, err := record.ParseStored(s.Record, s.Revision)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if err := r.Validate(); err != nil {
			errs = append(errs, err)
		}
		p.records[r.Key()] = r
	}
	return p, errs
}

func newView(revision uint64, shards map[int]parsedShard) *View {
	v := &View{revision: revision, shards: shards, callers: map[string]record.Caller{}}
	var routes []bamboorail.RouteSpec
	for _, s := range shards {
		for k, r := range s.records {
			v.index(k, r)
			if t, err := r.Route(); err == nil {
				routes = append(routes, t.Spec())
			}
		}
	}
	// Of two routes that match the same requests, the first by name wins on
	// every instance.
	slices.SortFunc(routes, func(a, b bamboorail.RouteSpec) int { return strings.Compare(a.Name, b.Name) })
	v.routes = route.NewTable(bamboorail.Configuration{Version: revision, Routes: routes})
	slices.SortFunc(v.targets, func(a, b record.Target) int { return strings.Compare(a.Name(), b.Name()) })
	return v
}

func (v *View) index(k record.Key, r record.Record) {
	switch k.Kind {
	case record.KindCaller:
		if c, err := r.Caller(); err == nil {
			v.callers[c.TokenSHA256()] = c
		}
	case record.KindTarget:
		if t, err := r.Target(); err == nil {
			v.targets = append(v.targets, t)
		}
	}
}

// Revision returns the revision of the view.
func (v *View) Revision() uint64 { return v.revision }

// Record returns the record with the given key.
func (v *View) Record(k record.Key) (record.Record, bool) {
	r, ok := v.shards[shardOf(k)].records[k]
	return r, ok
}

// Adapter returns the adapter of the given name. A record that cannot be decoded
// counts as absent.
func (v *View) Adapter(name string) (record.Adapter, bool) {
	r, ok := v.Record(record.Key{Kind: record.KindAdapter, Name: name})
	if !ok {
		return record.Adapter{}, false
	}
	a, err := r.Adapter()
	return a, err == nil
}

// Target returns the target of the given name.
func (v *View) Target(name string) (record.Target, bool) {
	i, ok := slices.BinarySearchFunc(v.targets, name, func(t record.Target, n string) int { return strings.Compare(t.Name(), n) })
	if !ok {
		return record.Target{}, false
	}
	return v.targets[i], true
}

// Targets returns the targets sorted by name.
func (v *View) Targets() []record.Target { return v.targets }

// Route returns the route that matches a request's host and path.
func (v *View) Route(host, path string) (bamboorail.RouteSpec, bool) {
	return v.routes.Match(host, path)
}

// CallerByToken returns the caller with the given token.
func (v *View) CallerByToken(token string) (record.Caller, bool) {
	c, ok := v.callers[record.HashToken(token)]
	return c, ok && c.HasToken(token)
}

// Records returns the records of a kind sorted by name.
func (v *View) Records(kind record.Kind) []record.Record {
	var records []record.Record
	for _, s := range v.shards {
		for k, r := range s.records {
			if k.Kind == kind {
				records = append(records, r)
			}
		}
	}
	slices.SortFunc(records, func(a, b record.Record) int { return strings.Compare(a.Key().Name, b.Key().Name) })
	return records
}

type snapshot struct {
	Revision uint64         `json:"revision"`
	Shards   map[int]shard  `json:"shards"`
	Names    map[int]string `json:"names"`
}

// Snapshot encodes the view for a peer.
func (v *View) Snapshot() ([]byte, error) {
	s := snapshot{Revision: v.revision, Shards: map[int]shard{}, Names: map[int]string{}}
	for n, p := range v.shards {
		raw := make(shard, len(p.records))
		for k, r := range p.records {
			raw[k.String()] = storedRecord{Revision: r.Revision(), Record: r.Raw()}
		}
		s.Shards[n] = raw
		s.Names[n] = p.name
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fail("encode-snapshot", bamboorail.KindInternal, err)
	}
	return data, nil
}

func decodeSnapshot(data []byte) (*View, []error, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, nil, fail("decode-snapshot", bamboorail.KindInvalidRecord, err)
	}
	shards := map[int]parsedShard{}
	var errs []error
	for _, n := range slices.Sorted(maps.Keys(s.Shards)) {
		p, shardErrs := parseShard(s.Shards[n], s.Names[n])
		shards[n] = p
		errs = append(errs, shardErrs...)
	}
	return newView(s.Revision, shards), errs, nil
}
