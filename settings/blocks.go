package settings

import "strings"

// section is one parsed section.
type section struct {
	name   string
	values values
}

// blocks keeps the sections of a reading by their text, so that the next reading parses only
// what has changed. Its size is that of one reading.
type blocks struct {
	before map[string][]section
	now    map[string][]section
}

func newBlocks() *blocks { return &blocks{now: make(map[string][]section)} }

// begin starts a reading: what it does not use is forgotten at the next one.
func (b *blocks) begin() {
	b.before = b.now
	b.now = make(map[string][]section, len(b.before))
}

// known returns the sections of a text that was parsed without faults.
func (b *blocks) known(text string) ([]section, bool) {
	if b == nil {
		return nil, false
	}
	if sections, ok := b.now[text]; ok {
		return sections, true
	}
	sections, ok := b.before[text]
	if ok {
		b.now[text] = sections
	}
	return sections, ok
}

func (b *blocks) keep(text string, sections []section) {
	if b != nil {
		b.now[text] = sections
	}
}

// splitBlocks cuts a file before each section header. It reports false for a file with values
// that may run over several lines, which can't be cut by lines.
func splitBlocks(text string) ([]string, bool) {
	if strings.Contains(text, "`") || strings.Contains(text, `"""`) || strings.Contains(text, "\\\n") || strings.Contains(text, "\\\r\n") {
		return nil, false
	}
	var out []string
	for {
		i := strings.Index(text, "\n[")
		if i < 0 {
			return append(out, text), true
		}
		out = append(out, text[:i+1])
		text = text[i+1:]
	}
}
