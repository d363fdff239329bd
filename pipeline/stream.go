package pipeline

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Progress is how far a stage has got.
type Progress struct {
	// Received is the number of tokens whose input the stage holds or has run.
	Received int
	// Ran is the number of tokens that the stage has run.
	Ran int
	// Known is one more than the highest index whose text the stage can send.
	Known int
}

// link is the connection to one stage.
type link struct {
	conn   int // 0 when there is none
	opened bool
	heard  time.Time
	// resumes counts the new connections since the last token.
	resumes  int
	progress Progress
	// isFresh means that the server has no session yet.
	isFresh bool
	// ready is what the KV cache of a fresh one must hold.
	ready int
	// source is the stage that may export the KV cache of a fresh one, or nil.
	source *Stage
	closed bool // the server has ended the stream of tokens
	// step and transit are the times of the stage and of the link to it.
	step    pace
	transit pace
	// wasMoved means that the stage was moved because it, or a link of it, had become slow.
	wasMoved bool
}

// Stream is the life of one draft over a chain of stages.
//
// It is a state machine: methods take the time and an event, and return the actions to carry
// out. Each change of the chain is a new attempt, under which all stages are connected anew:
// first those that keep their session, which say how far they have got, then the replaced
// ones, and then the first stage is told to begin the token that is due. Every token that a
// stage holds or has run is counted by that stage as received, so a replaced stage knows
// which tokens its range has run already: those that a later stage has received.
type Stream struct {
	request string
	limits  Limits
	end     time.Time // deadline

	chain   Chain
	links   []*link
	attempt int
	conns   int
	tokens  *Reassembler
	length  int // most tokens of the answer
	text    []string
	total   int // -1 until the end mark
	started bool
	ran     bool // a start was sent at any time
	repairs int
	stalls  int
	exclude []string
	reasons map[int]Reason // stages that wait for a replacement
	retired []Stage        // servers that may still export a KV cache
	// cancelling counts the servers whose confirmation must come before stages are opened.
	cancelling int
	done       bool
	// moves counts the stages that were moved without a failure, and moveAt is when the next
	// may be.
	moves  int
	moveAt time.Time
	// leaving says since when each server is known to leave.
	leaving map[string]time.Time

	progressAt time.Time
	tokenAt    time.Time
	gap        time.Duration // usual gap between tokens
}

// StreamSpec describes a draft.
type StreamSpec struct {
	Request string
	Layers  int
	// MaxTokens is the most tokens that the answer can have.
	MaxTokens int
	Deadline  time.Time
	Chain     Chain
	Limits    Limits
}

// NewStream returns a stream that has not begun.
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

// Begin opens the stages.
func (s *Stream) Begin(now time.Time) []Action {
	s.progressAt = now
	s.tokenAt = now
	return s.advance(now)
}

// Attempt returns the present attempt.
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

// Opened takes a stage's word that it is ready.
func (s *Stream) Opened(now time.Time, conn int, p Progress) []Action {
	i := s.find(conn)
	if i < 0 {
		return nil
	}
	l := s.links[i]
	l.heard = now
	// Every emitted token has passed every stage.
	if p.Ran < max(l.progress.Ran, s.tokens.Next()) {
		return s.repair(now, i, ReasonLost)
	}
	l.opened = true
	l.isFresh = false
	l.progress = p
	return s.advance(now)
}

// Alive takes a sign of life of a connection.
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

// Token takes a token.
func (s *Stream) Token(now time.Time, conn int, t Token) []Action {
	i := s.find(conn)
	if i < 0 {
		return nil
	}
	s.links[i].heard = now
	tokens, err := s.tokens.Token(t)
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

// End takes the explicit end of the answer, which has count tokens.
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

// CallerGone ends the stream and the work at every stage.
func (s *Stream) CallerGone() []Action { return s.finish(&EndError{}) }

// finish ends the stream; unless the answer is whole, the work ends at every stage.
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
