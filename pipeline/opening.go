package pipeline

import (
	"slices"
	"time"
)

// advance takes the next step that is possible: it finishes the stream, opens stages or starts
// the chain.
func (s *Stream) advance(now time.Time) []Action {
	if s.done {
		return nil
	}
	if s.isComplete() {
		return s.finish(nil)
	}
	if s.started || s.pendingCancels > 0 || len(s.replacing) > 0 {
		return nil
	}
	out := s.openExisting(now)
	if !s.existingOpened() {
		return out
	}
	n := s.nextToRun()
	if s.reassembler.Next() < n {
		return out // a stage that kept its session sends the missing tokens
	}
	out = append(out, s.openFresh(now, n)...)
	if !s.allOpened() {
		return out
	}
	s.started = true
	s.ran = true
	s.recordProgress(now)
	start := Start{Conn: s.states[0].conn, Stage: s.chain[0], Attempt: s.attempt, Index: n}
	if n > 0 {
		start.Previous = s.text[n-1]
	}
	return append(out, start)
}

// isComplete reports whether the answer is complete: all tokens up to the end frame were emitted,
// or as many as the answer may have. The second condition is needed because the end frame can be
// lost together with the last stage.
func (s *Stream) isComplete() bool {
	return s.reassembler.Next() == s.maxTokens || (s.total >= 0 && s.reassembler.IsComplete(s.total))
}

func (s *Stream) openExisting(now time.Time) []Action {
	var out []Action
	for i, state := range s.states {
		if !state.isFresh && state.conn == 0 {
			out = append(out, s.open(now, i, 0))
		}
	}
	return out
}

func (s *Stream) existingOpened() bool {
	return !slices.ContainsFunc(s.states, func(state *stageState) bool { return !state.isFresh && !state.opened })
}

func (s *Stream) allOpened() bool {
	return !slices.ContainsFunc(s.states, func(state *stageState) bool { return !state.opened })
}

func (s *Stream) openFresh(now time.Time, n int) []Action {
	var out []Action
	ready := n
	for i, state := range slices.Backward(s.states) {
		if state.isFresh && state.conn == 0 {
			out = append(out, s.open(now, i, ready))
		}
		if state.opened {
			ready = max(ready, state.progress.Received)
		}
	}
	return out
}

// nextToRun returns the index of the token that the chain runs next. The text of each token before
// it is known to the caller, to the last stage or, as an input, to the first stage.
func (s *Stream) nextToRun() int {
	n := s.reassembler.Next()
	for _, state := range s.states {
		if state.opened {
			n = max(n, state.progress.Known)
		}
	}
	return n
}

func (s *Stream) open(now time.Time, i, ready int) Open {
	s.lastConn++
	state := s.states[i]
	state.conn = s.lastConn
	state.ready = ready
	state.lastSeen = now
	state.ended = false
	return Open{
		Conn:    s.lastConn,
		Stage:   i,
		Attempt: s.attempt,
		Chain:   slices.Clone(s.chain),
		From:    s.reassembler.Next(),
		IsFresh: state.isFresh,
		Ready:   ready,
		Text:    slices.Clone(s.text),
		Import:  state.source,
	}
}

func (s *Stream) stageByConn(conn int) int {
	if s.done || conn == 0 {
		return -1
	}
	return slices.IndexFunc(s.states, func(state *stageState) bool { return state.conn == conn })
}
