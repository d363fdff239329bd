package pipeline

import (
	"fmt"

	"github.com/balsamlb/balsamlb/fleet"
)

// Pass says that a server ran a range of layers for a token.
type Pass struct {
	Server string      `json:"server"`
	Layers fleet.Range `json:"layers"`
}

// Token is one token as the last stage sends it.
type Token struct {
	Request string
	Attempt int
	Index   int
	Text    string
	Passed  []Pass
}

// maxReorder bounds the tokens that are held until the ones before them arrive.
const maxReorder = 64

// CoverageError means that a token did not pass every layer exactly once, in order.
type CoverageError struct {
	Request string
	Index   int
	Layer   int
}

func (e *CoverageError) Error() string {
	return fmt.Sprintf("pipeline: token %d of %s did not pass layer %d exactly once, in order", e.Index, e.Request, e.Layer)
}

// OrderError means that more tokens arrived out of order than may be held.
type OrderError struct {
	Request string
	Missing int
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("pipeline: token %d of %s is missing", e.Missing, e.Request)
}

// Stream puts the tokens of one request in order and checks each one.
type Stream struct {
	request string
	attempt int
	layers  int
	next    int
	held    map[int]Token
}

// NewStream returns the stream of a request over a model with the given layers.
func NewStream(request string, layers int) *Stream {
	return &Stream{request: request, attempt: 1, layers: layers, held: make(map[int]Token)}
}

// Attempt returns the attempt whose tokens are taken.
func (s *Stream) Attempt() int { return s.attempt }

// Next returns the index of the next token to emit.
func (s *Stream) Next() int { return s.next }

// Token takes a token and returns those that can be emitted now. Tokens of another request,
// of an older attempt or with an index that was emitted already are dropped.
func (s *Stream) Token(t Token) ([]Token, error) {
	if t.Request != s.request || t.Attempt != s.attempt || t.Index < s.next {
		return nil, nil
	}
	if err := s.checkCoverage(t); err != nil {
		return nil, err
	}
	s.held[t.Index] = t
	var out []Token
	for {
		t, ok := s.held[s.next]
		if !ok {
			break
		}
		delete(s.held, s.next)
		s.next++
		out = append(out, t)
	}
	if len(s.held) > maxReorder {
		return out, &OrderError{Request: s.request, Missing: s.next}
	}
	return out, nil
}

// IsComplete reports whether all tokens up to count were emitted.
func (s *Stream) IsComplete(count int) bool { return s.next == count }

func (s *Stream) checkCoverage(t Token) error {
	at := 0
	for _, p := range t.Passed {
		if p.Layers.From != at || p.Layers.To <= at {
			return &CoverageError{Request: s.request, Index: t.Index, Layer: at}
		}
		at = p.Layers.To
	}
	if at != s.layers {
		return &CoverageError{Request: s.request, Index: t.Index, Layer: at}
	}
	return nil
}
