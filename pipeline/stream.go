package pipeline

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Progress is the progress that a stage reports, counted in tokens.
type Progress struct {
	// Received is the number of tokens whose input the stage holds or has run.
	Received int
	// Ran is the number of tokens that the stage has run.
	Ran int
	// Known is one more than the highest index whose text the stage can send.
	Known int
}

// link is the state of one stage and of the connection to it.
type link struct {
	conn   int // 0 without a connection
	opened bool
	heard  time.Time
	// resumes counts the reconnections since the last token.
	resumes  int
	progress Progress
	// isFresh means that the server has no session yet.
	isFresh bool
	// ready is the number of tokens that the KV cache of a new session must hold.
	ready int
	// source is the stage from which a new session can import its KV cache, or nil.
	source *Stage
	closed bool // the server has sent the end of the answer
	// step and transit track the times of the stage's steps and of the link to it.
	step    pace
	transit pace
	// wasMoved means that the stage was moved here because it, or one of its links, was slow.
	wasMoved bool
}

// Stream is the state machine of one draft over a chain of stages. Its methods take the time
// and an event, and return the actions to carry out.
//
// Each change of the chain starts a new attempt, in which all stages are connected again:
// first the ones that keep their session, which report their progress, then the replacements.
// Then the first stage is told to start the next token. A stage counts every token that it
// holds or has run as received. The layers of a replacement have therefore run the tokens that
// a later stage has received, and the replacement must not run them again.
type Stream struct {
	request string
	limits  Limits
	end     time.Time

	chain   Chain
	links   []*link
	attempt int
	conns   int
	tokens  *Reassembler
	length  int // most tokens that the answer can have
	text    []string
	total   int // tokens of the answer; -1 until the end frame arrives
	started bool
	ran     bool // a Start was issued in some attempt
	repairs int
	stalls  int
	exclude []string
	reasons map[int]Reason // of the stages that wait for a replacement
	retired []Stage        // moved stages, whose servers may still export their KV cache
	// cancelling counts the cancels that must be confirmed before stages are opened.
	cancelling int
	done       bool
	// moves counts the stages that were moved without a failure; moveAt is the earliest time
	// of the next move.
	moves  int
	moveAt time.Time
	// leaving holds the time since which each leaving server is known to leave.
	leaving map[string]time.Time

	progressAt time.Time
	tokenAt    time.Time
	gap        time.Duration // moving average of the time between two tokens
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
		request: spec.Request,
		limits:  spec.Limits,
		end:     spec.Deadline,
		chain:   slices.Clone(spec.Chain),
		tokens:  NewReassembler(spec.Request, spec.Layers),
		total:   -1,
		attempt: 1,
		reasons: make(map[int]Reason),
		leaving: make(map[string]time.Time),
		length:  spec.MaxTokens,
	}
	for range spec.Chain {
		s.links = append(s.links, &link{isFresh: true})
	}
	return s
}

// Begin starts the stream by opening its stages.
func (s *Stream) Begin(now time.Time) []Action {
	s.progressAt = now
	s.tokenAt = now
	return s.advance(now)
}

// Attempt returns the current attempt.
func (s *Stream) Attempt() int { return s.attempt }

// Next returns the index of the next token to emit.
func (s *Stream) Next() int { return s.tokens.Next() }

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
	i := s.find(conn)
	if i < 0 {
		return nil
	}
	l := s.links[i]
	l.heard = now
	// Every emitted token has passed every stage, so a stage that reports fewer has lost its
	// session.
	if p.Ran < max(l.progress.Ran, s.tokens.Next()) {
		return s.repair(now, i, ReasonSessionLost)
	}
	l.opened = true
	l.isFresh = false
	l.progress = p
	return s.advance(now)
}

// Alive handles the frame that a stage sends periodically to show that it is alive.
func (s *Stream) Alive(now time.Time, conn int, p Progress) []Action {
	i := s.find(conn)
	if i < 0 {
		return nil
	}
	l := s.links[i]
	l.heard = now
	if l.opened && p.Ran > l.progress.Ran {
		s.progressed(now)
	}
	if l.opened && p.Ran >= l.progress.Ran {
		l.progress = p
	}
	return nil
}

// Token handles a token that a stage has sent.
func (s *Stream) Token(now time.Time, conn int, t Token) []Action {
	i := s.find(conn)
	if i < 0 {
		return nil
	}
	s.links[i].heard = now
	tokens, err := s.tokens.Add(t)
	var out []Action
	for _, t := range tokens {
		s.text = append(s.text, t.Text)
		out = append(out, Emit{Token: t})
		out = append(out, s.follow(now, t)...)
	}
	if len(tokens) > 0 {
		s.emitted(now)
	}
	if err != nil {
		return append(out, s.finish(err)...)
	}
	return append(out, s.advance(now)...)
}

func (s *Stream) emitted(now time.Time) {
	gap := now.Sub(s.tokenAt)
	if s.tokens.Next() > 1 {
		s.gap += (gap - s.gap) / 8
	}
	s.tokenAt = now
	s.stalls = 0
	for _, l := range s.links {
		l.resumes = 0
	}
	s.progressed(now)
}

func (s *Stream) progressed(now time.Time) { s.progressAt = now }

// End handles the frame that ends the answer, which has count tokens.
func (s *Stream) End(now time.Time, conn, count int) []Action {
	i := s.find(conn)
	if i < 0 {
		return nil
	}
	s.links[i].heard = now
	s.links[i].closed = true
	if count < s.tokens.Next() {
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
	for i, l := range s.links {
		if l.conn != 0 {
			out = append(out, Close{Conn: l.conn})
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
