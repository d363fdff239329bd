package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// baseFile is the name of the base file in a diff.
const baseFile = "base.ini"

// Diff returns the unified diff of the base files and overlays, or "" if they are equal.
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
	// The error is ignored because writing to memory never fails.
	text, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        lines(from),
		B:        lines(to),
		FromFile: fmt.Sprintf("%s (%s)", name, versionName(fromVersion)),
		ToFile:   fmt.Sprintf("%s (%s)", name, versionName(toVersion)),
		Context:  diffContext,
	})
	return text
}

// lines splits a text into lines. A last line without a newline gets one, so that it is
// terminated in the diff.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	return difflib.SplitLines(strings.TrimSuffix(text, "\n"))
}

// versionName returns the label of a version in a diff. Version 0 stands for a text that is not
// applied yet.
func versionName(v uint64) string {
	if v == 0 {
		return "not applied"
	}
	return fmt.Sprintf("version %d", v)
}
