// Package explain determines the outcome of a request, and the related events,
// from the logs of instances.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

const (
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
	// lookback is how far lookback the start of a request related lines are
	// included. It covers the expiry of a lease and the gap that follows it.
	lookback = 8 * time.Second
)

// Line is a parsed log line.
type Line struct {
	at      time.Time
	message string
	module  string
	fields  map[string]any
}

// At returns the timestamp of the line.
func (l Line) At() time.Time { return l.at }

// String formats the line as time, last part of the module name, message and
// sorted fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-10s %s", l.at.Format("15:04:05.000"), l.module[strings.LastIndex(l.module, ".")+1:], l.message)
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, l.fields[key])
	}
	return b.String()
}

func (l Line) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// Read parses a log. Text before the JSON object of a line is dropped; lines
// without a valid JSON object or timestamp are skipped.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, &Error{bamboorail.Failure{Op: "read-log", Kind: bamboorail.KindBadRequest, Err: err}}
	}
	return lines, nil
}

func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{fields: fields}
	at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", l.text("@timestamp"))
	if err != nil {
		return Line{}, false
	}
	l.at, l.message, l.module = at, l.text("@message"), l.text("@module")
	for _, key := range []string{"@timestamp", "@message", "@module", "@level"} {
		delete(fields, key)
	}
	return l, true
}

// Report describes the outcome of a request.
type Report struct {
	// Cause is a one-sentence summary.
	Cause string
	// Lines are the log lines related to the request, in time order.
	Lines []Line
}

// Request returns the report on the request with the given ID.
func Request(lines []Line, id string) (Report, error) {
	var ended Line
	found := false
	for _, l := range lines {
		if l.message == "call ended" && l.text("id") == id {
			ended, found = l, true
		}
	}
	if !found {
		return Report{}, &Error{bamboorail.Failure{
			Op: "explain", Kind: bamboorail.KindNotFound, Err: fmt.Errorf("no line ends request %q: it was not received, or its instance exited", id),
		}}
	}
	took, _ := ended.fields["took-ms"].(float64)
	from := ended.at.Add(-time.Duration(took)*time.Millisecond - lookback)
	report := Report{Cause: cause(ended)}
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(ended.at.Add(time.Second)) {
			continue
		}
		if related(l, ended, id) {
			report.Lines = append(report.Lines, l)
		}
	}
	slices.SortStableFunc(report.Lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return report, nil
}

// related reports whether a line concerns the request, its targets, its
// adapter, or the lease holders of the zones.
func related(l, ended Line, id string) bool {
	if l.message == "call ended" {
		return l.text("id") == id
	}
	if l.text("id") == id {
		return true
	}
	for _, target := range targets(ended) {
		if l.text("target") == target || l.text("engine") == target {
			return true
		}
	}
	if adapter := ended.text("adapter"); adapter != "" && l.text("adapter") == adapter {
		return true
	}
	switch l.message {
	case "prompt segment blocked", "lease taken", "lease lost", "lease not renewed", "holder does not answer", "store lost", "store regained", "instance leaves":
		return true
	}
	return false
}

// targets returns the names of the targets in the trail of a request.
func targets(ended Line) []string {
	var names []string
	trail, _ := ended.fields["trail"].([]any)
	for _, step := range trail {
		text, _ := step.(string)
		if name, _, ok := strings.Cut(text, "@"); ok {
			names = append(names, name)
		} else if name, ok := strings.CutSuffix(text, " left"); ok {
			names = append(names, name)
		}
	}
	return names
}

// cause summarizes the outcome of a request in one sentence.
func cause(ended Line) string {
	kind, outcome := ended.text("kind"), ended.text("outcome")
	if kind == "" {
		return fmt.Sprintf("answered with status %v by the last target of the trail", ended.fields["status"]) + lateGap(ended)
	}
	meaning := map[bamboorail.Kind]string{
		bamboorail.KindOverloaded:       "no target had free capacity within the wait limit",
		bamboorail.KindNoTarget:         "no target or no holder of its zone was known",
		bamboorail.KindPromptBlocked:    "a part of the prompt crashed engines and is blocked",
		bamboorail.KindRequestBlocked:   "the same request crashed targets before and is blocked",
		bamboorail.KindUnavailable:      "the target or its holder could not be reached, or closed the connection",
		bamboorail.KindTruncated:        "the target's answer broke off",
		bamboorail.KindMismatch:         "the response did not belong to this request",
		bamboorail.KindDeadlineExceeded: "the deadline of the caller or of the route had passed",
		bamboorail.KindCancelled:        "the caller disconnected",
		bamboorail.KindNotFound:         "no route of the configuration matches",
		bamboorail.KindTargetFailed:     "the target failed",
	}[bamboorail.Kind(kind)]
	if meaning == "" {
		meaning = kind
	}
	return fmt.Sprintf("%s (%s, %s): %s", meaning, kind, outcome, ended.text("error"))
}

// lateGap returns the addition to the cause for a stream that paused for longer than its route
// permits, or an empty text.
func lateGap(ended Line) string {
	longest, _ := ended.fields["longest-gap-ms"].(float64)
	permitted, limited := ended.fields["max-gap-ms"].(float64)
	if !limited || longest <= permitted {
		return ""
	}
	return fmt.Sprintf("; late: %v ms without an event of target %s after %v events, where %v ms are permitted",
		longest, ended.text("gap-target"), ended.fields["gap-after"], permitted)
}
