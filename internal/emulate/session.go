package emulate

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// resumeWindow is how long a session outlives its connection.
const resumeWindow = 5 * time.Second

// session is one request at one stage. The engine's mutex guards it.
type session struct {
	open backend.StageOpen
	// received is the number of tokens whose input has arrived; ran, of those that were run.
	// They differ by one at most, since a token starts when the one before has ended.
	received int
	ran      int
	pending  *work
	// stepMicros is the time of the step in which the newest token ran.
	stepMicros int64
	// passes holds the layers that each token has passes, this stage included. It stands for
	// the activations that a stage keeps so that it can send them again.
	passes map[int][]pipeline.Pass
	// lastForwarded is the highest index that was passed on under the present attempt, or -1.
	lastForwarded int
	// tokens holds the texts that the stage knows: all at the last stage, and at the first one
	// those that it was given as input.
	tokens map[int]backend.Frame
	// known is one more than the highest index in tokens.
	known int
	// firstToken is the lowest index that the stage can know.
	firstToken int
	// previousAttempt is the attempt before, whose inputs are still taken while the link is previousAttempt.
	previousAttempt int
	previousStage   int
	// exported means that another server has taken the KV cache over.
	exported bool
	conns    int // open connections
	closedAt time.Time
	changed  chan struct{} // closed and replaced when there is something to send
	ended    bool          // the session is cancelled or failed
	failure  string
}

func newSession(open backend.StageOpen) *session {
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

func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *session) layers() fleet.Range { return s.open.Chain[s.open.Stage].Layers }

func (s *session) isLast() bool { return s.open.Stage == len(s.open.Chain)-1 }

// findSession returns the session that runs the layers of the request, or nil.
func (e *engine) findSession(request string, layers fleet.Range) *session {
	for _, s := range e.sessions[request] {
		if s.layers() == layers {
			return s
		}
	}
	return nil
}

// sessionForHop returns the session that a hop is for, or nil.
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

// openSession starts a session, or moves an existing one to the attempt. It reports whether
// the session is new, and whether the stage before it has changed.
func (e *engine) openSession(open backend.StageOpen) (s *session, isNew, upstreamChanged bool) {
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
		existing.notify()
	}
	return existing, false, upstreamChanged
}

// upstreamStage returns the stage that sends this one its input.
func upstreamStage(o backend.StageOpen) backend.StageRef {
	n := len(o.Chain)
	return o.Chain[(o.Stage+n-1)%n]
}

// rejectPreviousAttempt stops taking inputs of the attempt before.
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

func (e *engine) dropClosed(now time.Time) {
	for _, sessions := range e.sessions {
		for _, s := range slices.Clone(sessions) {
			if s.conns <= 0 && now.Sub(s.closedAt) > resumeWindow {
				e.endSession(s)
			}
		}
	}
}

// cancel ends the sessions of a request and drops its waiting work.
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
	s.notify()
	remaining := slices.DeleteFunc(e.sessions[request], func(o *session) bool { return o == s })
	e.sessions[request] = remaining
	if len(remaining) == 0 {
		delete(e.sessions, request)
	}
	e.queue.removeSession(s)
}

// start begins the token at the index, or passes on what was run of it before.
func (e *engine) start(st backend.Start) {
	e.receive(hop{Request: st.Request, Attempt: st.Attempt, Index: st.Index})
}

// receive takes the input of a token. Every token is run once: an input that arrives again
// is passed on as it was, or dropped while the token waits.
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
		s.notify()
		return
	}
	s.pending = w
	s.received = h.Index + 1
}

// finishToken counts the layers and passes the token on. Both happen under one lock, so that a
// crash comes before or after them.
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
	s.notify()
	_, followsLocal := e.fleet.engines[upstreamStage(s.open).Address]
	e.counts.recordRun(s.open.Request, w.hop.Index, s.layers(), followsLocal)
	if w.hop.Index == 0 {
		e.prefixes.add(s.open.Prompt)
	}
	e.forward(s, w.hop)
}

// forward passes a token to the next stage, or to the instance from the last one, once under
// each attempt.
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
	// The first stage is told of the last token too, so that its text outlives this stage.
	f := s.tokens[h.Index]
	next := hop{Request: h.Request, Attempt: h.Attempt, Index: h.Index + 1, Previous: &f}
	e.fleet.deliver(e, s.open.Chain[0], next, tokenBytes)
}

// sample makes the text of a token that has passed all layers, under whatever attempt.
func (s *session) sample(index int, passed []pipeline.Pass) {
	if _, ok := s.tokens[index]; !ok {
		s.storeToken(backend.Frame{
			Kind: backend.FrameToken, Request: s.open.Request, Index: index,
			Text: TokenText(s.open.Prompt, index), Passed: passed,
		})
	}
	s.notify()
}

// storeToken keeps a token whose text the stage knows.
func (s *session) storeToken(f backend.Frame) {
	s.tokens[f.Index] = f
	s.known = max(s.known, f.Index+1)
}
