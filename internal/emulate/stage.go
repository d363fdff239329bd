package emulate

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/valyala/fasthttp"
)

const (
	aliveInterval = 200 * time.Millisecond
	// linkMargin is added to a link's transfer time when a stage whose upstream server has
	// changed waits for tokens that are still on the way.
	linkMargin = 2 * time.Millisecond
	// reorderDelay is the additional delay of a reordered frame.
	reorderDelay = 2 * time.Millisecond
)

func (e *engine) handleStage(ctx *fasthttp.RequestCtx) {
	var open backend.OpenStageRequest
	if err := json.Unmarshal(ctx.PostBody(), &open); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if open.Stage < 0 || open.Stage >= len(open.Chain) {
		ctx.Error("stage is not in the chain", fasthttp.StatusBadRequest)
		return
	}
	if e.faults.has(FaultRefuse) {
		refuse(ctx)
		e.askForPause(ctx)
		return
	}
	e.faults.crashOnPrompt(open.Prompt)
	s, isNew, upstreamChanged := e.openSession(open)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.closeConn(s)
		sw := &stageWriter{engine: e, session: s, open: open, out: w}
		if isNew {
			e.fillCache(sw)
		}
		if upstreamChanged {
			e.waitForLink(open)
		}
		e.rejectPreviousAttempt(s)
		sw.run()
	})
}

// refuse answers that no part of the request has run.
func refuse(ctx *fasthttp.RequestCtx) {
	ctx.Error("refused", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(backend.HeaderOutcome, "not_run")
}

// askForPause adds the pause that FaultRefuse states to a refusal.
func (e *engine) askForPause(ctx *fasthttp.RequestCtx) {
	if x, ok := e.faults.get(FaultRefuse); ok && x.Millis > 0 {
		ctx.Response.Header.Set(backend.HeaderRetryAfter, strconv.FormatFloat(float64(x.Millis)/1000, 'f', -1, 64))
	}
}

// waitForLink waits for the transfer time from the upstream server and linkMargin, so that tokens
// that are still on the way arrive.
func (e *engine) waitForLink(open backend.OpenStageRequest) {
	from := e.fleet.options.serverFor(upstreamStage(open))
	time.Sleep(e.fleet.options.transferTime(from, e.server, e.fleet.options.ActivationBytes) + linkMargin)
}

// stageWriter sends the frames of one connection of a stage.
type stageWriter struct {
	engine    *engine
	session   *session
	open      backend.OpenStageRequest
	out       *bufio.Writer
	nextIndex int            // index of the next token to send
	delayed   *backend.Frame // held back by FaultReorder, or nil
}

// run sends frames until the stream ends, the connection breaks or the server crashes.
func (w *stageWriter) run() {
	w.engine.mu.Lock()
	w.nextIndex = max(w.open.From, w.session.firstToken)
	w.engine.mu.Unlock()
	if w.send(w.progressFrame(backend.FrameOpened)) != nil {
		return
	}
	if w.open.Stage == 0 && len(w.open.Chain) > 1 {
		if w.sendKnown() != nil {
			return
		}
	}
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		frames, changed, done := w.dueFrames()
		for _, f := range frames {
			if w.sendToken(f) != nil {
				return
			}
		}
		if done {
			return
		}
		select {
		case <-changed:
		case <-w.engine.faults.crashed:
			return
		case <-alive.C:
			if w.send(w.progressFrame(backend.FrameAlive)) != nil {
				return
			}
		}
	}
}

func (w *stageWriter) progressFrame(kind backend.FrameKind) backend.Frame {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	return backend.Frame{
		Kind: kind, Request: w.open.Request, Attempt: w.open.Attempt,
		Received: w.session.received, Ran: w.session.ran, Known: w.session.known,
	}
}

// sendKnown sends the tokens that the first stage received as input. The instance may have missed
// them if the last stage crashed.
func (w *stageWriter) sendKnown() error {
	w.engine.mu.Lock()
	var known []backend.Frame
	for i := w.open.From; i < w.session.known; i++ {
		if f, ok := w.session.tokens[i]; ok {
			known = append(known, f)
		}
	}
	w.engine.mu.Unlock()
	for _, f := range known {
		if err := w.send(f); err != nil {
			return err
		}
	}
	return nil
}

// dueFrames returns the frames that can be sent now, a channel that is closed when there are
// more, and whether the stream ends with these frames.
func (w *stageWriter) dueFrames() ([]backend.Frame, <-chan struct{}, bool) {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	s := w.session
	changed := s.changed
	if s.failure != "" {
		return []backend.Frame{{Kind: backend.FrameError, Message: s.failure}}, changed, true
	}
	if s.ended || s.open.Attempt != w.open.Attempt {
		return nil, changed, true
	}
	if !s.isLast() {
		return nil, changed, false
	}
	var frames []backend.Frame
	for f, ok := s.tokens[w.nextIndex]; ok; f, ok = s.tokens[w.nextIndex] {
		frames = append(frames, f)
		w.nextIndex++
	}
	if w.nextIndex < w.open.MaxTokens {
		return frames, changed, false
	}
	return append(frames, backend.Frame{Kind: backend.FrameEnd, Tokens: w.open.MaxTokens}), changed, true
}

// sendToken sends a frame. It applies the faults of token frames to it.
func (w *stageWriter) sendToken(f backend.Frame) error {
	faults := w.engine.faults
	if f.Kind != backend.FrameToken {
		return w.send(f)
	}
	if err := w.sendFaultyLines(f); err != nil {
		return err
	}
	if faults.has(FaultReorder) && w.delayed == nil && f.Index+1 < w.open.MaxTokens {
		w.delayed = &f
		return nil
	}
	if err := w.send(f); err != nil {
		return err
	}
	if w.delayed != nil {
		time.Sleep(reorderDelay)
		late := *w.delayed
		w.delayed = nil
		return w.send(late)
	}
	if faults.has(FaultDuplicate) {
		return w.send(f)
	}
	return nil
}

// sendFaultyLines sends an extra line before a token if a fault that adds such lines is active. If
// several are active, only the first of them, in the order below, takes effect.
func (w *stageWriter) sendFaultyLines(f backend.Frame) error {
	faults := w.engine.faults
	if faults.has(FaultMalformed) {
		return w.sendLine([]byte("{\"kind\": 7"))
	}
	if faults.has(FaultHuge) {
		return w.sendLine([]byte(strings.Repeat("x", 1<<20)))
	}
	if faults.has(FaultForeign) {
		f.Request = "foreign-" + f.Request
		f.Text = "foreign "
		return w.sendFrame(f)
	}
	if faults.has(FaultOldAttempt) {
		f.Attempt = w.open.Attempt - 1
		f.Request = w.open.Request
		f.Text = "stale "
		return w.sendFrame(f)
	}
	return nil
}

// send sends a frame with this stream's request and attempt.
func (w *stageWriter) send(f backend.Frame) error {
	if x, ok := w.engine.faults.get(FaultLate); ok {
		time.Sleep(time.Duration(x.Millis) * time.Millisecond)
	}
	f.Request = w.open.Request
	f.Attempt = w.open.Attempt
	return w.sendFrame(f)
}

func (w *stageWriter) sendFrame(f backend.Frame) error {
	// A frame holds only plain values, so encoding can't fail.
	line, _ := json.Marshal(f)
	return w.sendLine(line)
}

func (w *stageWriter) sendLine(line []byte) error {
	_, _ = w.out.Write(append(line, '\n'))
	return w.out.Flush()
}
