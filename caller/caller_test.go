package caller

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/intake"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

var update = flag.Bool("update", false, "write the golden files")

// fakeDispatcher answers every draft with the given events, and echoes the body of every call.
type fakeDispatcher struct {
	events    []dispatch.DraftEvent
	cancelled chan struct{}
}

func (f *fakeDispatcher) Draft(ctx context.Context, _ dispatch.Draft) *ring.Ring[dispatch.DraftEvent] {
	events := ring.New[dispatch.DraftEvent](len(f.events) + 1)
	for _, e := range f.events {
		events.Offer(e)
	}
	if f.cancelled != nil {
		context.AfterFunc(ctx, func() { close(f.cancelled) })
	}
	return events
}

func (f *fakeDispatcher) Call(_ context.Context, r dispatch.Call) (backend.CallAnswer, *outcome.Error) {
	return backend.CallAnswer{Status: fasthttp.StatusOK, ContentType: "text/plain", Body: r.Body}, nil
}

// admitAll admits every request immediately.
type admitAll struct{}

func (admitAll) Admit(context.Context, dispatch.Request, admission.Size) (func(bool), *outcome.Error) {
	return func(bool) {}, nil
}

const testConfig = `
[limits]
max_body = 2048
max_tokens = 8
[service draft]
kind = draft
model = m
layers = 4
[service stock]
[service booking]
idempotent = false
[service closed]
enabled = false
[workspace kandy]
`

// serve starts a server and returns a function that sends one raw request and formats the
// response.
func serve(t *testing.T, d Dispatcher) func(raw string) string {
	t.Helper()
	return serveOn(t, listen(t, d))
}

func serveOn(t *testing.T, dial func() net.Conn) func(raw string) string {
	return func(raw string) string {
		c := dial()
		defer c.Close()
		go func() { _, _ = c.Write([]byte(raw)) }()
		resp := fasthttp.Response{}
		if err := resp.Read(bufio.NewReader(c)); err != nil {
			t.Fatalf("read answer: %v", err)
		}
		retry := ""
		if v := resp.Header.Peek(fasthttp.HeaderRetryAfter); len(v) > 0 {
			retry = " retry-after " + string(v)
		}
		return fmt.Sprintf("%d %s%s\n%s", resp.StatusCode(), resp.Header.Peek(HeaderOutcome), retry, resp.Body())
	}
}

func listen(t *testing.T, d Dispatcher) func() net.Conn { return listenWith(t, d, nil, nil) }

func listenWith(t *testing.T, d Dispatcher, hasConfig func() bool, unconfirmed func() string) func() net.Conn {
	t.Helper()
	cfg, err := settings.ParseSharedConfig(settings.File{Name: "base.ini", Text: testConfig}, settings.File{})
	if err != nil {
		t.Fatal(err)
	}
	l := fasthttputil.NewInmemoryListener()
	s := NewServer(t.Context(), Options{
		Dispatcher:  d,
		Admitter:    admitAll{},
		Config:      func() settings.SharedConfig { return cfg },
		HasConfig:   hasConfig,
		NewID:       func() string { return "r-1" },
		Metrics:     metrics.New(prometheus.NewRegistry(), func() metrics.State { return metrics.State{} }),
		Log:         logr.Discard(),
		Unconfirmed: unconfirmed,
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return func() net.Conn {
		c, err := l.Dial()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
}

func post(path, body string, headers ...string) string {
	raw := "POST " + path + " HTTP/1.1\r\nHost: test\r\n"
	for _, h := range headers {
		raw += h + "\r\n"
	}
	return raw + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

const kandy = HeaderWorkspace + ": kandy"

func completion(fields string) string {
	return post(PathCompletions, "{"+fields+"}", kandy)
}

// badRequests are requests that must be refused as not run, naming the invalid field.
var badRequests = []struct{ name, raw string }{
	{"no such path", post("/v2/x", "")},
	{"wrong method", "GET " + PathCompletions + " HTTP/1.1\r\nHost: test\r\n\r\n"},
	{"no workspace", post(PathCompletions, `{"model":"draft","prompt":"a","max_tokens":1}`)},
	{"unknown workspace", post(PathCompletions, `{"model":"draft","prompt":"a","max_tokens":1}`, HeaderWorkspace+": nobody")},
	{"malformed JSON", post(PathCompletions, `{"model":`, kandy)},
	{"wrong type", completion(`"model":"draft","prompt":7`)},
	{"body too long", post(PathCompletions, `{"prompt":"`+strings.Repeat("a", 3000)+`"}`, kandy)},
	{"header too long", post(PathCompletions, "{}", "X-Long: "+strings.Repeat("a", 20_000))},
	{"not HTTP", "what is this\r\n\r\n"},
	{"unknown model", completion(`"model":"poem","prompt":"a","max_tokens":1`)},
	{"model is a plain service", completion(`"model":"stock","prompt":"a","max_tokens":1`)},
	{"no prompt", completion(`"model":"draft","prompt":" ","max_tokens":1`)},
	{"no tokens", completion(`"model":"draft","prompt":"a"`)},
	{"too many tokens", completion(`"model":"draft","prompt":"a","max_tokens":9`)},
	{"unknown service", post(PathServices+"cake", "", kandy)},
	{"service closed here", post(PathServices+"closed", "", kandy)},
	{"draft service called as a plain one", post(PathServices+"draft", "", kandy)},
	{"no idempotency key", post(PathServices+"booking", "{}", kandy)},
	{"key too long", post(PathServices+"booking", "{}", kandy, HeaderKey+": "+strings.Repeat("k", 300))},
	{"deadline has passed", post(PathServices+"stock", "", kandy, HeaderDeadline+": 0")},
	{"deadline is no number", post(PathServices+"stock", "", kandy, HeaderDeadline+": soon")},
	{"deadline too far", post(PathServices+"stock", "", kandy, HeaderDeadline+": 999999999999")},
}

func TestBadRequestsNameTheInvalidField(t *testing.T) {
	is := is.New(t)
	send := serve(t, &fakeDispatcher{})
	var out strings.Builder
	for _, r := range badRequests {
		fmt.Fprintf(&out, "%s: %s\n", r.name, send(r.raw))
	}
	checkGolden(is, "bad_requests.golden", out.String())
}

func checkGolden(is *is.I, name, got string) {
	is.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
}

func token(i int) dispatch.DraftEvent {
	return dispatch.DraftEvent{Token: pipeline.Token{Index: i, Text: fmt.Sprintf("t%d ", i)}}
}

func TestAnswersAndFailures(t *testing.T) {
	is := is.New(t)
	failed := dispatch.DraftEvent{Err: &outcome.Error{
		Outcome: outcome.Failed, Code: outcome.CodeServerFailed, Message: "a stage has failed", RetryAfter: 1500 * time.Millisecond,
	}}
	refused := dispatch.DraftEvent{Err: &outcome.Error{
		Outcome: outcome.NotRun, Code: outcome.CodeOverloaded, Message: "full", RetryAfter: 300 * time.Millisecond,
	}}
	streamed := completion(`"model":"draft","prompt":"a","max_tokens":2,"stream":true`)
	whole := completion(`"model":"draft","prompt":"a","max_tokens":2`)
	var out strings.Builder
	for _, c := range []struct {
		name   string
		raw    string
		events []dispatch.DraftEvent
	}{
		{"streamed", streamed, []dispatch.DraftEvent{token(0), token(1), {Done: true}}},
		{"whole", whole, []dispatch.DraftEvent{token(0), token(1), {Done: true}}},
		{"streamed, fails in the middle", streamed, []dispatch.DraftEvent{token(0), failed}},
		{"whole, fails in the middle", whole, []dispatch.DraftEvent{token(0), failed}},
		{"streamed, refused", streamed, []dispatch.DraftEvent{refused}},
		{"plain call", post(PathServices+"stock", "12 barriers", kandy), nil},
	} {
		send := serve(t, &fakeDispatcher{events: c.events})
		fmt.Fprintf(&out, "%s: %s\n", c.name, send(c.raw))
	}
	checkGolden(is, "answers.golden", out.String())
}

func TestDisconnectedCallerCancelsItsDraft(t *testing.T) {
	d := &fakeDispatcher{events: []dispatch.DraftEvent{token(0)}, cancelled: make(chan struct{})}
	c := listen(t, d)()
	if _, err := c.Write([]byte(completion(`"model":"draft","prompt":"a","max_tokens":2,"stream":true`))); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(line, "200") {
		t.Fatalf("answer %q, %v", line, err)
	}
	c.Close()
	<-d.cancelled
}

func FuzzRequests(f *testing.F) {
	for _, r := range badRequests {
		f.Add(r.raw)
	}
	f.Add(completion(`"model":"draft","prompt":"a","max_tokens":2,"stream":true`))
	f.Fuzz(func(t *testing.T, raw string) {
		c := listen(t, &fakeDispatcher{events: []dispatch.DraftEvent{{Done: true}}})()
		_, _ = c.Write([]byte(raw))
		c.Close()
	})
}

// Guards against workspaces that are denied by an instance which has just started: without a configuration, or with one
// that may be too old.
func TestInstanceWithoutANewestConfigurationDeniesNothing(t *testing.T) {
	is := is.New(t)
	var looks atomic.Int64
	late := func() bool { return looks.Add(1) > 3 }
	send := serveOn(t, listenWith(t, &fakeDispatcher{}, late, nil))
	is.True(!strings.Contains(send(post(PathServices+"stock", "{}", kandy)), string(outcome.CodeNotConfigured))) // it has waited
	never := func() bool { return false }
	send = serveOn(t, listenWith(t, &fakeDispatcher{}, never, nil))
	is.True(strings.Contains(send(post(PathServices+"stock", "{}", kandy)), "503 not_run"))
	send = serveOn(t, listenWith(t, &fakeDispatcher{}, nil, func() string { return "may be old" }))
	is.True(strings.Contains(send(post(PathServices+"stock", "{}", HeaderWorkspace+": new")), "503 not_run"))
	is.True(!strings.Contains(send(post(PathServices+"stock", "{}", kandy)), "503")) // it allows what it knows
}

// Refusals for lack of memory are in the protocol's form. With a key they don't promise more than is known.
func TestRefusalsForLackOfMemoryNameTheirOutcome(t *testing.T) {
	cfg, err := settings.ParseSharedConfig(settings.File{Name: "base.ini", Text: strings.Replace(testConfig, "2048", "65536", 1)}, settings.File{})
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(t.Context(), Options{
		Dispatcher: &fakeDispatcher{}, Admitter: admitAll{}, Config: func() settings.SharedConfig { return cfg }, NewID: func() string { return "r-1" },
		Metrics: metrics.New(prometheus.NewRegistry(), func() metrics.State { return metrics.State{} }), Log: logr.Discard(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connguard.GuardFastHTTP(s, Cost)
	guard := connguard.New(connguard.Options{Limits: intake.Limits{Bytes: 300 << 10}, ReadBuffer: MaxHeaderBytes})
	go func() { _ = s.Serve(guard.Listener(l)) }()
	t.Cleanup(func() { _ = l.Close() })
	send := serveOn(t, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	for _, c := range []struct {
		service, fields string
		length          int
		expected        string
	}{
		{"stock", "", 1000, "200 answered"},
		{"stock", "", 60_000, "429 not_run retry-after 1"},
		{"stock", "Idempotency-Key: k\r\n", 60_000, "429 not_run retry-after 1"}, // idempotent
		{"booking", "Idempotency-Key: k\r\n", 60_000, "429 unknown retry-after 1"},
		{"booking", "Idempotency-Key: k\r\nIdempotency-First-Send: true\r\n", 60_000, "429 not_run retry-after 1"},
	} {
		answer := send(fmt.Sprintf("POST /v1/services/%s HTTP/1.1\r\nHost: h\r\nX-Workspace: kandy\r\n%sContent-Length: %d\r\n\r\n%s",
			c.service, c.fields, c.length, strings.Repeat("x", c.length)))
		got, body, _ := strings.Cut(answer, "\n")
		if got != c.expected {
			t.Errorf("%s, %q, %d bytes: %s, not %s", c.service, c.fields, c.length, got, c.expected)
		}
		if strings.HasPrefix(c.expected, "429") && !strings.Contains(body, `"code":"overloaded"`) {
			t.Errorf("%s: %s", c.service, body)
		}
	}
}
