// Package settings reads and checks INI files: the settings of one process, and the shared
// configuration, which is a base file with an overlay per data centre.
//
// A file is checked completely, and all its faults are reported together.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error returns the file, section, key, value and reason.
func (f Fault) Error() string {
	where := f.File + ": [" + f.Section + "]"
	if f.Key == "" {
		return where + ": " + f.Reason
	}
	return fmt.Sprintf("%s %s = %q: %s", where, f.Key, f.Value, f.Reason)
}

// Faults are all the errors that one check found.
type Faults []Fault

// Error lists the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Key is the schema of one key of a section.
type Key struct {
	Section string // the section's name, or its prefix when the section is named ("service")
	Name    string
	Default string
	Unit    string
	Doc     string
	check   func(value string) string
}

// reader collects values and faults from one or more layered files.
type reader struct {
	schema []Key
	faults Faults
	// cache holds sections that were parsed earlier; nil disables caching.
	cache *sectionCache
}

// source is one parsed file: its values by section and key.
type source struct {
	name     string
	sections map[string]values
}

// values are the values of one section by key.
type values map[string]string

func (r *reader) load(name string, data []byte) (source, bool) {
	text := string(data)
	if parts, ok := splitAtHeaders(text); ok && r.cache != nil {
		faultCount := len(r.faults)
		src, err := r.loadSections(name, parts)
		if err == nil {
			return src, true
		}
		// Parse the whole text at once instead, which merges sections that occur twice.
		r.faults = r.faults[:faultCount]
	}
	src, err := r.loadSections(name, []string{text})
	return src, err == nil
}

// loadSections parses a file that was split into parts.
func (r *reader) loadSections(name string, parts []string) (source, error) {
	src := source{name: name, sections: make(map[string]values, len(parts))}
	for _, part := range parts {
		sections, err := r.parse(name, part)
		if err != nil {
			return source{}, err
		}
		for _, s := range sections {
			if _, duplicate := src.sections[s.name]; duplicate {
				return source{}, errDuplicateSection
			}
			src.sections[s.name] = s.values
		}
	}
	return src, nil
}

// errDuplicateSection means that a file that was split into sections contains one of them twice.
var errDuplicateSection = errors.New("settings: the section stands twice")

// parse returns the sections of a text, from the cache if it was already parsed and checked.
func (r *reader) parse(name, text string) ([]section, error) {
	if sections, ok := r.cache.lookup(text); ok {
		return sections, nil
	}
	opts := ini.LoadOptions{AllowShadows: false, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		r.faults = append(r.faults, Fault{File: name, Section: "", Reason: err.Error()})
		return nil, err
	}
	faultCount := len(r.faults)
	sections := r.checkFile(name, file)
	if len(r.faults) == faultCount {
		r.cache.store(text, sections)
	}
	return sections, nil
}

// checkFile reports unknown sections, unknown keys and invalid values, and returns the sections
// that are known.
func (r *reader) checkFile(name string, file *ini.File) []section {
	var sections []section
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		kind, _ := splitSection(sec.Name())
		if !r.knowsSection(kind) {
			r.faults = append(r.faults, Fault{File: name, Section: sec.Name(), Reason: "unknown section"})
			continue
		}
		s := section{name: sec.Name(), values: make(values)}
		for _, k := range sec.Keys() {
			r.checkKey(name, sec.Name(), kind, k)
			s.values[k.Name()] = strings.TrimSpace(k.String())
		}
		sections = append(sections, s)
	}
	return sections
}

func (r *reader) checkKey(file, section, kind string, k *ini.Key) {
	desc, ok := r.findKey(kind, k.Name())
	fault := Fault{File: file, Section: section, Key: k.Name(), Value: k.String()}
	if !ok {
		fault.Reason = "unknown key"
		r.faults = append(r.faults, fault)
		return
	}
	if reason := desc.check(k.String()); reason != "" {
		fault.Reason = reason
		r.faults = append(r.faults, fault)
	}
}

func (r *reader) knowsSection(kind string) bool {
	return slices.ContainsFunc(r.schema, func(k Key) bool { return k.Section == kind })
}

func (r *reader) findKey(kind, name string) (Key, bool) {
	i := slices.IndexFunc(r.schema, func(k Key) bool { return k.Section == kind && k.Name == name })
	if i < 0 {
		return Key{}, false
	}
	return r.schema[i], true
}

// value returns the value from the last source that sets the key, or the default.
func (r *reader) value(sources []source, section, name string) string {
	for _, src := range slices.Backward(sources) {
		if v, ok := src.sections[section][name]; ok {
			return v
		}
	}
	kind, _ := splitSection(section)
	k, _ := r.findKey(kind, name)
	return k.Default
}

// sectionNames returns the names of all sections of a kind, such as the names of the services.
func (r *reader) sectionNames(sources []source, kind string) []string {
	var names []string
	for _, src := range sources {
		for section := range src.sections {
			if k, name := splitSection(section); k == kind && name != "" {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (r *reader) addFault(file, section, key, value, reason string) {
	r.faults = append(r.faults, Fault{File: file, Section: section, Key: key, Value: value, Reason: reason})
}

// err returns the faults in the order in which they were found, or nil.
func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return eris.Wrap(r.faults, "settings: check")
}

func splitSection(section string) (kind, name string) {
	kind, name, _ = strings.Cut(section, " ")
	return kind, strings.TrimSpace(name)
}

func anyText(string) string { return "" }

func oneOf(values ...string) func(string) string {
	return func(v string) string {
		if slices.Contains(values, v) {
			return ""
		}
		return "must be one of " + strings.Join(values, ", ")
	}
}

func wholeNumber(low, high int) func(string) string {
	return func(v string) string {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return fmt.Sprintf("must be a whole number from %d to %d", low, high)
		}
		return ""
	}
}

func duration(low, high time.Duration) func(string) string {
	return func(v string) string {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return fmt.Sprintf("must be a duration from %s to %s", low, high)
		}
		return ""
	}
}

func addressPort(v string) string {
	if v == "" {
		return ""
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || strings.ContainsAny(a.Addr().Zone(), "[],=% \t") {
		return "must be an IP address and port, such as 127.0.1.1:8080"
	}
	return ""
}

// noItems is the reason for a list that has separators but no items. An empty value is no list.
const noItems = "names nothing"

func isListWithoutItems(v string) bool {
	return strings.TrimSpace(v) != "" && len(splitList(v)) == 0
}

func addressPorts(v string) string {
	if isListWithoutItems(v) {
		return noItems
	}
	for _, part := range splitList(v) {
		if reason := addressPort(part); reason != "" {
			return reason
		}
	}
	return ""
}

func namedAddresses(v string) string {
	if isListWithoutItems(v) {
		return noItems
	}
	seen := make(map[string]bool)
	for _, part := range splitList(v) {
		name, address, ok := strings.Cut(part, "=")
		if !ok || name == "" || addressPort(address) != "" || address == "" {
			return "must be a list of name=address, such as colombo-1=127.0.1.1:8084"
		}
		if seen[name] || seen[address] {
			return "names " + part + " twice"
		}
		seen[name], seen[address] = true, true
	}
	return ""
}

func splitList(v string) []string {
	var parts []string
	for part := range strings.SplitSeq(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
