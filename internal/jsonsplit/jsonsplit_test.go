package jsonsplit

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// deep is a value that is nested far beyond the limit of encoding/json.
var deep = strings.Repeat(`{"a":[`, 1<<20) + strings.Repeat("]}", 1<<20)

func TestArray(t *testing.T) {
	cases := map[string]struct {
		text     string
		expected []string
		ok       bool
	}{
		"empty":                   {" [ ] ", nil, true},
		"values":                  {"[1 ,\t\"a\", {\"b\":[2,3]},null\n]", []string{"1", `"a"`, `{"b":[2,3]}`, "null"}, true},
		"brackets in text":        {`["]}", "\"]", "\\", 1]`, []string{`"]}"`, `"\"]"`, `"\\"`, "1"}, true},
		"values that are no JSON": {"[Infinity,{'a':NaN},\"\x01\"]", []string{"Infinity", "{'a':NaN}", "\"\x01\""}, true},
		"deep":                    {"[" + deep + ",1]", []string{deep, "1"}, true},
		"object":                  {`{"a":1}`, nil, false},
		"cut in a text":           {`["a`, nil, false},
		"cut in an escape":        {`["a\`, nil, false},
		"cut in a value":          {`[[1]`, nil, false},
		"cut after comma":         {`[1,`, nil, false},
		"comma at the end":        {`[1,]`, nil, false},
		"no comma":                {`[1 2]`, nil, false},
		"other bracket":           {`[1}`, nil, false},
		"brackets crossed":        {`[{"a":[}, {"b":1}, {"c":]}]`, nil, false},
		"more documents":          {`[1][2]`, nil, false},
		"nothing":                 {"", nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Array([]byte(c.text))
			texts := make([]string, 0, len(got))
			for _, e := range got {
				texts = append(texts, string(e))
			}
			if (err == nil) != c.ok || c.ok && !slices.Equal(texts, c.expected) {
				t.Errorf("%d elements, %v", len(got), err)
			}
		})
	}
}

func TestObject(t *testing.T) {
	cases := map[string]struct {
		text     string
		expected map[string]string
	}{
		"empty":             {"{}", map[string]string{}},
		"members":           {`{"a": 1, "b\u0063" : {"d":"}"}}`, map[string]string{"a": "1", "bc": `{"d":"}"}`}},
		"name used twice":   {`{"a":1,"a":2}`, map[string]string{"a": "2"}},
		"name that is deep": {`{"a":` + deep + `}`, map[string]string{"a": deep}},
		"no name":           {`{1:2}`, nil},
		"no colon":          {`{"a" 1}`, nil},
		"no value":          {`{"a":}`, nil},
		"array":             {`[1]`, nil},
		"cut after a name":  {`{"a"`, nil},
		"cut after a value": {`{"a":1`, nil},
		"cut in a name":     {`{"a`, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Object([]byte(c.text))
			if (err == nil) != (c.expected != nil) || len(got) != len(c.expected) {
				t.Fatalf("%d members, %v", len(got), err)
			}
			for k, v := range c.expected {
				if string(got[k]) != v {
					t.Errorf("member %s has %d bytes", k, len(got[k]))
				}
			}
		})
	}
}

// FuzzSplit checks that a document that encoding/json accepts has the same elements and
// members here, and that no document makes the functions panic or hang.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`[1,{"a":"\"]"},[]]`))
	f.Add([]byte(`{"a":[{}],"b":null,"a":1e400}`))
	f.Add([]byte("[{'a':[}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, arrayErr := Array(data)
		var list []json.RawMessage
		if json.Unmarshal(data, &list) == nil && list != nil {
			if arrayErr != nil || !slices.EqualFunc(elements, list, func(a []byte, b json.RawMessage) bool { return string(a) == string(b) }) {
				t.Errorf("elements %q, %v, expected %q", elements, arrayErr, list)
			}
		}
		members, objectErr := Object(data)
		var fields map[string]json.RawMessage
		if json.Unmarshal(data, &fields) == nil && fields != nil {
			if objectErr != nil || len(members) != len(fields) {
				t.Errorf("members %q, %v, expected %q", members, objectErr, fields)
			}
			for k, v := range fields {
				if string(members[k]) != string(v) {
					t.Errorf("member %q is %q, expected %q", k, members[k], v)
				}
			}
		}
	})
}
