// Package emulate stands in for model engines and plain services, so that the system can be
// run and measured without accelerators.
//
// An engine batches continuously: it takes what is waiting, up to its slots, spends the time
// of one step, and passes each token to the next stage. The last stage sends the token to
// the instance and starts the next one at the first stage. Engines count what they run.
package emulate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/cespare/xxhash/v2"
)

const (
	// queueSize bounds the work that waits at an engine; more is dropped and the request
	// fails.
	queueSize = 4096
	// frameBuffer bounds the frames that wait for the instance.
	frameBuffer = 8192
	// batchSlowdown is the share by which each further request slows a step.
	batchSlowdown = 0.03
	// resumeWindow is how long a session outlives its connection.
	resumeWindow = 3 * time.Second
)

// hop passes a token from one stage to the next.
type hop struct {
	Request string          `json:"request"`
	Attempt int             `json:"attempt"`
	Index   int             `json:"index"`
	Stage   int             `json:"stage"`
	Passed  []pipeline.Pass `json:"passed"`
}

// session is one request at one stage.
type session struct {
	open backend.StageOpen
	// next is the index of the first token that this stage has not run.
	next   int
	frames chan backend.Frame
	closed time.Time // when the connection ended, zero while it is open
}

// engine emulates one backend server.
type engine struct {
	self   fleet.BackendServer
	fleet  *Fleet
	counts *Counts
	queue  *ring.Ring[hop]
	// requests and faults concern plain calls.
	requests *requestLog
	faults   callFaults

	mu       sync.Mutex
	sessions map[string]*session
	running  int
	sequence uint64
	leaving  bool
}

func newEngine(self fleet.BackendServer, f *Fleet) *engine {
	return &engine{
		self:     self,
		fleet:    f,
		counts:   f.counts,
		queue:    ring.New[hop](queueSize),
		requests: newRequestLog(),
		sessions: make(map[string]*session),
	}
}

// run batches the waiting work until ctx ends.
func (e *engine) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-e.queue.Items():
			batch := append([]hop{h}, e.queue.Drain(e.self.Slots-1)...)
			e.step(ctx, batch)
		}
	}
}

// step runs a batch, which takes as long as its prefills and one decoding step together.
func (e *engine) step(ctx context.Context, batch []hop) {
	var cost time.Duration
	var decode time.Duration
	e.setRunning(len(batch))
	for _, h := range batch {
		d, prefill := e.cost(h)
		decode = max(decode, d)
		cost += prefill
	}
	slowdown := 1 + batchSlowdown*float64(len(batch)-1)
	cost += time.Duration(float64(decode) * slowdown)
	select {
	case <-time.After(cost):
	case <-ctx.Done():
		return
	}
	e.setRunning(0)
	for _, h := range batch {
		e.finish(h)
	}
}

func (e *engine) setRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = n
}

// cost returns the time of one decoding step for the hop, and of its prefill.
func (e *engine) cost(h hop) (decode, prefill time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[h.Request]
	if !ok {
		return 0, 0
	}
	layers := s.open.Chain[s.open.Stage].Layers.Len()
	part := float64(layers) / float64(e.self.Layers.Len())
	decode = time.Duration(float64(e.self.StepMicros)*part) * time.Microsecond
	if h.Index == 0 {
		prefill = time.Duration(float64(e.self.PrefillMicros*s.open.PromptTokens)*part) * time.Microsecond
	}
	return decode, prefill
}

// accept queues a hop, or passes it on at once when this stage has run the token before.
func (e *engine) accept(h hop) {
	e.mu.Lock()
	s, ok := e.sessions[h.Request]
	current := ok && s.open.Attempt == h.Attempt
	done := current && h.Index < s.next
	e.mu.Unlock()
	switch {
	case !current:
		return
	case done:
		e.forward(h)
	case !e.queue.Offer(h):
		e.fail(h.Request, "the queue is full")
	}
}

// finish counts the layers and passes the token on.
func (e *engine) finish(h hop) {
	e.mu.Lock()
	s, ok := e.sessions[h.Request]
	if !ok || s.open.Attempt != h.Attempt || h.Index != s.next {
		e.mu.Unlock()
		return
	}
	s.next++
	layers := s.open.Chain[s.open.Stage].Layers
	e.mu.Unlock()
	e.counts.ran(h.Request, h.Index, layers)
	e.forward(h)
}

// forward passes the token to the next stage, or to the instance from the last one.
func (e *engine) forward(h hop) {
	e.mu.Lock()
	s, ok := e.sessions[h.Request]
	if !ok || s.open.Attempt != h.Attempt {
		e.mu.Unlock()
		return
	}
	open := s.open
	e.mu.Unlock()
	pass := pipeline.Pass{Server: e.self.Name, Layers: open.Chain[open.Stage].Layers}
	h.Passed = append(append([]pipeline.Pass(nil), h.Passed...), pass)
	h.Stage = open.Stage + 1
	if h.Stage < len(open.Chain) {
		e.fleet.deliver(e.self, open.Chain[h.Stage].Address, h)
		return
	}
	e.emit(s, backend.Frame{
		Kind:    backend.FrameToken,
		Request: h.Request,
		Attempt: h.Attempt,
		Index:   h.Index,
		Text:    Word(open.Prompt, h.Index),
		Passed:  h.Passed,
	})
	if h.Index+1 == open.MaxTokens {
		e.emit(s, backend.Frame{Kind: backend.FrameEnd, Request: h.Request, Attempt: h.Attempt, Tokens: open.MaxTokens})
		return
	}
	e.fleet.deliver(e.self, open.Chain[0].Address, hop{Request: h.Request, Attempt: h.Attempt, Index: h.Index + 1})
}

func (e *engine) emit(s *session, f backend.Frame) {
	select {
	case s.frames <- f:
	default:
		// The instance is too far behind; it will see the missing index.
	}
}

func (e *engine) fail(request, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[request]; ok {
		e.emit(s, backend.Frame{Kind: backend.FrameError, Request: request, Attempt: s.open.Attempt, Message: message})
	}
}

// openSession starts a session, or moves an existing one to a new attempt.
func (e *engine) openSession(open backend.StageOpen) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &session{open: open, next: open.From, frames: make(chan backend.Frame, frameBuffer)}
	if old, ok := e.sessions[open.Request]; ok {
		s.next = old.next
	}
	e.sessions[open.Request] = s
	e.dropClosed(time.Now())
	return s
}

// closeSession notes that the connection of a session has ended.
func (e *engine) closeSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.closed = time.Now()
}

func (e *engine) dropClosed(now time.Time) {
	for request, s := range e.sessions {
		if !s.closed.IsZero() && now.Sub(s.closed) > resumeWindow {
			delete(e.sessions, request)
		}
	}
}

func (e *engine) cancel(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, request)
}

// announcement returns what the server says of itself now.
func (e *engine) announcement() fleet.BackendServer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	a := e.self
	a.Sequence = e.sequence
	a.Leaving = e.leaving
	a.Load = fleet.Load{Running: e.running, Queued: len(e.queue.Items())}
	return a
}

// Word returns the text of a token, which depends on the prompt, so that callers can check
// that an answer is their own.
func Word(prompt string, index int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, index))&0xffffff)
}
