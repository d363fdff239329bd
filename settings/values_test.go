package settings

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// validProcess and validMember hold valid settings, by section and key.
var validProcess = map[[2]string]string{
	{"instance", "name"}: "kandy-1", {"instance", "data_centre"}: "kandy",
	{"listen", "callers"}: "127.0.1.1:80", {"listen", "backends"}: "127.0.1.1:81", {"listen", "operators"}: "127.0.1.1:82",
	{"listen", "platform"}: "127.0.1.1:83", {"listen", "instances"}: "127.0.1.1:84",
	{"control", "voters"}: "galle-1=127.0.1.2:84",
}

var validMember = map[[2]string]string{
	{"instance", "name"}: "kandy-1", {"instance", "data_centre"}: "kandy",
	{"listen", "callers"}: "127.0.1.1:80", {"listen", "ready"}: "127.0.1.1:81", {"listen", "control"}: "127.0.1.1:82",
	{"listen", "instances"}: "127.0.1.1:84", {"control", "data_folder"}: "/data", {"join", "seeds"}: "127.0.1.2:82",
}

// settingsText returns the settings with some values replaced.
func settingsText(valid, replaced map[[2]string]string) string {
	sections := make(map[string][]string)
	add := func(k [2]string, value string) { sections[k[0]] = append(sections[k[0]], k[1]+" = "+value+"\n") }
	for k, value := range valid {
		if _, ok := replaced[k]; !ok {
			add(k, value)
		}
	}
	for k, value := range replaced {
		add(k, value)
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		slices.Sort(sections[name])
		b.WriteString("[" + name + "]\n" + strings.Join(sections[name], ""))
	}
	return b.String()
}

// checkFault fails unless the error names only the key.
func checkFault(t *testing.T, err error, section, key string) {
	t.Helper()
	var faults Faults
	if !errors.As(err, &faults) || len(faults) != 1 || faults[0].Section != section || faults[0].Key != key {
		t.Fatalf("the error does not name [%s] %s: %v", section, key, err)
	}
}

// Guards against a process that starts without the address of any control instance, and then panics
// at its first proposal: seeds = , counted as set.
func TestListWithoutItemsIsAFault(t *testing.T) {
	for _, value := range []string{",", " , ,", ",,"} {
		text := settingsText(validMember, map[[2]string]string{{"join", "seeds"}: value})
		for _, role := range []Role{RoleGateway, RoleController} {
			_, err := ParseMember("m.ini", []byte(text), role)
			checkFault(t, err, "join", "seeds")
		}
		_, err := ParseProcess("p.ini", []byte(settingsText(validProcess, map[[2]string]string{{"control", "voters"}: value})))
		checkFault(t, err, "control", "voters")
		// Without this fault, the voters took the place of the seeds.
		_, err = ParseProcess("p.ini", []byte(settingsText(validProcess, map[[2]string]string{{"join", "seeds"}: value})))
		checkFault(t, err, "join", "seeds")
	}
}

// Guards against a group that takes one control instance for two, so that one fewer than a majority
// can decide.
func TestControlInstanceCountsOnce(t *testing.T) {
	is := is.New(t)
	for _, voters := range []string{"a=127.0.1.2:84, a=127.0.1.3:84", "a=127.0.1.2:84, b=127.0.1.2:84"} {
		_, err := ParseProcess("p.ini", []byte(settingsText(validProcess, map[[2]string]string{{"control", "voters"}: voters})))
		checkFault(t, err, "control", "voters")
	}
	// The ports of seeds are replaced, so equal hosts are equal seeds.
	text := settingsText(validMember, map[[2]string]string{{"join", "seeds"}: "127.0.1.3:82, 127.0.1.2:82, 127.0.1.3:83"})
	m, err := ParseMember("m.ini", []byte(text), RoleController)
	is.NoErr(err)
	is.Equal(m.Seeds, []string{"127.0.1.3:84", "127.0.1.2:84"})
}

// Guards against a gateway that doesn't start, since the platform states a bound with a fraction.
func TestBoundsOfThePlatformMayHaveFractions(t *testing.T) {
	is := is.New(t)
	text := settingsText(validMember, map[[2]string]string{
		{"retry", "reserve"}: "47.833333333333336", {"retry", "window_s"}: "2.5", {"limits", "grace_s"}: "7.5",
		{"limits", "memory_mb"}: "184.5", {"fleet", "announce_interval_ms"}: "1200.5",
	})
	m, err := ParseMember("m.ini", []byte(text), RoleGateway)
	is.NoErr(err)
	is.Equal(m.RetryReserve, 47.833333333333336)
	is.Equal([]time.Duration{m.RetryWindow, m.Grace, m.AnnounceInterval}, []time.Duration{2500 * time.Millisecond, 7500 * time.Millisecond, 1200500 * time.Microsecond})
	is.Equal(m.MemoryMB, 184)
	for _, value := range []string{"NaN", "Inf", "-1", "1e400"} {
		_, err := ParseMember("m.ini", []byte(settingsText(validMember, map[[2]string]string{{"retry", "reserve"}: value})), RoleGateway)
		checkFault(t, err, "retry", "reserve")
	}
}

// Guards against a retry budget that is not a number: every comparison with it is false.
func TestRatioThatIsNoNumberIsAFault(t *testing.T) {
	for _, value := range []string{"NaN", "nan", "-NaN", "Inf", "1e400", "-0.1"} {
		text := settingsText(validMember, map[[2]string]string{{"retry", "ratio"}: value})
		_, err := ParseMember("m.ini", []byte(text), RoleGateway)
		checkFault(t, err, "retry", "ratio")
	}
}

// drawValue draws a value that a mistake or a template may put into a settings file.
func drawValue(t *rapid.T) string {
	address := rapid.SampledFrom([]string{
		"127.0.1.1:80", "[::1]:80", "::1:80", "0.0.0.0:0", "127.0.1.1", ":80", "127.0.1.1:65536", "127.0.1.1:-1", "kandy:80",
		"[fe80::1%eth0]:80", "999.0.0.1:80", "",
	})
	item := rapid.OneOf(address, rapid.Map(address, func(a string) string { return "galle-1=" + a }), rapid.SampledFrom([]string{"=", "a=", "=127.0.1.1:80"}))
	list := rapid.Custom(func(t *rapid.T) string {
		return strings.Join(rapid.SliceOfN(item, 1, 4).Draw(t, "items"), rapid.SampledFrom([]string{",", ", ", ",,"}).Draw(t, "separator"))
	})
	number := rapid.SampledFrom([]string{
		"0", "-0", "+1", "-1", "00", "1_000", "1e3", "0x10", "NaN", "Inf", "-Inf", "1e400", "0.2", ".5", "1.0000001", "2147483648",
		"9223372036854775807", "9223372036854775808", "99999999999999999999999", "٣", "1 2", "1s",
	})
	text := rapid.SampledFrom([]string{"", ",", "true", "false", "True", "yes", "info", "\"\"", "`", "%(name)s", "%(seeds)s", "\"a\"", "a;b", "#", "\\", "\x00", "\xff", "="})
	return rapid.OneOf(list, number, text).Draw(t, "value")
}

// Every value of every key is either refused with an error that names section and key, or is used as it
// was written.
func TestAnyValueIsRefusedByKeyOrUsed(t *testing.T) {
	const filesPerCheck = 40
	rapid.Check(t, func(t *rapid.T) {
		for range filesPerCheck {
			checkDrawnSettings(t)
		}
	})
}

// checkDrawnSettings draws settings in which a few keys have any value, and checks what is made of them.
func checkDrawnSettings(t *rapid.T) {
	schema, valid := memberSchema, validMember
	role := rapid.SampledFrom([]Role{RoleGateway, RoleController, ""}).Draw(t, "role")
	if role == "" {
		schema, valid = processSchema, validProcess
	}
	replaced := make(map[[2]string]string)
	for range rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "keys") {
		k := rapid.SampledFrom(schema).Draw(t, "key")
		replaced[[2]string{k.Section, k.Name}] = drawValue(t)
	}
	text := settingsText(valid, replaced)
	var err error
	var m Member
	var p Process
	if role == "" {
		p, err = ParseProcess("p.ini", []byte(text))
	} else {
		m, err = ParseMember("m.ini", []byte(text), role)
	}
	var faults Faults
	switch {
	case err == nil && role == "":
		checkProcessValues(t, p, text)
	case err == nil:
		checkMemberValues(t, m, text)
	case !errors.As(err, &faults):
		t.Fatalf("an error that is no fault: %v", err)
	}
	for _, f := range faults {
		if f.File == "" || f.Reason == "" || f.Section != "" && f.Key == "" {
			t.Fatalf("a fault that does not say where: %+v of %q", f, text)
		}
	}
}

func checkProcessValues(t *rapid.T, p Process, text string) {
	if len(p.Voters) == 0 || len(p.Seeds) == 0 {
		t.Fatalf("no control instances: %+v of %q", p, text)
	}
	seen := make(map[string]bool)
	for _, v := range p.Voters {
		if v.Name == "" || v.Address == "" || seen[v.Name] || seen[v.Address] {
			t.Fatalf("voters %+v of %q", p.Voters, text)
		}
		seen[v.Name], seen[v.Address] = true, true
	}
	for _, a := range []string{p.Callers, p.Backends, p.Operators, p.Platform, p.Instances, p.Advertise} {
		if a == "" || addressPort(a) != "" {
			t.Fatalf("address %q of %q", a, text)
		}
	}
}

func checkMemberValues(t *rapid.T, m Member, text string) {
	if len(m.Seeds) == 0 {
		t.Fatalf("no control instances: %+v of %q", m, text)
	}
	if math.IsNaN(m.RetryRatio) || m.RetryRatio < 0 || m.RetryRatio > 1 || m.RetryReserve < 0 {
		t.Fatalf("retry budget %v, %v of %q", m.RetryRatio, m.RetryReserve, text)
	}
	if m.AnnounceInterval <= 0 || m.Grace <= 0 || m.LogLinesPerSecond <= 0 || m.MemoryMB < 0 || m.Tolerate < 0 {
		t.Fatalf("numbers %+v of %q", m, text)
	}
	if fmt.Sprint(m.Name, m.DataCentre) == "" || addressPort(m.Instances) != "" || m.Instances == "" {
		t.Fatalf("names or addresses %+v of %q", m, text)
	}
}

// Guards against a typing error that makes the leader go through billions of layers at each plan.
func TestRangeOfTooManyLayersIsAFault(t *testing.T) {
	is := is.New(t)
	read := func(layers string) error {
		_, err := ParseSharedConfig(File{Name: "base.ini", Text: "[server s]\nmodel = m\nlayers = " + layers + "\n"}, File{})
		return err
	}
	is.NoErr(read("0-4096"))
	for _, layers := range []string{"0-4097", "0-2000000000", "4096-9223372036854775807"} {
		checkFault(t, read(layers), "server s", "layers")
	}
}

var validShared = map[[2]string]string{
	{"service s", "kind"}: "draft", {"service s", "model"}: "m", {"service s", "layers"}: "32",
	{"workspace w", "member"}: "m", {"server e", "model"}: "m", {"server e", "layers"}: "0-16",
	{"move v", "service"}: "s", {"move v", "data_centre"}: "kandy", {"move v", "date"}: "2027-03-31T18:00:00Z",
}

// Like TestAnyValueIsRefusedByKeyOrUsed, for the shared configuration.
func TestAnySharedValueIsRefusedByKeyOrUsed(t *testing.T) {
	const filesPerCheck = 40
	names := map[string]string{"service": "service s", "workspace": "workspace w", "server": "server e", "move": "move v"}
	rapid.Check(t, func(t *rapid.T) {
		for range filesPerCheck {
			replaced := make(map[[2]string]string)
			for range rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "keys") {
				k := rapid.SampledFrom(sharedConfigSchema).Draw(t, "key")
				section := k.Section
				if name, ok := names[section]; ok {
					section = name
				}
				replaced[[2]string{section, k.Name}] = drawSharedValue(t)
			}
			checkSharedValues(t, settingsText(validShared, replaced))
		}
	})
}

// drawSharedValue is like drawValue, with durations, dates and ranges.
func drawSharedValue(t *rapid.T) string {
	more := rapid.SampledFrom([]string{
		"1h", "-1s", "0s", "1ns", "9999999h", "1.5s", "2027-03-31T18:00:00Z", "2027-03-31", "0000-01-01T00:00:00Z", "9999-12-31T23:59:59Z",
		"0-16", "16-0", "-1-3", "0-0", "0-99999999999", "0-9223372036854775808", "1", "4096", "4097", "draft", "plain", "prefill", "kandy",
	})
	return rapid.OneOf(more, rapid.Custom(drawValue)).Draw(t, "shared value")
}

func checkSharedValues(t *rapid.T, text string) {
	cfg, err := ParseSharedConfig(File{Name: "base.ini", Text: text}, File{})
	var faults Faults
	if err != nil && !errors.As(err, &faults) {
		t.Fatalf("an error that is no fault: %v", err)
	}
	for _, f := range faults {
		if f.File == "" || f.Reason == "" || f.Section != "" && f.Key == "" {
			t.Fatalf("a fault that does not say where: %+v of %q", f, text)
		}
	}
	if err != nil {
		return
	}
	l := cfg.Limits
	if l.MaxBodyBytes <= 0 || l.MaxTokens <= 0 || l.DefaultDeadline <= 0 || l.ServerLease <= 0 || l.WeightLoads <= 0 {
		t.Fatalf("limits %+v of %q", l, text)
	}
	for _, s := range cfg.Services {
		if s.Kind == ServiceDraft && (s.Model == "" || s.Layers <= 0) || s.Layers < 0 || s.Layers > fleet.MaxLayers {
			t.Fatalf("service %+v of %q", s, text)
		}
	}
	for _, e := range cfg.Engines {
		if e.Model == "" || e.Layers.From < 0 || e.Layers.Len() <= 0 || e.Layers.To > fleet.MaxLayers {
			t.Fatalf("engine %+v of %q", e, text)
		}
	}
	for _, w := range cfg.Workspaces {
		if w.Member == "" || w.Share <= 0 || w.MaxInFlight <= 0 {
			t.Fatalf("workspace %+v of %q", w, text)
		}
	}
	for _, m := range cfg.Moves {
		if _, ok := cfg.Services[m.Service]; !ok || m.Date.IsZero() || !m.Start.IsZero() && !m.Start.Before(m.Date) || (m.DataCentre == "") == (len(m.Servers) == 0) {
			t.Fatalf("move %+v of %q", m, text)
		}
	}
}

// Guards against an instance that starts without the address of any control instance: netip takes what
// follows a percent sign for a zone, up to the last bracket.
func TestZoneHoldsNoFurtherAddress(t *testing.T) {
	is := is.New(t)
	is.Equal(addressPort("[fe80::1%eth0.1]:80"), "")
	for _, value := range []string{"[fe80::1%eth0]:80,[::1]:80", "[fe80::1%a b]:80", "[fe80::1%a=b]:80"} {
		text := settingsText(validMember, map[[2]string]string{{"listen", "instances"}: value})
		_, err := ParseMember("m.ini", []byte(text), RoleController)
		checkFault(t, err, "listen", "instances")
	}
}
