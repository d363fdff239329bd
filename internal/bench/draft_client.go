package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const draftDeadline = 30 * time.Second

// arrivals records the times at which the tokens of one draft reached its caller.
type arrivals struct {
	mu    sync.Mutex
	start time.Time
	at    []time.Time
	err   error
}

func newArrivals() *arrivals { return &arrivals{start: time.Now()} }

// add records the arrival of the token with the given index. It ignores every token except the next
// expected one, so that repeated tokens don't count.
func (a *arrivals) add(index int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index == len(a.at) {
		a.at = append(a.at, time.Now())
	}
}

func (a *arrivals) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

func (a *arrivals) failure() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

func (a *arrivals) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.at)
}

// first returns the time to the first token in seconds.
func (a *arrivals) first() float64 { return a.at[0].Sub(a.start).Seconds() }

// gaps returns, for each token that arrived after t, the time since the previous token arrived, in
// seconds.
func (a *arrivals) gaps(t time.Time) []float64 {
	var out []float64
	for i := 1; i < len(a.at); i++ {
		if a.at[i].After(t) {
			out = append(out, a.at[i].Sub(a.at[i-1]).Seconds())
		}
	}
	return out
}

// sendDraft sends a draft to an instance and records when each token arrives.
func sendDraft(ctx context.Context, address, prompt string, tokens int, a *arrivals) {
	err := readDraft(ctx, address, prompt, tokens, a)
	a.fail(err)
}

func readDraft(ctx context.Context, address, prompt string, tokens int, a *arrivals) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(err, "bench: dial instance")
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(draftDeadline))
	if err := writeDraft(conn, address, prompt, tokens); err != nil {
		return err
	}
	resp := fasthttp.Response{StreamBody: true}
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return eris.Wrap(err, "bench: read answer")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("bench: the draft got status %d", resp.StatusCode())
	}
	in := bufio.NewReader(resp.BodyStream())
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return eris.Wrap(err, "bench: the stream ended without [DONE]")
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if err := handleEvent(data, prompt, a); err != nil {
			return err
		}
	}
}

// draftEvent is the data of a server-sent event: a token, an error or neither.
type draftEvent struct {
	Choices []struct {
		Text       string `json:"text"`
		TokenIndex *int   `json:"token_index"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func handleEvent(data, prompt string, a *arrivals) error {
	var e draftEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return eris.Wrap(err, "bench: decode event")
	}
	if e.Error != nil {
		return eris.Errorf("bench: error event in the stream: %s", e.Error.Message)
	}
	if len(e.Choices) == 0 || e.Choices[0].TokenIndex == nil {
		return nil
	}
	index := *e.Choices[0].TokenIndex
	if e.Choices[0].Text != emulate.TokenText(prompt, index) {
		return eris.Errorf("bench: token %d does not match the caller's prompt", index)
	}
	a.add(index)
	return nil
}

func writeDraft(conn net.Conn, address, prompt string, tokens int) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	body, err := json.Marshal(map[string]any{"model": "draft", "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return eris.Wrap(err, "bench: encode draft")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + caller.PathCompletions)
	req.Header.Set(caller.HeaderWorkspace, "kandy")
	req.Header.Set(caller.HeaderDeadline, fmt.Sprint(draftDeadline.Milliseconds()))
	req.SetBody(body)
	out := bufio.NewWriter(conn)
	if err := req.Write(out); err != nil {
		return eris.Wrap(err, "bench: write draft")
	}
	return eris.Wrap(out.Flush(), "bench: write draft")
}
