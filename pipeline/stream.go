package pipeline

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Progress is the progress that a stage reports, counted in tokens.
type Progress struct {
	// Received is the number of tokens that the stage has run or whose input it holds.
	Received int
	// Ran is the number of tokens that the stage has run.
	Ran int
	// Known is one more than the highest index of a token whose text the stage can send.
	Known int
}

// stageState is the state of one stage and of the connection to it.
type stageState struct {
	conn     int // 0 without a connection
	opened   bool
	lastSeen time.Time
	// isSilent means that the server has sent nothing for too long, and nothing since.
	isSilent bool
	// resumes counts the reconnections since the last token.
	resumes  int
	progress Progress
	// isFresh means that the server has no session yet.
	isFresh bool
	// ready is the number of tokens that the KV cache of a new session must hold.
	ready int
	// source is the stage from which a new session can import its KV cache, or nil.
	source *Stage
	ended  bool // the server has sent the end frame
	// stepLatency and linkLatency track the times of the stage's steps and of the link to it.
	stepLatency latencyTracker
	linkLatency latencyTracker
	// wasMoved means that the stage was moved here because it, or one of its links, was slow.
	wasMoved bool
}

// Stream is the state machine of one draft over a chain of stages. Its methods take the time
// and an event, and return the actions to carry out.
//
// Each change of the chain starts a new attempt, in which all stages are connected again: first
// the ones that keep their session, which report their progress, then the replacements. Once all
// stages are connected, a Start makes the first stage start the next token.
//
// A stage counts every token that it holds or has run as received. The tokens that a later stage
// has received have therefore already passed the layers of all earlier stages, and a replacement
// of an earlier stage must not run them again.
//
// A Stream is not safe for concurrent use.
type Stream struct {
	request  string
	limits   Limits
	deadline time.Time

	chain       Chain
	states      []*stageState
	attempt     int
	lastConn    int
	reassembler *Reassembler
	maxTokens   int // most tokens that the answer can have
	text        []string
	total       int // tokens of the answer; -1 until the end frame arrives
	started     bool
	ran         bool // a Start was issued in some attempt
	repairs     int
	stalls      int
	excluded    []string
	replacing   map[int]Reason // reasons by stage, for the stages that wait for a replacement
	retired     []Stage        // moved stages, whose servers may still export their KV cache
	// pendingCancels counts the cancels that must be confirmed before stages are opened.
	pendingCancels int
	done           bool
	// moves counts the stages that were moved without a failure. nextMoveAt is the earliest time
	// of the next move.
	moves      int
	nextMoveAt time.Time
	// leavingSince holds, for each leaving server, the time at which the stream learned that the
	// server is leaving.
	leavingSince map[string]time.Time

	lastProgressAt time.Time
	lastTokenAt    time.Time
	averageGap     time.Duration // moving average of the time between two tokens
}

// StreamSpec describes the draft and the chain of a stream.
type StreamSpec struct {
	Request string
	Layers  int
	// MaxTokens is the most tokens that the answer can have.
	MaxTokens int
	Deadline  time.Time
	Chain     Chain
	Limits    Limits
}

// NewStream returns a stream, which Begin starts.
func NewStream(spec StreamSpec) *Stream {
	s := &Stream{
		request:      spec.Request,
		limits:       spec.Limits,
		deadline:     spec.Deadline,
		chain:        slices.Clone(spec.Chain),
		reassembler:  NewReassembler(spec.Request, spec.Layers),
		total:        -1,
		attempt:      1,
		replacing:    make(map[int]Reason),
		leavingSince: make(map[string]time.Time),
		maxTokens:    spec.MaxTokens,
	}
	for range spec.Chain {
		s.states = append(s.states, &stageState{isFresh: true})
	}
	return s
}

// Begin starts the stream by opening its stages.
func (s *Stream) Begin(now time.Time) []Action {
	s.lastProgressAt = now
	s.lastTokenAt = now
	return s.advance(now)
}

// Attempt returns the current attempt.
func (s *Stream) Attempt() int { return s.attempt }

// Next returns the index of the next token to emit.
func (s *Stream) Next() int { return s.reassembler.Next() }

// Servers returns the servers of the chain.
func (s *Stream) Servers() []string {
	names := make([]string, len(s.chain))
	for i, st := range s.chain {
		names[i] = st.Server.Name
	}
	return names
}

// Opened handles a stage's report that it is ready.
func (s *Stream) Opened(now time.Time, conn int, p Progress) []Action {
	i := s.stageByConn(conn)
	if i < 0 {
		return nil
	}
	s.heard(now, i)
	state := s.states[i]
	// Every emitted token has passed every stage, so a stage that has run fewer tokens has lost its
	// session.
	if p.Ran < max(state.progress.Ran, s.reassembler.Next()) {
		return s.repair(now, i, ReasonSessionLost)
	}
	state.opened = true
	state.isFresh = false
	state.progress = p
	return s.advance(now)
}

// Alive handles the frame that a stage sends periodically to show that it is alive.
func (s *Stream) Alive(now time.Time, conn int, p Progress) []Action {
	i := s.stageByConn(conn)
	if i < 0 {
		return nil
	}
	s.heard(now, i)
	state := s.states[i]
	if state.opened && p.Ran > state.progress.Ran {
		s.recordProgress(now)
	}
	if state.opened && p.Ran >= state.progress.Ran {
		state.progress = p
	}
	return nil
}

// Token handles a token that a stage has sent.
func (s *Stream) Token(now time.Time, conn int, t Token) []Action {
	i := s.stageByConn(conn)
	if i < 0 {
		return nil
	}
	s.heard(now, i)
	tokens, err := s.reassembler.Add(t)
	var out []Action
	for _, t := range tokens {
		s.text = append(s.text, t.Text)
		out = append(out, Emit{Token: t})
		out = append(out, s.recordTimings(now, t)...)
	}
	if len(tokens) > 0 {
		s.recordEmit(now)
	}
	if err != nil {
		return append(out, s.finish(err)...)
	}
	return append(out, s.advance(now)...)
}

func (s *Stream) recordEmit(now time.Time) {
	gap := now.Sub(s.lastTokenAt)
	if s.reassembler.Next() > 1 {
		s.averageGap += (gap - s.averageGap) / 8
	}
	s.lastTokenAt = now
	s.stalls = 0
	for _, state := range s.states {
		state.resumes = 0
	}
	s.recordProgress(now)
}

// heard records that a stage has sent a frame.
func (s *Stream) heard(now time.Time, i int) {
	state := s.states[i]
	state.lastSeen = now
	if state.isSilent {
		state.isSilent = false
		s.recordProgress(now)
	}
}

func (s *Stream) recordProgress(now time.Time) { s.lastProgressAt = now }

// End handles the frame that ends the answer, which has count tokens.
func (s *Stream) End(now time.Time, conn, count int) []Action {
	i := s.stageByConn(conn)
	if i < 0 {
		return nil
	}
	s.heard(now, i)
	s.states[i].ended = true
	if count < s.reassembler.Next() {
		return s.repair(now, i, ReasonBadFrame)
	}
	s.total = count
	return s.advance(now)
}

// CallerDisconnected ends the stream and cancels the work at every stage.
func (s *Stream) CallerDisconnected() []Action { return s.finish(&EndError{}) }

// finish ends the stream. Unless the answer is complete, it cancels the work at every stage.
func (s *Stream) finish(err error) []Action {
	if s.done {
		return nil
	}
	s.done = true
	var out []Action
	for i, state := range s.states {
		if state.conn != 0 {
			out = append(out, Close{Conn: state.conn})
		}
		if err != nil {
			out = append(out, Cancel{Stage: s.chain[i]})
		}
	}
	for _, st := range s.retired {
		out = append(out, Cancel{Stage: st})
	}
	return append(out, Finish{Err: err})
}

// IsDone reports whether the stream has ended.
func (s *Stream) IsDone() bool { return s.done }

func (s *Stream) layersOf(i int) fleet.Range { return s.chain[i].Layers }
