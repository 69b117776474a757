// Package settings reads the INI files of the programs. All keys are checked when
// a file is read, and all errors are reported together with their lines.
package settings

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"bamboorail.example/bamboorail"
)

// Error lists the errors in a file. It is the error type of the package.
type Error struct {
	bamboorail.Failure
	messages []string
}

// Error returns the messages, one per line.
func (e *Error) Error() string { return strings.Join(e.messages, "\n") }

// Messages returns the messages in the form file:line: text.
func (e *Error) Messages() []string { return e.messages }

// File is a parsed settings file. Its methods read single keys and collect errors
// for Check.
type File struct {
	path     string
	ini      *ini.File
	lines    map[string]int // by section.key
	read     map[string]bool
	messages []string
}

// Open reads and parses a file.
func Open(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fileError(path, err)
	}
	return Parse(path, data)
}

// Parse parses the content of a file.
func Parse(path string, data []byte) (*File, error) {
	options := ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false, IgnoreInlineComment: true}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, fileError(path, err)
	}
	return &File{path: path, ini: parsed, lines: lineNumbers(data), read: map[string]bool{}}, nil
}

func fileError(path string, err error) error {
	return &Error{
		Failure:  bamboorail.Failure{Op: "read-settings", Kind: bamboorail.KindBadRequest, Err: err},
		messages: []string{fmt.Sprintf("%s: %v", path, err)},
	}
}

// lineNumbers maps section.key to the line number of the key.
func lineNumbers(data []byte) map[string]int {
	lines := map[string]int{}
	section := ""
	s := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; s.Scan(); n++ {
		text := strings.TrimSpace(s.Text())
		if strings.HasPrefix(text, "[") {
			section = strings.Trim(text, "[]")
			lines[section+"."] = n
			continue
		}
		if key, _, ok := strings.Cut(text, "="); ok {
			if _, seen := lines[section+"."+strings.TrimSpace(key)]; !seen {
				lines[section+"."+strings.TrimSpace(key)] = n
			}
		}
	}
	return lines
}

// Errorf adds an error message for a key.
func (f *File) Errorf(section, key, format string, a ...any) {
	line, ok := f.lines[section+"."+key]
	if !ok {
		line = f.lines[section+"."]
	}
	f.messages = append(f.messages, fmt.Sprintf("%s:%d: [%s] %s: %s", f.path, line, section, key, fmt.Sprintf(format, a...)))
}

// Check returns all collected errors, including unknown keys and sections.
func (f *File) Check() error {
	for _, s := range f.ini.Sections() {
		for _, k := range s.Keys() {
			if !f.read[s.Name()+"."+k.Name()] {
				f.Errorf(s.Name(), k.Name(), "unknown key")
			}
		}
	}
	if len(f.messages) == 0 {
		return nil
	}
	slices.Sort(f.messages)
	return &Error{
		Failure:  bamboorail.Failure{Op: "check-settings", Kind: bamboorail.KindBadRequest, Err: fmt.Errorf("%d invalid settings", len(f.messages))},
		messages: f.messages,
	}
}

// Sections returns the names of the sections that begin with a prefix.
func (f *File) Sections(prefix string) []string {
	var names []string
	for _, s := range f.ini.Sections() {
		if strings.HasPrefix(s.Name(), prefix) {
			names = append(names, s.Name())
		}
	}
	return names
}

// value returns the value of a key, and false if it is absent or empty.
func (f *File) value(section, key string) (string, bool) {
	f.read[section+"."+key] = true
	s, err := f.ini.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	v := strings.TrimSpace(s.Key(key).String())
	return v, v != ""
}

// String returns an optional string.
func (f *File) String(section, key, def string) string {
	if v, ok := f.value(section, key); ok {
		return v
	}
	return def
}

// Required returns a required string.
func (f *File) Required(section, key string) string {
	v, ok := f.value(section, key)
	if !ok {
		f.Errorf(section, key, "is required")
	}
	return v
}

// Name returns a required record name.
func (f *File) Name(section, key string) string {
	v := f.Required(section, key)
	if v != "" && !bamboorail.ValidName(v) {
		f.Errorf(section, key, "%q is not a valid name", v)
	}
	return v
}

// Address returns a required host:port whose host is an IP address.
func (f *File) Address(section, key string) string {
	v := f.Required(section, key)
	if v != "" {
		f.checkAddress(section, key, v)
	}
	return v
}

func (f *File) checkAddress(section, key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || (host != "" && net.ParseIP(host) == nil) {
		f.Errorf(section, key, "%q is not an address of the form IP:port", v)
		return
	}
	_ = n
}

// Addresses returns an optional list of comma-separated addresses.
func (f *File) Addresses(section, key string) []string {
	v, ok := f.value(section, key)
	if !ok {
		return nil
	}
	var list []string
	for part := range strings.SplitSeq(v, ",") {
		part = strings.TrimSpace(part)
		f.checkAddress(section, key, part)
		list = append(list, part)
	}
	return list
}

// URL returns a required http or https URL.
func (f *File) URL(section, key string) string {
	v := f.Required(section, key)
	if v == "" {
		return ""
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.Errorf(section, key, "%q is not an http or https URL", v)
	}
	return v
}

// Duration returns an optional duration with a unit.
func (f *File) Duration(section, key string, def time.Duration) time.Duration {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.Errorf(section, key, "%q is not a duration such as 250ms, 5s or 2m", v)
		return def
	}
	return d
}

// Int returns an optional integer of at least minimum.
func (f *File) Int(section, key string, def, minimum int) int {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < minimum {
		f.Errorf(section, key, "%q is not a whole number of at least %d", v, minimum)
		return def
	}
	return n
}

// Float returns an optional non-negative number.
func (f *File) Float(section, key string, def float64) float64 {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.Errorf(section, key, "%q is not a number of at least 0", v)
		return def
	}
	return n
}

// sizeUnits maps the accepted units of sizes to bytes.
var sizeUnits = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "B": 1}

// Size returns an optional size in bytes. The value must have a unit.
func (f *File) Size(section, key string, def int64) int64 {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	for _, unit := range []string{"KiB", "MiB", "GiB", "B"} {
		digits, found := strings.CutSuffix(v, unit)
		if !found {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32); err == nil && n > 0 {
			return n * sizeUnits[unit]
		}
		break
	}
	f.Errorf(section, key, "%q is not a size such as 512KiB or 1MiB", v)
	return def
}

// Bool returns an optional boolean, written yes, no, true or false.
func (f *File) Bool(section, key string, def bool) bool {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	switch v {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	f.Errorf(section, key, "%q is not yes or no", v)
	return def
}

// OneOf returns an optional value that must be one of words.
func (f *File) OneOf(section, key, def string, words ...string) string {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	if !slices.Contains(words, v) {
		f.Errorf(section, key, "%q is not one of %s", v, strings.Join(words, ", "))
		return def
	}
	return v
}

// Digest returns a required SHA-256 digest in hexadecimal.
func (f *File) Digest(section, key string) string {
	v := f.Required(section, key)
	if sum, err := hex.DecodeString(v); v != "" && (err != nil || len(sum) != 32) {
		f.Errorf(section, key, "%q is not 64 hexadecimal digits", v)
	}
	return v
}
