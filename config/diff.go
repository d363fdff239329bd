package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// diffContext is the number of unchanged lines around a change.
const diffContext = 3

// baseFile is the name of the base file in differences.
const baseFile = "base.ini"

// Diff returns the unified difference of the base and the overlays, "" when there is none.
func Diff(from, to Document) string {
	var b strings.Builder
	b.WriteString(diffFile(baseFile, from.Base, to.Base, from.Version, to.Version))
	names := maps.Clone(from.Overlays)
	if names == nil {
		names = make(map[string]string)
	}
	maps.Copy(names, to.Overlays)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b.WriteString(diffFile(name+".ini", from.Overlays[name], to.Overlays[name], from.Version, to.Version))
	}
	return b.String()
}

func diffFile(name, from, to string, fromVersion, toVersion uint64) string {
	if from == to {
		return ""
	}
	// Writing to memory never fails.
	text, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        lines(from),
		B:        lines(to),
		FromFile: fmt.Sprintf("%s (%s)", name, versionName(fromVersion)),
		ToFile:   fmt.Sprintf("%s (%s)", name, versionName(toVersion)),
		Context:  diffContext,
	})
	return text
}

// lines splits a text so that a last line without its end still ends in the difference.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	return difflib.SplitLines(strings.TrimSuffix(text, "\n"))
}

// versionName names the version, or a text that is none yet.
func versionName(v uint64) string {
	if v == 0 {
		return "not applied"
	}
	return fmt.Sprintf("version %d", v)
}
