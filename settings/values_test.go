package settings

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
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

// Guards against a retry budget that is not a number: every comparison with it is false.
func TestRatioThatIsNoNumberIsAFault(t *testing.T) {
	for _, value := range []string{"NaN", "nan", "-NaN", "Inf", "1e400", "-0.1"} {
		text := settingsText(validMember, map[[2]string]string{{"retry", "ratio"}: value})
		_, err := ParseMember("m.ini", []byte(text), RoleGateway)
		checkFault(t, err, "retry", "ratio")
	}
}
