package main

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var fishLine = regexp.MustCompile(`^complete -c balsamctl -f -n "(.*)" -a "(.*)"$`)

// isFishCondition evaluates a condition of the script after the words of a command line.
func isFishCondition(condition string, words []string) bool {
	for term := range strings.SplitSeq(condition, "; and ") {
		negated := strings.HasPrefix(term, "not ")
		fields := strings.Fields(strings.TrimPrefix(term, "not "))
		holds := len(words) == 0 // __fish_use_subcommand
		if fields[0] == "__fish_seen_subcommand_from" {
			holds = slices.ContainsFunc(fields[1:], func(w string) bool { return slices.Contains(words, w) })
		}
		if holds == negated {
			return false
		}
	}
	return true
}

// Guards against completions of another command: status, config status and move status were told apart by
// their last word only, and a command went on to offer its subcommands after one of them.
func TestFishOffersOnlyWordsOfTheCommand(t *testing.T) {
	is := is.New(t)
	script, err := completion("fish", newRoot())
	is.NoErr(err)
	for _, w := range collectWords("", newRoot(), nil) {
		var offered []string
		for line := range strings.SplitSeq(strings.TrimSpace(script), "\n") {
			m := fishLine.FindStringSubmatch(line)
			is.True(m != nil) // a line of another form
			if isFishCondition(m[1], strings.Fields(w.path)) {
				offered = append(offered, strings.Fields(m[2])...)
			}
		}
		slices.Sort(offered)
		is.Equal(offered, slices.Sorted(slices.Values(w.words))) // of w.path
	}
}
