package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/valyala/fasthttp"
)

// Request is one request as a caller sends it.
type Request struct {
	Instance  string
	Workspace string
	// Service is a draft service when MaxTokens is above 0, else a plain service.
	Service   string
	Prompt    string
	MaxTokens int
	// Key is the idempotency key, "" for none.
	Key      string
	Deadline time.Duration
}

// Reply is what the caller got.
type Reply struct {
	Outcome outcome.Outcome
	Code    outcome.Code
	// RetryAfter is when the caller was asked to come back, 0 when it was not.
	RetryAfter time.Duration
	// Tokens is the number of tokens of the answer, each at its time since the send.
	Tokens []time.Duration
	Took   time.Duration
	// Violation tells how the answer broke a promise, or "".
	Violation string
}

// errorReply is an answer that names an error.
type errorReply struct {
	Error struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Code         outcome.Code    `json:"code"`
		RetryAfterMs int64           `json:"retry_after_ms"`
	} `json:"error"`
}

// Do sends one request and returns what came back.
func Do(ctx context.Context, s Request) Reply {
	start := time.Now()
	r := do(ctx, s, start)
	r.Took = time.Since(start)
	return r
}

func do(ctx context.Context, s Request, start time.Time) Reply {
	path := caller.PathServices + s.Service
	body := []byte(s.Prompt)
	if s.MaxTokens > 0 {
		path = caller.PathCompletions
		// The map holds only plain values, which always encode.
		body, _ = json.Marshal(map[string]any{"model": s.Service, "prompt": s.Prompt, "max_tokens": s.MaxTokens, "stream": true})
	}
	o := Options{Workspace: s.Workspace, Deadline: s.Deadline}
	resp, closeConn, err := post(ctx, s.Instance, path, o, s.Key, body)
	if err != nil {
		return Reply{Outcome: outcome.Unknown, Code: outcome.CodeInterrupted}
	}
	defer closeConn()
	if resp.StatusCode() != fasthttp.StatusOK {
		answer, _ := io.ReadAll(resp.BodyStream())
		return refused(answer)
	}
	if s.MaxTokens == 0 {
		if _, err := io.ReadAll(resp.BodyStream()); err != nil {
			return Reply{Outcome: outcome.Unknown, Code: outcome.CodeInterrupted}
		}
		return Reply{Outcome: outcome.Answered}
	}
	return readDraft(s, bufio.NewReaderSize(resp.BodyStream(), maxLine), start)
}

func refused(answer []byte) Reply {
	var e errorReply
	if json.Unmarshal(answer, &e) != nil || e.Error.Outcome == "" {
		return Reply{Outcome: outcome.Unknown, Violation: "an answer without an outcome: " + string(answer)}
	}
	return Reply{Outcome: e.Error.Outcome, Code: e.Error.Code, RetryAfter: time.Duration(e.Error.RetryAfterMs) * time.Millisecond}
}

// readDraft reads a stream and checks that each token is the request's own.
func readDraft(s Request, in *bufio.Reader, start time.Time) Reply {
	var r Reply
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			r.Outcome = outcome.Unknown
			r.Code = outcome.CodeInterrupted
			return r
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Outcome = outcome.Answered
			if len(r.Tokens) != s.MaxTokens {
				r.Violation = "the end mark came before the last token"
			}
			return r
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil {
			r.Violation = "an event that can't be read: " + data
			return r
		}
		switch {
		case e.Error != nil:
			r.Outcome = outcome.Outcome(e.Error.Outcome)
			r.Code = outcome.Code(e.Error.Code)
			return r
		case e.Choices[0].FinishReason == "":
			if e.Choices[0].Text != emulate.Word(s.Prompt, len(r.Tokens)) {
				r.Violation = "a token that is not the request's own"
				return r
			}
			r.Tokens = append(r.Tokens, time.Since(start))
		}
	}
}
