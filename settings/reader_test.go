package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"pgregory.net/rapid"
)

// sampleSections include sections with faults and sections with the same header.
var sampleSections = []string{
	"[limits]\nmax_tokens = 10\n", "[limits]\nmax_tokens = many\n", "[limits]\n; a comment\nmax_body = 2048\n",
	"[workspace a]\nshare = 2\n", "[workspace a]\nshare = 3\nmember = m\n", "  [workspace b]\nmember = \"x [y]\"\n",
	"[workspace c]\nmember = one \\\n[two]\n", "[service s]\nidempotent = false\n", "[service s]\nkind = draft\n",
	"[service s]\nmodel = %(kind)s\n", "[service d]\nkind = draft\nmodel = m\nlayers = 4\n", "[nonsense]\n", "key = 1\n",
	"[service d]\r\nlayers = 9\r\n", "[workspace e]\nmember = `a\n[b]`\n", "\n\n; nothing\n",
}

func drawFile(t *rapid.T, name string) File {
	parts := rapid.SliceOfN(rapid.SampledFrom(sampleSections), 0, 6).Draw(t, name)
	return File{Name: name, Text: strings.Join(parts, "")}
}

// TestIncrementalReadMatchesFullParse checks that a SharedConfigReader, which parses only the
// changed sections, returns the same configuration and faults as a full parse of each version.
func TestIncrementalReadMatchesFullParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewSharedConfigReader()
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			base, overlay := drawFile(t, "base.ini"), drawFile(t, "kandy.ini")
			got, gotErr := r.Read(base, overlay)
			want, wantErr := ParseSharedConfig(base, overlay)
			if faultSet(gotErr) != faultSet(wantErr) {
				t.Fatalf("faults %q, want %q, of %q and %q", faultSet(gotErr), faultSet(wantErr), base.Text, overlay.Text)
			}
			if gotErr == nil && !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v, want %+v, of %q and %q", got, want, base.Text, overlay.Text)
			}
		}
	})
}

// faultSet returns the faults as a set. Their order may differ, because a full parse lists the
// faults of both occurrences of a section together.
func faultSet(err error) string {
	var fs Faults
	if !errors.As(err, &fs) {
		return fmt.Sprint(err)
	}
	lines := make(map[string]bool)
	for _, f := range fs {
		lines[f.Error()] = true
	}
	return fmt.Sprint(lines)
}

func BenchmarkReadChangedConfig(b *testing.B) {
	for _, workspaces := range []int{1000, 37_000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			r := NewSharedConfigReader()
			file := generateConfig(workspaces)
			n := 0
			for b.Loop() {
				n++
				changed := file
				changed.Text += fmt.Sprintf("[workspace new]\nshare = %d\n", 1+n%9)
				if _, err := r.Read(changed, File{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
