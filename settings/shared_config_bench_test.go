package settings

import (
	"fmt"
	"strings"
	"testing"
)

// generateConfig returns a base file with the given number of workspaces.
func generateConfig(workspaces int) File {
	var b strings.Builder
	b.WriteString("[service draft]\nkind = draft\nmodel = icing-7b\nlayers = 32\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "[workspace w-%05d]\nmember = member-%d\nshare = %d\n", i, i%100, 1+i%5)
	}
	return File{Name: "base.ini", Text: b.String()}
}

// BenchmarkParseSharedConfig measures a full parse of the configuration, for each number of
// workspaces.
func BenchmarkParseSharedConfig(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 10_000, 37_000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			file := generateConfig(workspaces)
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
