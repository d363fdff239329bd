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
	diff := difflib.UnifiedDiff{
		A:        lines(from),
		B:        lines(to),
		FromFile: fmt.Sprintf("%s (%s)", name, versionName(fromVersion)),
		ToFile:   fmt.Sprintf("%s (%s)", name, versionName(toVersion)),
		Context:  diffContext,
	}
	// The errors are ignored because writing to memory never fails.
	text, _ := difflib.GetUnifiedDiffString(diff)
	if text == "" {
		// Only the newline at the end differs.
		diff.A, diff.B = markMissingNewline(diff.A, from), markMissingNewline(diff.B, to)
		text, _ = difflib.GetUnifiedDiffString(diff)
	}
	return text
}

// markMissingNewline marks the last line of a text that does not end with a newline, as diff does.
func markMissingNewline(lines []string, text string) []string {
	if len(lines) == 0 || strings.HasSuffix(text, "\n") {
		return lines
	}
	lines[len(lines)-1] += "\\ No newline at end of file\n"
	return lines
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
