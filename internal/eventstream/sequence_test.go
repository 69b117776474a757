package eventstream

import (
	"errors"
	"testing"
)

// TestSequenceOfContinuation checks which events continue a stream.
func TestSequenceOfContinuation(t *testing.T) {
	const oneTwoThree = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	cases := map[string]struct {
		first, second string
		count         int
		fits          bool
	}{
		"next event":               {oneTwoThree, "id: 4\ndata: d\n\nid: 5\ndata: e\n\n", 2, true},
		"carriage returns":         {oneTwoThree, "id: 4\rdata: d\r\rid: 5\r\r", 2, true},
		"both line ends":           {oneTwoThree, "id: 4\r\ndata: d\r\n\r\n", 1, true},
		"no space, id at the end":  {oneTwoThree, "data: d\nid:4\n\n", 1, true},
		"other fields first":       {oneTwoThree, "versions: 3\nid: 4\ndata: d\n\n", 1, true},
		"comment, retry":           {oneTwoThree, ": ping\n\nretry: 3\n\n", 0, true},
		"first event":              {oneTwoThree, "id: 1\ndata: a\n\n", 0, false},
		"last event":               {oneTwoThree, "id: 3\ndata: c\n\n", 0, false},
		"gap":                      {oneTwoThree, "id: 6\ndata: f\n\n", 0, false},
		"later gap":                {oneTwoThree, "id: 4\n\nid: 6\n\n", 2, true},
		"step of three":            {"id: 3\n\nid: 6\n\nid: 9\n\n", "id: 12\n\n", 1, true},
		"smaller step":             {"id: 3\n\nid: 6\n\nid: 9\n\n", "id: 10\n\n", 1, true},
		"gap of another step":      {"id: 3\n\nid: 6\n\nid: 9\n\n", "id: 15\n\n", 0, false},
		"uneven steps":             {"id: 1\n\nid: 2\n\nid: 5\n\n", "id: 9\n\n", 1, true},
		"one step":                 {"id: 1\n\nid: 2\n\n", "id: 6\n\n", 1, true},
		"ids fall":                 {oneTwoThree, "id: 4\n\nid: 2\n\n", 0, false},
		"no id":                    {oneTwoThree, "data: d\n\n", 0, false},
		"empty id":                 {oneTwoThree, "id\ndata: d\n\n", 0, false},
		"no number":                {oneTwoThree, "id: four\n\n", 0, false},
		"number too large":         {oneTwoThree, "id: 9223372036854775808\n\n", 0, false},
		"sign":                     {oneTwoThree, "id: +4\n\n", 0, false},
		"no ids before either":     {"data: x\n\nid: 1\n\n", "data: y\n\nid: 2\n\n", 2, true},
		"id falls, none before":    {"data: x\n\nid: 2\n\n", "data: y\n\nid: 1\n\n", 0, false},
		"type error":               {oneTwoThree, "id: 4\nevent: error\ndata: d\n\n", 0, false},
		"head of a response":       {oneTwoThree, "HTTP/1.1 500 No\r\nA: b\r\n\r\n", 0, false},
		"head in an event":         {oneTwoThree, "id: 4\ndata: d\nHTTP/1.1 500 No\r\nA: b\r\n\r\n", 0, false},
		"head in data":             {oneTwoThree, "id: 4\ndata: HTTP/1.1 500 No\n\n", 1, true},
		"line without a field end": {oneTwoThree, "sorry\n\n", 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Sequence{}.Add([]byte(c.first))
			if !s.Comparable() {
				t.Fatal("the ids are not comparable")
			}
			after, count, err := s.Continue([]byte(c.second), true)
			if count != c.count || errors.Is(err, ErrNotContinued) == c.fits || (err == nil) != c.fits {
				t.Errorf("%d events, error %v", count, err)
			}
			if err != nil && after != s {
				t.Errorf("the sequence changed to %+v", after)
			}
		})
	}
}

// TestComparableSequences checks for which streams a continuation can be checked.
func TestComparableSequences(t *testing.T) {
	cases := map[string]struct {
		s        Sequence
		expected bool
	}{
		"start":          {Sequence{}, false},
		"numbers":        {Sequence{}.Add([]byte("id: 0\n\nid: 7\n\n")), true},
		"no ids":         {Sequence{}.Add([]byte("data: a\n\n")), false},
		"names":          {Sequence{}.Add([]byte("id: a\n\n")), false},
		"name later":     {Sequence{}.Add([]byte("id: 1\n\nid: a\n\n")), false},
		"ids that fall":  {Sequence{}.Add([]byte("id: 2\n\nid: 1\n\n")), false},
		"same id":        {Sequence{}.Add([]byte("id: 2\n\nid: 2\n\n")), false},
		"after a number": {SequenceAfter("3"), true},
		"after a name":   {SequenceAfter("a"), false},
		"after nothing":  {SequenceAfter(""), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.s.Comparable(); got != c.expected {
				t.Errorf("comparable %t, expected %t", got, c.expected)
			}
		})
	}
}
