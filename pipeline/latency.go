package pipeline

import "time"

const (
	// baselineTokens is the number of first tokens whose average latency is the baseline.
	baselineTokens = 8
	// averageDivisor sets the weight of a new token in the moving average, 1/averageDivisor.
	averageDivisor = 4
	// slowFactor and slowMargin define when a token is slow: when the moving average exceeds
	// slowFactor times the baseline by more than slowMargin.
	slowFactor = 3
	slowMargin = 4 * time.Millisecond
	// minConsecutiveSlow is how many consecutive tokens must be slow before a stage counts as slow.
	minConsecutiveSlow = 3
	// observeInterval is the number of tokens between two Observe actions for a stage.
	observeInterval = 16
)

// latencyTracker tracks the time that a stage, or the link to it, takes for a token.
type latencyTracker struct {
	count           int
	consecutiveSlow int // slow tokens since the last one that was not slow
	baseline        time.Duration
	average         time.Duration
}

// inherit returns a tracker with the same baseline, so that the latency after a move is compared
// with the latency before it.
func (t latencyTracker) inherit() latencyTracker {
	return latencyTracker{count: t.count, baseline: t.baseline, average: t.baseline}
}

// add adds the time of one token.
func (t *latencyTracker) add(d time.Duration) {
	t.count++
	if t.count <= baselineTokens {
		t.baseline += (d - t.baseline) / time.Duration(t.count)
		t.average = t.baseline
		return
	}
	t.average += (d - t.average) / averageDivisor
	if t.average > slowFactor*t.baseline+slowMargin {
		t.consecutiveSlow++
		return
	}
	t.consecutiveSlow = 0
}

// isSlow reports whether the latency is far above the baseline.
func (t *latencyTracker) isSlow() bool {
	return t.consecutiveSlow >= minConsecutiveSlow
}

// recordTimings records the times that a token carries, and reports the average of a stage every
// observeInterval tokens. If a stage or a link has become slow, recordTimings moves a stage before
// one fails.
func (s *Stream) recordTimings(now time.Time, t Token) []Action {
	if t.Index == 0 || len(t.Passed) != len(s.states) {
		return nil
	}
	var out []Action
	for i, p := range t.Passed {
		state := s.states[i]
		if p.Server != s.chain[i].Server.Name || p.StepMicros == 0 {
			continue
		}
		state.stepLatency.add(time.Duration(p.StepMicros) * time.Microsecond)
		state.linkLatency.add(time.Duration(p.LinkMicros) * time.Microsecond)
		if state.stepLatency.count%observeInterval == 0 {
			out = append(out, Observe{Stage: s.chain[i], Took: state.stepLatency.average})
		}
	}
	if i := s.stageToMove(); i >= 0 {
		out = append(out, s.move(now, s.chain[i].Server.Name, ReasonSlow)...)
	}
	return out
}

// stageToMove returns the stage to move, or -1. If the links on both sides of a server are slow,
// the server itself is at fault. If a single link is slow, the stage that receives over it is
// moved first and, if that hasn't helped, the stage that sends over it.
func (s *Stream) stageToMove() int {
	n := len(s.states)
	for i, state := range s.states {
		if state.stepLatency.isSlow() || (state.linkLatency.isSlow() && s.states[(i+1)%n].linkLatency.isSlow()) {
			return i
		}
	}
	for i, state := range s.states {
		if !state.linkLatency.isSlow() {
			continue
		}
		if state.wasMoved {
			return (i + n - 1) % n
		}
		return i
	}
	return -1
}
