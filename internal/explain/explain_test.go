package explain

import (
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
)

const logText = `
   1.0 node-1 {"@level":"info","@message":"lease taken","@module":"railentry.lease","@timestamp":"2026-01-01T00:00:01.000Z","key":"order-leases/z"}
   2.0 node-1 {"@level":"info","@message":"adapter ordered","@module":"railentry.placer","@timestamp":"2026-01-01T00:00:02.000Z","adapter":"a1","engine":"e1"}
   2.1 node-1 {"@level":"info","@message":"adapter ordered","@module":"railentry.placer","@timestamp":"2026-01-01T00:00:02.100Z","adapter":"a9","engine":"e9"}
not json
{"@message":"target gone","@module":"railentry.gateway","@timestamp":"2026-01-01T00:00:03.000Z","target":"e1"}
{"@message":"call ended","@module":"railentry.relay","@timestamp":"2026-01-01T00:00:03.100Z","id":"r1","adapter":"a1","took-ms":1100,"status":200,"kind":"answer-truncated","outcome":"may-have-run","error":"unexpected EOF","trail":["e1@0 wait=260 took=800 answer-truncated/may-have-run"]}
{"@message":"call ended","@module":"railentry.relay","@timestamp":"2026-01-01T00:00:03.200Z","id":"r2","status":200}
`

func TestRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(logText))
	if err != nil || len(lines) != 6 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	cases := map[string]struct {
		id    string
		cause string
		lines []string
	}{
		"broken stream": {"r1", "broke off (answer-truncated, may-have-run)", []string{"lease taken", "adapter ordered", "target gone", "call ended"}},
		"answered":      {"r2", "answered with status 200", []string{"lease taken", "call ended"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			report, err := Request(lines, c.id)
			if err != nil || !strings.Contains(report.Cause, c.cause) {
				t.Fatalf("cause %q, %v", report.Cause, err)
			}
			if len(report.Lines) != len(c.lines) {
				t.Fatalf("lines %v", report.Lines)
			}
			for i, l := range report.Lines {
				if l.message != c.lines[i] {
					t.Errorf("line %d is %q, want %q", i, l.message, c.lines[i])
				}
			}
		})
	}
	if _, err := Request(lines, "none"); bamboorail.KindOf(err) != bamboorail.KindNotFound {
		t.Errorf("error %v", err)
	}
}

// TestLateGapIsNamed guards against streams that were late by a gap and are explained as
// answered.
func TestLateGapIsNamed(t *testing.T) {
	const late = `late: 512 ms without an event of target e3 after 17 events, where 400 ms are permitted`
	cases := map[string]struct {
		fields string
		late   bool
	}{
		"longer than permitted": {`"longest-gap-ms":512,"gap-after":17,"gap-target":"e3","max-gap-ms":400`, true},
		"as long as permitted":  {`"longest-gap-ms":400,"gap-after":17,"gap-target":"e3","max-gap-ms":400`, false},
		"no limit":              {`"longest-gap-ms":512,"gap-after":17,"gap-target":"e3"`, false},
		"one event":             {`"max-gap-ms":400`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(`{"@message":"call ended","@timestamp":"2026-01-01T00:00:03.200Z","id":"r","status":200,` + c.fields + "}\n"))
			if err != nil {
				t.Fatal(err)
			}
			report, err := Request(lines, "r")
			if err != nil || strings.Contains(report.Cause, late) != c.late || strings.Contains(report.Cause, "late") != c.late {
				t.Errorf("cause %q, %v", report.Cause, err)
			}
		})
	}
}
