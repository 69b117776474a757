package record_test

import (
	"fmt"
	"strings"
	"testing"

	"bamboorail.example/bamboorail/pkg/record"
)

func ExampleParse() {
	r, err := record.Parse([]byte(`{"schema-version": 1, "kind": "adapter", "name": "suhrn",
		"base-model": "zaklad", "versions": [{"name": "v1"}, {"name": "v0", "state": "retired"}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	a, err := r.Adapter()
	_, active := a.Version("v0")
	fmt.Println(r.Key(), a.BaseModel(), active, err)
	// Output: adapter/suhrn zaklad false <nil>
}

func ExampleRecord_Route() {
	r, err := record.Parse([]byte(`{"schema-version": 3, "kind": "route", "name": "kapitoly",
		"host": "citaj.example", "path-prefix": "/kapitoly/", "repeat": "always", "timeout": "5s",
		"services": [{"service": "citaren", "weight": 9}, {"service": "citaren-nova"}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	t, err := r.Route()
	s := t.Spec()
	fmt.Println(t.Name(), s.Timeout, s.MaxAttempts, s.Shares, err)
	// Output: kapitoly 5s 6 [{citaren 9} {citaren-nova 1}] <nil>
}

func TestInvalidRecordErrors(t *testing.T) {
	for name, c := range map[string]struct{ raw, want string }{
		"not JSON":                   {`{`, "not a JSON object"},
		"nested 100 levels":          {`{"schema-version":1,"kind":"adapter","name":"a","base-model":"z","x":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + `}`, "levels"},
		"nested 15,000 levels":       {strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000), "not a JSON object"},
		"no schema":                  {`{"kind":"adapter","name":"a"}`, "schema-version"},
		"unknown kind":               {`{"schema-version":1,"kind":"x","name":"a"}`, `kind "x"`},
		"bad name":                   {`{"schema-version":1,"kind":"adapter","name":"a b"}`, `name "a b"`},
		"no base model":              {`{"schema-version":1,"kind":"adapter","name":"a"}`, `"base-model"`},
		"repeated version":           {`{"schema-version":1,"kind":"adapter","name":"a","base-model":"z","versions":[{"name":"v"},{"name":"v"}]}`, `version "v"`},
		"no url":                     {`{"schema-version":1,"kind":"target","name":"t","role":"engine","zone":"z"}`, "url"},
		"unknown dialect":            {`{"schema-version":1,"kind":"target","name":"t","role":"engine","zone":"z","url":"http://x","dialect":"y"}`, `dialect "y"`},
		"no slots":                   {`{"schema-version":1,"kind":"target","name":"t","role":"engine","zone":"z","url":"http://x","dialect":"openai"}`, "slots"},
		"unknown role":               {`{"schema-version":1,"kind":"target","name":"t","role":"y","zone":"z","url":"http://x"}`, `role "y"`},
		"no digest":                  {`{"schema-version":1,"kind":"caller","name":"c"}`, "token-sha256"},
		"route of schema 2":          {`{"schema-version":2,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"}],"repeat":"never"}`, "schema-version"},
		"route without host":         {`{"schema-version":3,"kind":"route","name":"r","path-prefix":"/","services":[{"service":"s"}],"repeat":"never"}`, "host"},
		"route of an own path":       {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/v1/models","services":[{"service":"s"}],"repeat":"never"}`, "reserved for the caller API"},
		"route without services":     {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","repeat":"never"}`, `"services"`},
		"route of weight 0":          {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s","weight":0}],"repeat":"never"}`, "weight above 0"},
		"route of negative weight":   {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s","weight":-1}],"repeat":"never"}`, "negative"},
		"route with a service twice": {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"},{"service":"s"}],"repeat":"never"}`, "repeated"},
		"route without repeat":       {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"}]}`, "repeat"},
		"route timeout as number":    {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"}],"repeat":"never","timeout":5}`, "duration"},
		"route timeout too long":     {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"}],"repeat":"never","timeout":"11m"}`, "timeout"},
		"route priority":             {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"}],"repeat":"never","priority":10}`, "priority 10"},
		"route attempts":             {`{"schema-version":3,"kind":"route","name":"r","host":"h","path-prefix":"/","services":[{"service":"s"}],"repeat":"never","max-attempts":7}`, "max-attempts"},
		"unknown feature":            {`{"schema-version":1,"kind":"adapter","name":"a","base-model":"z","requires":["mixing"]}`, `"mixing"`},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := record.Parse([]byte(c.raw))
			if err == nil {
				err = r.Validate()
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

// TestOldWritersKeepNewerFields replaces a record of schema 2 from a writer of
// schema 1. Fields unknown to schema 1 must be preserved, and known fields that the
// writer omitted must be removed.
func TestOldWritersKeepNewerFields(t *testing.T) {
	parse := func(raw string) record.Record {
		r, err := record.Parse([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	prev := parse(`{"schema-version":2,"kind":"adapter","name":"a","base-model":"z","pools":["p"],"future":{"x":1},"targets":["t"]}`)
	next := parse(`{"schema-version":1,"kind":"adapter","name":"a","base-model":"y"}`)
	merged, err := record.Merge(prev, next)
	if err != nil {
		t.Fatal(err)
	}
	raw := string(merged.Raw())
	for _, part := range []string{`"pools":["p"]`, `"future":{"x":1}`, `"schema-version":2`, `"base-model":"y"`} {
		if !strings.Contains(raw, part) {
			t.Errorf("%s lacks %s", raw, part)
		}
	}
	if strings.Contains(raw, "targets") {
		t.Errorf("%s contains a field of schema 1 that the writer removed", raw)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"schema-version":1,"kind":"adapter","name":"a","base-model":"z","versions":[{"name":"v1"}]}`))
	f.Add([]byte(`{"schema-version":2,"kind":"target","name":"t","role":"engine","zone":"z","url":"http://x","dialect":"openai","slots":1,"max-batch":1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := record.Parse(raw)
		if err != nil {
			return
		}
		again, err := record.Parse(r.Raw())
		if err != nil || again.Key() != r.Key() || (again.Validate() == nil) != (r.Validate() == nil) {
			t.Errorf("%q changes when parsed again: %v", raw, err)
		}
	})
}

func TestBracketsInTextAreNoLevels(t *testing.T) {
	text := strings.Repeat(`[{\"`, 200) + `\\`
	if _, err := record.Parse([]byte(`{"schema-version":1,"kind":"adapter","name":"a","base-model":"z","x":"` + text + `","y":[]}`)); err != nil {
		t.Error(err)
	}
}
