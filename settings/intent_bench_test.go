package settings

import (
	"fmt"
	"strings"
	"testing"
)

// configOf returns a base file with the number of workspaces.
func configOf(workspaces int) File {
	var b strings.Builder
	b.WriteString("[service draft]\nkind = draft\nmodel = icing-7b\nlayers = 32\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "[workspace w-%05d]\nmember = member-%d\nshare = %d\n", i, i%100, 1+i%5)
	}
	return File{Name: "base.ini", Text: b.String()}
}

// BenchmarkParseIntent shows what a change of the configuration costs an instance.
func BenchmarkParseIntent(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 10_000, 37_000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			file := configOf(workspaces)
			b.ReportAllocs()
			b.SetBytes(int64(len(file.Text)))
			for b.Loop() {
				if _, err := ParseSharedConfig(file, File{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
