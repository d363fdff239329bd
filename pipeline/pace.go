package pipeline

import "time"

const (
	// paceBaseline is the number of tokens whose average is the baseline.
	paceBaseline = 8
	// paceWeight divides the weight of a new token in the moving average.
	paceWeight = 4
	// paceFactor and paceMargin define when a token is slow: when the moving average exceeds
	// paceFactor times the baseline by more than paceMargin.
	paceFactor = 3
	paceMargin = 4 * time.Millisecond
	// paceTokens is how many consecutive tokens must be slow before a stage counts as slow.
	paceTokens = 3
	// paceReport is the number of tokens between two Observe actions for a stage.
	paceReport = 16
)

// pace tracks the time that a stage, or the link to it, takes for a token.
type pace struct {
	count    int
	slow     int // consecutive slow tokens
	baseline time.Duration
	average  time.Duration
}

// inherit returns a tracker with the same baseline, so that a replacement is compared with the
// earlier latency.
func (p pace) inherit() pace {
	return pace{count: p.count, baseline: p.baseline, average: p.baseline}
}

// add takes the time of one token.
func (p *pace) add(d time.Duration) {
	p.count++
	if p.count <= paceBaseline {
		p.baseline += (d - p.baseline) / time.Duration(p.count)
		p.average = p.baseline
		return
	}
	p.average += (d - p.average) / paceWeight
	if p.average > paceFactor*p.baseline+paceMargin {
		p.slow++
		return
	}
	p.slow = 0
}

// isSlow reports whether the latency is far above the baseline.
func (p *pace) isSlow() bool {
	return p.slow >= paceTokens
}

// follow records the times in a token and reports them from time to time. It moves a stage
// that has become slow, or whose link has, before it fails.
func (s *Stream) follow(now time.Time, t Token) []Action {
	if t.Index == 0 || len(t.Passed) != len(s.links) {
		return nil
	}
	var out []Action
	for i, p := range t.Passed {
		l := s.links[i]
		if p.Server != s.chain[i].Server.Name || p.StepMicros == 0 {
			continue
		}
		l.step.add(time.Duration(p.StepMicros) * time.Microsecond)
		l.transit.add(time.Duration(p.LinkMicros) * time.Microsecond)
		if l.step.count%paceReport == 0 {
			out = append(out, Observe{Stage: s.chain[i], Took: l.step.average})
		}
	}
	if i := s.slowest(); i >= 0 {
		out = append(out, s.move(now, s.chain[i].Server.Name, ReasonSlow)...)
	}
	return out
}

// slowest returns the stage to move, or -1. If the links on both sides of a server are slow,
// the server itself is at fault. If a single link is slow, its receiver is moved first and, if
// that hasn't helped, its sender.
func (s *Stream) slowest() int {
	n := len(s.links)
	for i, l := range s.links {
		if l.step.isSlow() || (l.transit.isSlow() && s.links[(i+1)%n].transit.isSlow()) {
			return i
		}
	}
	for i, l := range s.links {
		if !l.transit.isSlow() {
			continue
		}
		if l.wasMoved {
			return (i + n - 1) % n
		}
		return i
	}
	return -1
}
