package settings

import "strings"

// section is one parsed section of a file.
type section struct {
	name   string
	values values
}

// sectionCache caches parsed sections by their text, so that the next pass parses only what has
// changed. During and after a pass it holds the entries that this pass or the previous pass used.
type sectionCache struct {
	previous map[string][]section
	current  map[string][]section
}

func newSectionCache() *sectionCache { return &sectionCache{current: make(map[string][]section)} }

// startPass starts a pass. Entries that this pass doesn't use are dropped when the next pass
// starts.
func (c *sectionCache) startPass() {
	c.previous = c.current
	c.current = make(map[string][]section, len(c.previous))
}

// lookup returns the sections of a text that was already parsed without faults.
func (c *sectionCache) lookup(text string) ([]section, bool) {
	if c == nil {
		return nil, false
	}
	if sections, ok := c.current[text]; ok {
		return sections, true
	}
	sections, ok := c.previous[text]
	if ok {
		c.current[text] = sections
	}
	return sections, ok
}

func (c *sectionCache) store(text string, sections []section) {
	if c != nil {
		c.current[text] = sections
	}
}

// splitAtHeaders splits a file before each section header. It reports false for a file that may
// contain values over several lines, since such a value may contain a line like a header.
func splitAtHeaders(text string) ([]string, bool) {
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
