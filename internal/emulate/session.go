package emulate

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// resumeWindow is how long a session is kept without a connection.
const resumeWindow = 5 * time.Second

// session is the state of one request at one stage. The engine's mutex guards it.
type session struct {
	open backend.OpenStageRequest
	// received is the number of tokens whose input has arrived, and ran the number of those that
	// have run. They differ by at most one, since a token starts when the previous one has ended.
	received int
	ran      int
	pending  *work
	// stepMicros is the duration of the step in which the newest token ran.
	stepMicros int64
	// passes holds, by token, the layers that the token has passed, including this stage. It
	// represents the activations that a stage keeps so that it can send them again.
	passes map[int][]pipeline.Pass
	// lastForwarded is the highest token index that was forwarded in the current attempt, or -1.
	lastForwarded int
	// tokens holds the tokens whose text the stage knows: all of them at the last stage, and at
	// the first stage those that it received as input.
	tokens map[int]backend.Frame
	// known is one more than the highest index in tokens.
	known int
	// firstToken is the lowest index whose text the stage can know.
	firstToken int
	// previousAttempt and previousStage are the number of the previous attempt and the stage's
	// index in it. Inputs of that attempt are accepted until rejectPreviousAttempt is called.
	previousAttempt int
	previousStage   int
	// exported means that the KV cache was handed over to another server.
	exported bool
	conns    int // open connections
	closedAt time.Time
	changed  chan struct{} // closed and replaced when there is something to send
	ended    bool          // the session was cancelled, replaced or dropped
	failure  string        // sent in an error frame, unless it is empty
}

func newSession(open backend.OpenStageRequest) *session {
	return &session{
		open:          open,
		received:      open.Ready,
		ran:           open.Ready,
		firstToken:    open.Ready,
		passes:        make(map[int][]pipeline.Pass),
		lastForwarded: -1,
		tokens:        make(map[int]backend.Frame),
		changed:       make(chan struct{}),
	}
}

// broadcast wakes every goroutine that waits for a change of the session.
func (s *session) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *session) layers() fleet.Range { return s.open.Chain[s.open.Stage].Layers }

func (s *session) isLast() bool { return s.open.Stage == len(s.open.Chain)-1 }

// findSession returns the session that runs exactly these layers of the request, or nil.
func (e *engine) findSession(request string, layers fleet.Range) *session {
	for _, s := range e.sessions[request] {
		if s.layers() == layers {
			return s
		}
	}
	return nil
}

// sessionForHop returns the session that a hop is addressed to, or nil.
func (e *engine) sessionForHop(h hop) *session {
	for _, s := range e.sessions[h.Request] {
		if h.Attempt == s.open.Attempt && h.Stage == s.open.Stage {
			return s
		}
		if h.Attempt == s.previousAttempt && h.Stage == s.previousStage {
			return s
		}
	}
	return nil
}

// openSession starts a session, or moves an existing one to a newer attempt. It reports whether
// the session is new, and whether the server of its upstream stage has changed while no token
// was pending.
func (e *engine) openSession(open backend.OpenStageRequest) (s *session, isNew, upstreamChanged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropClosed(time.Now())
	existing := e.findSession(open.Request, open.Chain[open.Stage].Layers)
	if existing != nil && open.Fresh {
		e.endSession(existing)
		existing = nil
	}
	if existing == nil {
		s = newSession(open)
		s.conns = 1
		e.sessions[open.Request] = append(e.sessions[open.Request], s)
		return s, true, false
	}
	existing.conns++
	if open.Attempt > existing.open.Attempt {
		upstreamChanged = upstreamStage(open).Server != upstreamStage(existing.open).Server && existing.received == existing.ran
		existing.previousAttempt = existing.open.Attempt
		existing.previousStage = existing.open.Stage
		existing.open = open
		existing.lastForwarded = -1
		existing.broadcast()
	}
	return existing, false, upstreamChanged
}

// upstreamStage returns the stage that sends the input to the stage that o opens. The last stage
// sends the input of the first stage.
func upstreamStage(o backend.OpenStageRequest) backend.StageRef {
	n := len(o.Chain)
	return o.Chain[(o.Stage+n-1)%n]
}

// rejectPreviousAttempt makes the session reject inputs of the previous attempt.
func (e *engine) rejectPreviousAttempt(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.previousAttempt = 0
}

func (e *engine) closeConn(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.conns--
	s.closedAt = time.Now()
}

// dropClosed ends the sessions that have had no connection for longer than resumeWindow.
func (e *engine) dropClosed(now time.Time) {
	for _, sessions := range e.sessions {
		for _, s := range slices.Clone(sessions) {
			if s.conns <= 0 && now.Sub(s.closedAt) > resumeWindow {
				e.endSession(s)
			}
		}
	}
}

// cancel ends the sessions of a request and removes the request's waiting work.
func (e *engine) cancel(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Clone(e.sessions[request]) {
		e.endSession(s)
	}
}

func (e *engine) endSession(s *session) {
	request := s.open.Request
	s.ended = true
	s.broadcast()
	remaining := slices.DeleteFunc(e.sessions[request], func(o *session) bool { return o == s })
	e.sessions[request] = remaining
	if len(remaining) == 0 {
		delete(e.sessions, request)
	}
	e.queue.removeSession(s)
}

// start starts the token at the index, or forwards it if it has run already.
func (e *engine) start(st backend.StartRequest) {
	e.receive(hop{Request: st.Request, Attempt: st.Attempt, Index: st.Index})
}

// receive accepts the input of a token. Every token runs only once: if an input arrives again,
// the earlier result is forwarded, or the input is dropped while the token waits.
func (e *engine) receive(h hop) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessionForHop(h)
	if s == nil || s.ended || s.exported {
		return
	}
	if h.Previous != nil {
		s.storeToken(*h.Previous)
	}
	switch {
	case h.Index < s.ran:
		e.forward(s, h)
	case h.Index != s.ran || h.Index >= s.open.MaxTokens:
		return
	case s.pending != nil:
		s.pending.hop.Attempt = max(s.pending.hop.Attempt, h.Attempt)
	default:
		e.enqueue(s, h)
	}
}

func (e *engine) enqueue(s *session, h hop) {
	w := &work{session: s, hop: h}
	if !e.queue.add(w) {
		s.failure = "the queue is full"
		s.broadcast()
		return
	}
	s.pending = w
	s.received = h.Index + 1
}

// finishToken counts the layers that ran and forwards the token. It checks for a crash only before
// both steps, so that no crash can come between them.
func (e *engine) finishToken(w *work, step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := w.session
	if s.ended || s.pending != w || e.faults.isCrashed() {
		return
	}
	s.pending = nil
	s.stepMicros = step.Microseconds()
	s.ran = w.hop.Index + 1
	s.broadcast()
	_, followsLocal := e.fleet.engines[upstreamStage(s.open).Address]
	e.counts.recordRun(s.open.Request, w.hop.Index, s.layers(), followsLocal)
	if w.hop.Index == 0 {
		e.prefixes.add(s.open.Prompt)
	}
	e.forward(s, w.hop)
}

// forward sends a token to the next stage. The last stage makes the text available to the
// instance and starts the next token at the first stage. A token is sent once per attempt.
func (e *engine) forward(s *session, h hop) {
	passed, ok := s.passes[h.Index]
	if !ok {
		pass := pipeline.Pass{
			Server: e.server.Name, Layers: e.faults.reportedLayers(s.layers()),
			StepMicros: s.stepMicros, LinkMicros: h.DelayMicros,
		}
		passed = append(append([]pipeline.Pass(nil), h.Passed...), pass)
		s.passes[h.Index] = passed
	}
	if s.isLast() {
		s.sample(h.Index, passed)
	}
	if h.Attempt != s.open.Attempt || h.Index <= s.lastForwarded {
		return
	}
	s.lastForwarded = h.Index
	if !s.isLast() {
		next := hop{Request: h.Request, Attempt: h.Attempt, Index: h.Index, Stage: s.open.Stage + 1, Passed: passed}
		e.fleet.deliver(e, s.open.Chain[next.Stage], next, s.hopBytes(e.fleet.options, h.Index))
		return
	}
	// The first stage receives the final token too, so that its text survives a crash of this
	// stage.
	f := s.tokens[h.Index]
	next := hop{Request: h.Request, Attempt: h.Attempt, Index: h.Index + 1, Previous: &f}
	e.fleet.deliver(e, s.open.Chain[0], next, tokenBytes)
}

// sample generates the text of a token that has passed all layers. The text is generated only once,
// whichever attempt needs it.
func (s *session) sample(index int, passed []pipeline.Pass) {
	if _, ok := s.tokens[index]; !ok {
		s.storeToken(backend.Frame{
			Kind: backend.FrameToken, Request: s.open.Request, Index: index,
			Text: TokenText(s.open.Prompt, index), Passed: passed,
		})
	}
	s.broadcast()
}

// storeToken stores a token whose text the stage has sampled or received.
func (s *session) storeToken(f backend.Frame) {
	s.tokens[f.Index] = f
	s.known = max(s.known, f.Index+1)
}
