package config

import "testing"

func FuzzDiff(f *testing.F) {
	f.Add("[limits]\nmax_tokens = 1\n", "[limits]\n", "x")
	f.Fuzz(func(t *testing.T, a, b, overlay string) {
		from := Document{Version: 1, Base: a, Overlays: map[string]string{"kandy": overlay}}
		to := Document{Base: b}
		same := a == b && overlay == ""
		if got := Diff(from, to); (got == "") != same {
			t.Fatalf("unexpected diff %q of %q and %q", got, a, b)
		}
	})
}
