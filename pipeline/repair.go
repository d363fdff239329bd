package pipeline

import (
	"slices"
	"time"
)

// Failed handles the end of a connection. If the connection closed or became silent, the network
// may be at fault, so the stream reconnects to the same server. If the reconnection fails too, or
// if the connection ended for another reason, the stream replaces the server.
func (s *Stream) Failed(now time.Time, conn int, reason Reason) []Action {
	i := s.stageByConn(conn)
	if i < 0 {
		return nil
	}
	switch reason {
	case ReasonClosed, ReasonSilent:
		return s.resume(now, i, reason)
	default:
		return s.repair(now, i, reason)
	}
}

// resume opens a new connection to the same server, which then sends its tokens from the next one
// to emit.
func (s *Stream) resume(now time.Time, i int, reason Reason) []Action {
	state := s.states[i]
	if state.resumes >= s.limits.MaxResumes || (!state.opened && state.resumes > 0) {
		return s.repair(now, i, reason)
	}
	out := []Action{Close{Conn: state.conn}, Resume{Stage: i, Server: s.chain[i].Server.Name, Reason: reason}}
	state.resumes++
	state.opened = false
	state.isSilent = state.isSilent || reason == ReasonSilent
	return append(out, s.open(now, i, state.ready))
}

// repair replaces a stage in a new attempt. The other stages keep their sessions.
func (s *Stream) repair(now time.Time, i int, reason Reason) []Action {
	s.excluded = append(s.excluded, s.chain[i].Server.Name)
	s.replacing[i] = reason
	out := s.newAttempt(now)
	if s.done {
		return out
	}
	return append(out, s.requestReplacement(i))
}

func (s *Stream) requestReplacement(i int) Replace {
	exclude := append(slices.Clone(s.excluded), s.chain[i].Server.Name)
	return Replace{
		Chain:   slices.Clone(s.chain),
		Stage:   i,
		Layers:  s.layersOf(i),
		Exclude: exclude,
		Reason:  s.replacing[i],
		Server:  s.chain[i].Server.Name,
	}
}

// newAttempt closes all connections and starts a new attempt, or finishes the stream once the
// limit of repairs is reached.
func (s *Stream) newAttempt(now time.Time) []Action {
	if s.repairs >= s.limits.MaxRepairs {
		return s.finish(s.stageError())
	}
	s.repairs++
	s.attempt++
	s.reassembler.SetAttempt(s.attempt)
	s.started = false
	s.recordProgress(now)
	var out []Action
	for _, state := range s.states {
		if state.conn != 0 {
			out = append(out, Close{Conn: state.conn})
		}
		state.conn = 0
		state.opened = false
		state.resumes = 0
	}
	return out
}

func (s *Stream) stageError() error {
	for i, reason := range s.replacing {
		return &StageError{Server: s.chain[i].Server.Name, Reason: reason, Ran: s.ran}
	}
	return &StageError{Reason: ReasonStalled, Ran: s.ran}
}

// Replaced handles a successful Replace: the given stages take over the layers of stage i.
func (s *Stream) Replaced(now time.Time, i int, stages Chain) []Action {
	if s.done {
		return nil
	}
	reason := s.replacing[i]
	delete(s.replacing, i)
	s.recordProgress(now)
	old := s.chain[i]
	source := s.states[i].source
	var out []Action
	if canExport(reason) {
		// The old stage has kept running, so its attempt ends only now.
		out = s.newAttempt(now)
		if s.done {
			return out
		}
	}
	out = append(out, Release{Server: old.Server.Name})
	switch {
	case canExport(reason):
		s.retired = append(s.retired, old)
		source = &old
	case mayStillRun(reason):
		// The old server must stop before its replacement runs the same token.
		s.pendingCancels++
		out = append(out, Cancel{Stage: old, Confirm: true})
	default:
		out = append(out, Cancel{Stage: old})
	}
	var states []*stageState
	for range stages {
		state := &stageState{isFresh: true}
		if len(stages) == 1 {
			state.source = source
		}
		if len(stages) == 1 && reason == ReasonSlow {
			state.wasMoved = true
			state.linkLatency = s.states[i].linkLatency.inherit()
		}
		states = append(states, state)
	}
	s.chain = slices.Concat(s.chain[:i], stages, s.chain[i+1:])
	s.states = slices.Concat(s.states[:i], states, s.states[i+1:])
	return append(out, s.advance(now)...)
}

// Cancelled handles a server's confirmation that it has stopped working on the request. A
// server that can't be reached counts as confirmed.
func (s *Stream) Cancelled(now time.Time) []Action {
	s.pendingCancels = max(0, s.pendingCancels-1)
	return s.advance(now)
}

// mayStillRun reports whether a server that was given up for the reason may still be running the
// request.
func mayStillRun(r Reason) bool {
	return r == ReasonBadFrame || r == ReasonReported || r == ReasonStalled
}

// canExport reports whether a server that was given up for the reason can export its KV cache.
func canExport(r Reason) bool { return r == ReasonLeaving || r == ReasonSlow }

// isSilence reports whether a server that was given up for the reason may go on.
func isSilence(r Reason) bool { return r == ReasonSilent || r == ReasonNoAnswer }

// NoReplacement handles a Replace for which no server can take over the layers of stage i. A
// server that still responds, or may go on, keeps its stage.
func (s *Stream) NoReplacement(now time.Time, i int) []Action {
	if s.done {
		return nil
	}
	if reason := s.replacing[i]; reason == ReasonStalled || isSilence(reason) {
		// The server may only be overloaded, or silent for a while. The deadline bounds the wait.
		delete(s.replacing, i)
		server := s.chain[i].Server.Name
		s.excluded = slices.DeleteFunc(s.excluded, func(name string) bool { return name == server })
		if isSilence(reason) {
			s.states[i].isSilent = true
			s.repairs-- // nothing was repaired
		}
		return s.advance(now)
	}
	if canExport(s.replacing[i]) {
		delete(s.replacing, i)
		s.moves--
		s.nextMoveAt = now.Add(moveRetryInterval)
		return nil
	}
	return s.finish(s.stageError())
}

const (
	// maxMoves bounds how often stages of one draft are moved although their servers have not failed.
	maxMoves = 4
	// moveRetryInterval is the time between two searches for a server to move a stage to.
	moveRetryInterval = time.Second
	// leaveGracePeriod is how long a leaving server is expected to continue its running requests.
	leaveGracePeriod = 2 * time.Second
)

// Leaving handles a server that is about to leave. Its stage is moved to another server, which
// imports the KV cache. The stage is not moved if the draft is expected to end before the old
// server leaves.
func (s *Stream) Leaving(now time.Time, server string) []Action {
	since, ok := s.leavingSince[server]
	if !ok {
		since = now
		s.leavingSince[server] = now
	}
	left := time.Duration(s.maxTokens-s.reassembler.Next()) * s.averageGap
	if s.reassembler.Next() > 1 && now.Add(left).Before(since.Add(leaveGracePeriod)) {
		return nil
	}
	return s.move(now, server, ReasonLeaving)
}

// ClearLeaving records that a server is not leaving or has stopped leaving.
func (s *Stream) ClearLeaving(server string) { delete(s.leavingSince, server) }

// move requests a replacement for a stage whose server still works. The stage keeps running
// until a replacement is found.
func (s *Stream) move(now time.Time, server string, reason Reason) []Action {
	i := slices.IndexFunc(s.chain, func(st Stage) bool { return st.Server.Name == server })
	if s.done || !s.started || i < 0 || len(s.replacing) > 0 || s.moves >= maxMoves || now.Before(s.nextMoveAt) {
		return nil
	}
	s.moves++
	s.replacing[i] = reason
	return []Action{s.requestReplacement(i)}
}

// Tick is the periodic check: it ends the stream at the deadline, replaces silent connections
// and detects a stalled chain.
func (s *Stream) Tick(now time.Time) []Action {
	if s.done {
		return nil
	}
	if !now.Before(s.deadline) {
		return s.finish(&EndError{Deadline: true})
	}
	if !s.started && len(s.replacing) > 0 {
		return nil // waiting for a replacement
	}
	for i, state := range s.states {
		if state.conn != 0 && now.Sub(state.lastSeen) >= s.limits.SilenceTimeout {
			return s.resume(now, i, ReasonSilent)
		}
	}
	isSilent := slices.ContainsFunc(s.states, func(state *stageState) bool { return state.isSilent })
	if !isSilent && now.Sub(s.lastProgressAt) >= s.stallTimeout() {
		return s.handleStall(now)
	}
	return nil
}

// stallTimeout returns the time without progress after which the chain counts as stalled.
// Rebuilding a KV cache, or waiting in a queue for the first token, takes longer than the gap
// between two tokens.
func (s *Stream) stallTimeout() time.Duration {
	isRebuilding := !s.started && s.existingOpened() && s.reassembler.Next() >= s.nextToRun()
	if s.reassembler.Next() == 0 || isRebuilding {
		return s.limits.FirstStallTimeout
	}
	return max(s.limits.StallTimeout, stallGaps*s.averageGap) << min(s.stalls, maxStallDoublings)
}

// handleStall replaces the stage that has received a token but not run it. If there is no such
// stage, a token was lost between two stages: the first stall starts a new attempt with the same
// chain, and a later stall replaces the first stage that has not run the next token.
func (s *Stream) handleStall(now time.Time) []Action {
	s.stalls++
	for i, state := range s.states {
		if state.opened && state.progress.Received > state.progress.Ran {
			return s.repair(now, i, ReasonStalled)
		}
	}
	if s.stalls == 1 {
		return append(s.newAttempt(now), s.advance(now)...)
	}
	n := s.nextToRun()
	for i, state := range s.states {
		if state.progress.Ran <= n {
			return s.repair(now, i, ReasonStalled)
		}
	}
	return s.repair(now, 0, ReasonStalled)
}
