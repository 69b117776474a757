package advisory

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestRefusalPauses checks that all instances together stay within the refusals that a
// brittle target bears, and that the end of it is learned.
func TestRefusalPauses(t *testing.T) {
	now, id := time.Unix(1000, 0), bamboorail.TargetID{Name: "t"}
	brittle := func(n float64) bamboorail.Advisory { return bamboorail.Advisory{Brittle: true, MaxRefusals: n} }
	cases := map[string]struct {
		answers   []bamboorail.Advisory
		instances int
		brittle   bool
		pause     time.Duration
	}{
		"says nothing":           {answers: []bamboorail.Advisory{{}}, instances: 6},
		"six instances":          {answers: []bamboorail.Advisory{brittle(3)}, instances: 6, brittle: true, pause: 2 * time.Second},
		"one instance":           {answers: []bamboorail.Advisory{brittle(100)}, instances: 1, brittle: true, pause: minRefusalPause},
		"many instances":         {answers: []bamboorail.Advisory{brittle(1)}, instances: 195, brittle: true, pause: maxRefusalPause},
		"bears none":             {answers: []bamboorail.Advisory{brittle(0)}, instances: 2, brittle: true, pause: maxRefusalPause},
		"number changes":         {answers: []bamboorail.Advisory{brittle(1), brittle(6)}, instances: 6, brittle: true, pause: time.Second},
		"not any more":           {answers: []bamboorail.Advisory{brittle(3), {}}, instances: 6},
		"answer without meaning": {answers: []bamboorail.Advisory{brittle(3), {Partial: true}}, instances: 6, brittle: true, pause: 2 * time.Second},
		"size not known":         {answers: []bamboorail.Advisory{brittle(2)}, brittle: true, pause: 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New()
			for _, a := range c.answers {
				r.ObserveLimit(Refusals, id, "s", a, now)
			}
			r.RecordRefusal(id, c.instances, now)
			if got := r.IsBrittle(id, "s"); got != c.brittle {
				t.Errorf("brittle: %t", got)
			}
			if got := r.RefusalPause(id, now); got != c.pause {
				t.Errorf("pause %s, expected %s", got, c.pause)
			}
			if got := r.RefusalPause(id, now.Add(maxRefusalPause)); got != 0 {
				t.Errorf("pause %s after the longest", got)
			}
			r.Expire(func(bamboorail.TargetID) bool { return false }, now.Add(2*retention))
			if n := r.named[Refusals].Load(); n != 0 || len(r.services) != 0 {
				t.Errorf("%d brittle targets of %d services after all were removed", n, len(r.services))
			}
		})
	}
}

// TestUnknownStartsAreLikeTheirService guards against targets that are taken for sound when
// they are back from a fall (incident archive-grown-brittle-targets).
func TestUnknownStartsAreLikeTheirService(t *testing.T) {
	now := time.Unix(1000, 0)
	brittle := bamboorail.Advisory{Brittle: true, MaxRefusals: 5}
	id := func(name string, start int64) bamboorail.TargetID {
		return bamboorail.TargetID{Name: name, StartMillis: start}
	}
	type answer struct {
		id      bamboorail.TargetID
		service string
		says    bamboorail.Advisory
	}
	cases := map[string]struct {
		answers []answer
		brittle bool
	}{
		"nothing known":            {nil, false},
		"earlier start":            {[]answer{{id("a", 1), "s", brittle}}, true},
		"another target":           {[]answer{{id("b", 1), "s", brittle}}, true},
		"another service":          {[]answer{{id("b", 1), "other", brittle}}, false},
		"earlier start recovered":  {[]answer{{id("a", 1), "s", brittle}, {id("a", 1), "s", bamboorail.Advisory{}}}, false},
		"answered that it is not":  {[]answer{{id("b", 1), "s", brittle}, {id("a", 2), "s", bamboorail.Advisory{}}}, false},
		"answer without a meaning": {[]answer{{id("b", 1), "s", brittle}, {id("a", 2), "s", bamboorail.Advisory{Partial: true}}}, true},
		"service not known":        {[]answer{{id("b", 1), "", brittle}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New()
			for n, a := range c.answers {
				r.ObserveLimit(Refusals, a.id, a.service, a.says, now.Add(time.Duration(n)*time.Second))
			}
			if got := r.IsBrittle(id("a", 2), "s"); got != c.brittle {
				t.Errorf("brittle: %t", got)
			}
		})
	}
}
