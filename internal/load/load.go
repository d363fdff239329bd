// Package load generates the load of callers, drafts and bookings, and checks every answer.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Options describe a closed load, in which at most Concurrent requests run at a time.
type Options struct {
	// Instances are the callers' addresses of the instances.
	Instances  []string
	Workspace  string
	Drafts     int
	Bookings   int
	MaxTokens  int
	Concurrent int
	Seed       uint64
	Deadline   time.Duration
}

// Result counts the outcomes that the callers saw.
type Result struct {
	Answered int `json:"answered"`
	Tokens   int `json:"tokens"`
	Booked   int `json:"booked"`
	// Duplicates are bookings that were sent twice and got the same answer twice.
	Duplicates int `json:"duplicates"`
	Refused    int `json:"refused"`
	// Violations describes the answers that violated a guarantee, the requests without a complete
	// answer, and the refused bookings.
	Violations []string `json:"broken"`
}

const (
	dialTimeout     = time.Second
	readBufferBytes = 64 << 10
)

type runner struct {
	opts   Options
	mu     sync.Mutex
	result Result
}

// Run sends the load and returns its result.
func Run(ctx context.Context, o Options) Result {
	r := &runner{opts: o}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, o.Concurrent))
	for i := range o.Drafts {
		g.Go(func() error { r.draft(ctx, i); return nil })
	}
	for i := range o.Bookings {
		g.Go(func() error { r.bookTwice(ctx, i); return nil })
	}
	_ = g.Wait()
	return r.result
}

func (r *runner) instance(i int) string { return r.opts.Instances[i%len(r.opts.Instances)] }

func (r *runner) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

// draft requests text and checks that the answer is complete and belongs to this request.
func (r *runner) draft(ctx context.Context, i int) {
	prompt := fmt.Sprintf("seed %d draft %d for a wedding cake", r.opts.Seed, i)
	body, _ := json.Marshal(map[string]any{"model": "draft", "prompt": prompt, "max_tokens": r.opts.MaxTokens, "stream": true})
	tokens, status, err := stream(ctx, r.instance(i), r.opts, body)
	if err != nil {
		r.addViolation("draft %d: %v", i, err)
		return
	}
	if status != fasthttp.StatusOK {
		r.mu.Lock()
		r.result.Refused++
		r.mu.Unlock()
		return
	}
	for k, text := range tokens {
		if text != emulate.TokenText(prompt, k) {
			r.addViolation("draft %d: token %d is %q, which does not match the prompt", i, k, text)
			return
		}
	}
	if len(tokens) != r.opts.MaxTokens {
		r.addViolation("draft %d: %d tokens instead of %d", i, len(tokens), r.opts.MaxTokens)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Answered++
	r.result.Tokens += len(tokens)
}

// event is the data of a server-sent event: a token, the end of the text, or an error.
type event struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func stream(ctx context.Context, address string, o Options, body []byte) ([]string, int, error) {
	resp, closeConn, err := post(ctx, address, caller.PathCompletions, o, "", body)
	if err != nil {
		return nil, 0, err
	}
	defer closeConn()
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, resp.StatusCode(), nil
	}
	var tokens []string
	in := bufio.NewReaderSize(resp.BodyStream(), readBufferBytes)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return tokens, 0, eris.Wrap(err, "load: the stream ended without [DONE]")
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, fasthttp.StatusOK, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return tokens, 0, eris.Wrap(err, "load: decode event")
		}
		if e.Error != nil {
			return tokens, 0, eris.Errorf("load: %s: %s: %s", e.Error.Outcome, e.Error.Code, e.Error.Message)
		}
		if e.Choices[0].FinishReason == "" {
			tokens = append(tokens, e.Choices[0].Text)
		}
	}
}

// bookTwice sends a booking twice, to two instances, and checks that both get the same answer.
func (r *runner) bookTwice(ctx context.Context, i int) {
	key := fmt.Sprintf("seed-%d-booking-%d", r.opts.Seed, i)
	body := fmt.Appendf(nil, `{"barriers": %d}`, i)
	var answers [2][]byte
	for attempt := range answers {
		resp, closeConn, err := post(ctx, r.instance(i+attempt), caller.PathServices+"booking", r.opts, key, body)
		if err != nil {
			r.addViolation("booking %d: %v", i, err)
			return
		}
		answer, err := io.ReadAll(resp.BodyStream())
		closeConn()
		if err != nil || resp.StatusCode() != fasthttp.StatusOK {
			r.addViolation("booking %d: status %d: %s", i, resp.StatusCode(), answer)
			return
		}
		answers[attempt] = answer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Booked++
	if bytes.Equal(answers[0], answers[1]) {
		r.result.Duplicates++
		return
	}
	r.result.Violations = append(r.result.Violations, fmt.Sprintf("booking %d: its duplicate got a different answer", i))
}

func post(ctx context.Context, address, path string, o Options, key string, body []byte) (*fasthttp.Response, func(), error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "load: dial %s", address)
	}
	closeConn := func() { _ = conn.Close() }
	_ = conn.SetDeadline(time.Now().Add(o.Deadline))
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(caller.HeaderWorkspace, o.Workspace)
	req.Header.Set(caller.HeaderDeadline, fmt.Sprint(o.Deadline.Milliseconds()))
	if key != "" {
		req.Header.Set(caller.HeaderKey, key)
	}
	req.SetBody(body)
	out := bufio.NewWriter(conn)
	err = req.Write(out)
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		closeConn()
		return nil, nil, eris.Wrapf(err, "load: write to %s", address)
	}
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		closeConn()
		return nil, nil, eris.Wrapf(err, "load: read answer of %s", address)
	}
	return resp, closeConn, nil
}
