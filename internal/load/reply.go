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

// Request is one attempt of a request, as a caller sends it.
type Request struct {
	Instance  string
	Workspace string
	// Service is a draft service when MaxTokens is above 0, else a plain service.
	Service   string
	Prompt    string
	MaxTokens int
	// Key is the idempotency key, or "" for none.
	Key      string
	Deadline time.Duration
}

// Reply is the result of an attempt.
type Reply struct {
	Outcome outcome.Outcome
	Code    outcome.Code
	// RetryAfter is the time after which the caller was asked to retry, or 0.
	RetryAfter time.Duration
	// Tokens holds the arrival time of each token of the answer, since the attempt began.
	Tokens []time.Duration
	// Took is the duration of the attempt.
	Took time.Duration
	// Violation describes how the answer violated a guarantee, or is "".
	Violation string
}

// errorReply is the body of an error response.
type errorReply struct {
	Error struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Code         outcome.Code    `json:"code"`
		RetryAfterMs int64           `json:"retry_after_ms"`
	} `json:"error"`
}

// Do sends one request and returns the reply. If the connection fails before the answer is
// complete, the outcome is unknown.
func Do(ctx context.Context, req Request) Reply {
	start := time.Now()
	r := do(ctx, req, start)
	r.Took = time.Since(start)
	return r
}

func do(ctx context.Context, req Request, start time.Time) Reply {
	path := caller.PathServices + req.Service
	body := []byte(req.Prompt)
	if req.MaxTokens > 0 {
		path = caller.PathCompletions
		// Encoding can't fail, since the map holds only strings, numbers and booleans.
		body, _ = json.Marshal(map[string]any{"model": req.Service, "prompt": req.Prompt, "max_tokens": req.MaxTokens, "stream": true})
	}
	o := Options{Workspace: req.Workspace, Deadline: req.Deadline}
	resp, closeConn, err := post(ctx, req.Instance, path, o, req.Key, body)
	if err != nil {
		return Reply{Outcome: outcome.Unknown, Code: outcome.CodeInterrupted}
	}
	defer closeConn()
	if resp.StatusCode() != fasthttp.StatusOK {
		answer, _ := io.ReadAll(resp.BodyStream())
		return parseRefusal(answer)
	}
	if req.MaxTokens == 0 {
		if _, err := io.ReadAll(resp.BodyStream()); err != nil {
			return Reply{Outcome: outcome.Unknown, Code: outcome.CodeInterrupted}
		}
		return Reply{Outcome: outcome.Answered}
	}
	return readDraft(req, bufio.NewReaderSize(resp.BodyStream(), readBufferBytes), start)
}

func parseRefusal(answer []byte) Reply {
	var e errorReply
	if json.Unmarshal(answer, &e) != nil || e.Error.Outcome == "" {
		return Reply{Outcome: outcome.Unknown, Violation: "error response without an outcome: " + string(answer)}
	}
	return Reply{Outcome: e.Error.Outcome, Code: e.Error.Code, RetryAfter: time.Duration(e.Error.RetryAfterMs) * time.Millisecond}
}

// readDraft reads a stream and checks that each token belongs to the request.
func readDraft(req Request, in *bufio.Reader, start time.Time) Reply {
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
			if len(r.Tokens) != req.MaxTokens {
				r.Violation = "the stream ended with the wrong number of tokens"
			}
			return r
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil {
			r.Violation = "malformed event: " + data
			return r
		}
		switch {
		case e.Error != nil:
			r.Outcome = outcome.Outcome(e.Error.Outcome)
			r.Code = outcome.Code(e.Error.Code)
			return r
		case len(e.Choices) == 0:
			r.Violation = "malformed event: " + data
			return r
		case e.Choices[0].FinishReason == "":
			if e.Choices[0].Text != emulate.TokenText(req.Prompt, len(r.Tokens)) {
				r.Violation = "a token does not match the prompt"
				return r
			}
			r.Tokens = append(r.Tokens, time.Since(start))
		}
	}
}
