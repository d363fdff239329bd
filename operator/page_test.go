package operator

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPageShowsProblems(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(page.Execute(&out, pageView{
		Status: Status{
			Instance:  "kandy-1",
			Control:   &ControlStatus{Role: "follower"},
			Instances: []InstanceStatus{{Name: "<galle>", Alive: false}},
		},
		Moves:      []MoveStatus{{Name: "ledger", Total: 4, Risk: "two days late"}},
		Quarantine: []QuarantineEntry{{Fingerprint: "00ff", Quarantined: true, Servers: []string{"advice-0"}}},
	}))
	text := out.String()
	is.True(strings.Contains(text, "no leader"))
	is.True(strings.Contains(text, "two days late"))
	is.True(strings.Contains(text, "quarantined"))
	is.True(strings.Contains(text, "no backend server has announced itself"))
	is.True(strings.Contains(text, "&lt;galle&gt;")) // names can't inject markup
}

func TestKeyIsReadFromBearerAndBasicHeaders(t *testing.T) {
	for _, c := range []struct {
		header string
		key    string
		ok     bool
	}{
		{"Bearer abc", "abc", true},
		{"Basic YW5hOmFiYw==", "abc", true}, // ana:abc
		{"Basic ???", "", false},
		{"Basic YWJj", "", false}, // no colon
		{"abc", "", false},
		{"", "", false},
	} {
		t.Run(c.header, func(t *testing.T) {
			is := is.New(t)
			key, ok := keyFromHeader(c.header)
			is.Equal(key, c.key)
			is.Equal(ok, c.ok)
		})
	}
}
