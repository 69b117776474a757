// Package settings reads the INI files of the programs. Every key is checked
// when a file is read, and all faults are reported together with their lines.
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

// Error lists the faults of a file; it is the error type of the package.
type Error struct {
	bamboorail.Failure
	faults []string
}

// Error returns one line for each fault.
func (e *Error) Error() string { return strings.Join(e.faults, "\n") }

// Faults returns the faults as file:line: text.
func (e *Error) Faults() []string { return e.faults }

// File is a settings file whose keys are read one by one.
type File struct {
	path   string
	ini    *ini.File
	lines  map[string]int // by section.key
	read   map[string]bool
	faults []string
}

// Open parses a file. Reading the keys collects faults for Check.
func Open(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, single(path, err)
	}
	return Parse(path, data)
}

// Parse parses the content of a file.
func Parse(path string, data []byte) (*File, error) {
	options := ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false, IgnoreInlineComment: true}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, single(path, err)
	}
	return &File{path: path, ini: parsed, lines: linesOf(data), read: map[string]bool{}}, nil
}

func single(path string, err error) error {
	return &Error{
		Failure: bamboorail.Failure{Op: "read-settings", Kind: bamboorail.KindBadRequest, Err: err},
		faults:  []string{fmt.Sprintf("%s: %v", path, err)},
	}
}

// linesOf maps section.key to the line where the key stands.
func linesOf(data []byte) map[string]int {
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

// Faultf adds a fault at a key.
func (f *File) Faultf(section, key, format string, a ...any) {
	line, ok := f.lines[section+"."+key]
	if !ok {
		line = f.lines[section+"."]
	}
	f.faults = append(f.faults, fmt.Sprintf("%s:%d: [%s] %s: %s", f.path, line, section, key, fmt.Sprintf(format, a...)))
}

// Check returns all faults, unknown keys and sections included.
func (f *File) Check() error {
	for _, s := range f.ini.Sections() {
		for _, k := range s.Keys() {
			if !f.read[s.Name()+"."+k.Name()] {
				f.Faultf(s.Name(), k.Name(), "unknown key")
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.Sort(f.faults)
	return &Error{
		Failure: bamboorail.Failure{Op: "check-settings", Kind: bamboorail.KindBadRequest, Err: fmt.Errorf("%d faults", len(f.faults))},
		faults:  f.faults,
	}
}

// Sections returns the names of the sections with a prefix.
func (f *File) Sections(prefix string) []string {
	var names []string
	for _, s := range f.ini.Sections() {
		if strings.HasPrefix(s.Name(), prefix) {
			names = append(names, s.Name())
		}
	}
	return names
}

// text returns the value of a key, and false if it is absent or empty.
func (f *File) text(section, key string) (string, bool) {
	f.read[section+"."+key] = true
	s, err := f.ini.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	v := strings.TrimSpace(s.Key(key).String())
	return v, v != ""
}

// String returns an optional text.
func (f *File) String(section, key, def string) string {
	if v, ok := f.text(section, key); ok {
		return v
	}
	return def
}

// Required returns a text that must be present.
func (f *File) Required(section, key string) string {
	v, ok := f.text(section, key)
	if !ok {
		f.Faultf(section, key, "is required")
	}
	return v
}

// Name returns a required record name.
func (f *File) Name(section, key string) string {
	v := f.Required(section, key)
	if v != "" && !bamboorail.ValidName(v) {
		f.Faultf(section, key, "%q is not a valid name", v)
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
		f.Faultf(section, key, "%q is not an address of the form IP:port", v)
		return
	}
	_ = n
}

// Addresses returns an optional list of addresses separated by commas.
func (f *File) Addresses(section, key string) []string {
	v, ok := f.text(section, key)
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
		f.Faultf(section, key, "%q is not an http or https URL", v)
	}
	return v
}

// Duration returns an optional duration with a unit.
func (f *File) Duration(section, key string, def time.Duration) time.Duration {
	v, ok := f.text(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.Faultf(section, key, "%q is not a duration such as 250ms, 5s or 2m", v)
		return def
	}
	return d
}

// Int returns an optional number of at least least.
func (f *File) Int(section, key string, def, least int) int {
	v, ok := f.text(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least {
		f.Faultf(section, key, "%q is not a whole number of at least %d", v, least)
		return def
	}
	return n
}

// Float returns an optional number that is not negative.
func (f *File) Float(section, key string, def float64) float64 {
	v, ok := f.text(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.Faultf(section, key, "%q is not a number of at least 0", v)
		return def
	}
	return n
}

// sizeUnits are the accepted units of sizes.
var sizeUnits = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "B": 1}

// Size returns an optional size in bytes, written with a unit.
func (f *File) Size(section, key string, def int64) int64 {
	v, ok := f.text(section, key)
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
	f.Faultf(section, key, "%q is not a size such as 512KiB or 1MiB", v)
	return def
}

// Bool returns an optional yes or no.
func (f *File) Bool(section, key string, def bool) bool {
	v, ok := f.text(section, key)
	if !ok {
		return def
	}
	switch v {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	f.Faultf(section, key, "%q is not yes or no", v)
	return def
}

// OneOf returns an optional word out of a list.
func (f *File) OneOf(section, key, def string, words ...string) string {
	v, ok := f.text(section, key)
	if !ok {
		return def
	}
	if !slices.Contains(words, v) {
		f.Faultf(section, key, "%q is not one of %s", v, strings.Join(words, ", "))
		return def
	}
	return v
}

// Digest returns a required SHA-256 digest in hexadecimal.
func (f *File) Digest(section, key string) string {
	v := f.Required(section, key)
	if sum, err := hex.DecodeString(v); v != "" && (err != nil || len(sum) != 32) {
		f.Faultf(section, key, "%q is not 64 hexadecimal digits", v)
	}
	return v
}
