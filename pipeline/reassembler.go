package pipeline

import (
	"fmt"

	"github.com/balsamlb/balsamlb/fleet"
)

// Pass records that a server ran a range of layers for a token.
type Pass struct {
	Server string      `json:"server"`
	Layers fleet.Range `json:"layers"`
	// StepMicros is the duration of the step in which the token ran, and LinkMicros is the duration
	// of the transfer of its input. Both are in microseconds, and 0 if the server doesn't report
	// them.
	StepMicros int64 `json:"step_micros,omitempty"`
	LinkMicros int64 `json:"link_micros,omitempty"`
}

// Token is one token of the answer as a backend server sends it.
type Token struct {
	Request string
	Attempt int
	Index   int
	Text    string
	Passed  []Pass
}

// maxReorder bounds the tokens that are buffered until the ones before them arrive.
const maxReorder = 64

// CoverageError means that a token did not pass every layer exactly once, in order.
type CoverageError struct {
	Request string
	Index   int
	Layer   int
}

func (e *CoverageError) Error() string {
	return fmt.Sprintf("pipeline: token %d of request %s did not pass layer %d exactly once, in order", e.Index, e.Request, e.Layer)
}

// OrderError means that more tokens arrived out of order than may be buffered.
type OrderError struct {
	Request string
	Missing int
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("pipeline: token %d of request %s is missing", e.Missing, e.Request)
}

// Reassembler puts the tokens of one request in order and checks that each one passed every
// layer. It is not safe for concurrent use.
type Reassembler struct {
	request  string
	attempt  int
	layers   int
	next     int
	buffered map[int]Token
}

// NewReassembler returns a reassembler for a request to a model with the given number of
// layers. It accepts the tokens of attempt 1.
func NewReassembler(request string, layers int) *Reassembler {
	return &Reassembler{request: request, attempt: 1, layers: layers, buffered: make(map[int]Token)}
}

// SetAttempt sets the attempt whose tokens are accepted from now on, and discards the buffered
// tokens.
func (r *Reassembler) SetAttempt(attempt int) {
	r.attempt = attempt
	clear(r.buffered)
}

// Next returns the index of the next token to emit.
func (r *Reassembler) Next() int { return r.next }

// Add takes a token and returns the ones that can be emitted now. Tokens of another request,
// of another attempt or with an index that was already emitted are dropped. The error is a
// *CoverageError or an *OrderError.
func (r *Reassembler) Add(t Token) ([]Token, error) {
	if t.Request != r.request || t.Attempt != r.attempt || t.Index < r.next {
		return nil, nil
	}
	if err := r.checkCoverage(t); err != nil {
		return nil, err
	}
	if t.Index > r.next+maxReorder {
		return nil, &OrderError{Request: r.request, Missing: r.next}
	}
	r.buffered[t.Index] = t
	var out []Token
	for {
		t, ok := r.buffered[r.next]
		if !ok {
			break
		}
		delete(r.buffered, r.next)
		r.next++
		out = append(out, t)
	}
	return out, nil
}

// IsComplete reports whether all of an answer's count tokens were emitted.
func (r *Reassembler) IsComplete(count int) bool { return r.next == count }

func (r *Reassembler) checkCoverage(t Token) error {
	covered := 0
	for _, p := range t.Passed {
		if p.Layers.From != covered || p.Layers.To <= covered {
			return &CoverageError{Request: r.request, Index: t.Index, Layer: covered}
		}
		covered = p.Layers.To
	}
	if covered != r.layers {
		return &CoverageError{Request: r.request, Index: t.Index, Layer: covered}
	}
	return nil
}
