package admission

import "time"

// readTimeout is how long a running request without an objective counts as reading if its answer doesn't begin.
const readTimeout = time.Second

// isReading reports whether a running request's prompt is probably being read. One whose answer doesn't begin within
// its objective rather waits for a server that hangs.
func (e *entry) isReading(now time.Time) bool {
	limit := e.objective()
	if limit <= 0 {
		limit = readTimeout
	}
	return now.Sub(e.started) < limit
}

// countReading updates the number of requests whose prompts are being read.
func (p *pool) countReading(now time.Time) {
	p.reading = 0
	for e := range p.unbegun {
		if e.isReading(now) {
			p.reading++
		}
	}
}

// mayRead reports whether the servers have time to read one more prompt.
func (p *pool) mayRead() bool { return p.forecast.Readers <= 0 || p.reading < p.forecast.Readers }
