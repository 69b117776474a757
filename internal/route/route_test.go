package route

import (
	"fmt"
	"testing"

	"bamboorail.example/bamboorail"
)

func table() *Table {
	return NewTable(bamboorail.Configuration{Version: 3, Routes: []bamboorail.RouteSpec{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}})
}

func TestMatch(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":         {"a.example", "/x/y/z", "long"},
		"shorter prefix":         {"a.example", "/x/z", "short"},
		"prefix ends in a slash": {"a.example", "/x", "root"},
		"host with a port":       {"a.example:80", "/x/y/", "long"},
		"host in other case":     {"b.EXAMPLE", "/x/", "other"},
		"no prefix of the host":  {"b.example", "/y/", ""},
		"unknown host":           {"c.example", "/x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := table().Match(c.host, c.path)
			if got.Name != c.want || ok != (c.want != "") {
				t.Errorf("route %q, %t; want %q", got.Name, ok, c.want)
			}
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	spec := bamboorail.RouteSpec{Shares: []bamboorail.ServiceShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[PickService(spec, float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("service counts %v", counts)
	}
}

func ExampleTable_Match() {
	t := NewTable(bamboorail.Configuration{Routes: []bamboorail.RouteSpec{{Name: "pages", Host: "archive.example", Prefix: "/page/"}}})
	r, ok := t.Match("archive.example", "/page/12")
	fmt.Println(r.Name, ok)
	// Output: pages true
}
