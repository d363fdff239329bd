package caller

import (
	"strings"
	"testing"
)

// Guards against a list of words that takes many times the memory of the prompt.
func TestWordsOfAPromptAreCountedWithoutAList(t *testing.T) {
	for _, text := range []string{"", " ", "a", " one\ttwo\nthree ", "ගුරු පවුල", strings.Repeat("a ", 1000)} {
		if got, expected := countWords(text), len(strings.Fields(text)); got != expected {
			t.Errorf("%q: %d words, not %d", text, got, expected)
		}
	}
	text := strings.Repeat("a ", 100_000)
	if n := testing.AllocsPerRun(1, func() { countWords(text) }); n > 1 {
		t.Errorf("%v allocations", n)
	}
}
