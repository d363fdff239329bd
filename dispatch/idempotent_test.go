package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// fixedFleet is a fleet whose backend servers never change.
type fixedFleet []fleet.BackendServer

func (f fixedFleet) Available() []fleet.BackendServer { return f }

// startPlainServer starts a backend server for the service "stock".
func startPlainServer(t *testing.T, name string, h http.HandlerFunc) fleet.BackendServer {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return fleet.BackendServer{
		Name: name, Incarnation: 1, Sequence: 1, Address: s.Listener.Addr().String(), DataCentre: "kandy",
		Services: []string{"stock"}, Slots: 8,
	}
}

func stockCall(body string) Call {
	return Call{
		Request: Request{
			ID:        "r-" + body,
			Service:   settings.Service{Name: "stock", Kind: settings.ServicePlain, Idempotent: true},
			Workspace: settings.Workspace{Name: "kandy", Member: "kandy"},
			Deadline:  time.Now().Add(20 * time.Second),
		},
		Body: []byte(body),
	}
}

func newPlainDispatcher(servers ...fleet.BackendServer) *Dispatcher {
	return New("kandy-1", "kandy", fixedFleet(servers), nil, noCredits{}, logr.Discard())
}

// The first server that gets the call never answers. The hedge to a second one is answered, and
// the first try is cancelled.
func TestSlowCallIsHedgedAndTheLoserCancelled(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	cancelled := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
		if first.CompareAndSwap(false, true) {
			<-r.Context().Done()
			close(cancelled)
			return
		}
		_, _ = w.Write([]byte("answer"))
	}
	d := newPlainDispatcher(startPlainServer(t, "a", handler), startPlainServer(t, "b", handler))
	for range 50 {
		d.resilience.recordLatency("stock", time.Millisecond)
	}
	answer, refusal := d.Call(t.Context(), stockCall("x"))
	is.True(refusal == nil)
	is.Equal(string(answer.Body), "answer")
	<-cancelled
	for d.InFlight("a")+d.InFlight("b") > 0 {
		time.Sleep(time.Millisecond) // the cancelled try releases its server after the answer
	}
}

// Every server closes its connections without an answer. The number of sends stays close to the
// number of calls; three tries for each call would make 300.
func TestRetriesOfCallsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	var sends atomic.Int64
	handler := func(w http.ResponseWriter, _ *http.Request) {
		sends.Add(1)
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = c.Close()
		}
	}
	d := newPlainDispatcher(startPlainServer(t, "a", handler), startPlainServer(t, "b", handler), startPlainServer(t, "c", handler))
	const calls = 100
	for i := range calls {
		_, refusal := d.Call(t.Context(), stockCall(strconv.Itoa(i)))
		is.True(refusal != nil)
		is.Equal(refusal.Outcome, outcome.Failed)
	}
	is.True(sends.Load() <= calls+10+calls/10+2)
}

// A server that refuses connections has not run the call, so it is sent to another server.
func TestCallGoesToAnotherServerWhenOneRefusesConnections(t *testing.T) {
	is := is.New(t)
	up := startPlainServer(t, "up", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	down := up
	down.Name = "down"
	down.Address = "127.0.0.1:1"
	d := newPlainDispatcher(up, down)
	for i := range 20 {
		answer, refusal := d.Call(t.Context(), stockCall(strconv.Itoa(i)))
		is.True(refusal == nil)
		is.Equal(string(answer.Body), "ok")
	}
}

// Guards against the answer not_run while the hedge of a call may be running: the first server refused
// the call, and other instances have put it into quarantine in the meantime.
func TestCallIsNotAnsweredWhileItsHedgeRuns(t *testing.T) {
	is := is.New(t)
	d := newPlainDispatcher()
	r := stockCall("x")
	c := &idempotentCall{d: d, r: r, fingerprint: r.fingerprint(), ctx: t.Context(), tried: []string{"a", "b"}, running: 1}
	now := time.Now()
	d.HandleNotice(now, membership.Notice{
		Kind: membership.NoticeCrash, Fingerprint: uint64(r.fingerprint()), Servers: []string{"c", "d", "e"}, Expires: now.Add(time.Minute),
	})
	is.Equal(d.resilience.check(r.fingerprint()), quarantine.Quarantined)
	failed := callTry{server: fleet.BackendServer{Name: "a"}, err: errRefused}
	is.True(c.handleFailure(failed) == nil) // the hedge may still answer
	c.running = 0
	failed = callTry{server: fleet.BackendServer{Name: "b"}, err: io.ErrUnexpectedEOF}
	refusal := c.handleFailure(failed)
	is.Equal(refusal.Code, outcome.CodeQuarantined)
	is.Equal(refusal.Outcome, outcome.Failed) // it may have run on b
}

// Guards against telling callers that have left that their deadline has passed, while a suspect waits
// for a server of its own.
func TestWaitingSuspectWhoseCallerLeftIsCancelled(t *testing.T) {
	is := is.New(t)
	d := newPlainDispatcher()
	r := stockCall("x")
	now := time.Now()
	d.HandleNotice(now, membership.Notice{
		Kind: membership.NoticeCrash, Fingerprint: uint64(r.fingerprint()), Servers: []string{"c"}, Expires: now.Add(time.Minute),
	})
	is.Equal(d.resilience.check(r.fingerprint()), quarantine.Suspect)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, refusal := d.chooseForCall(ctx, r.Request, r.fingerprint(), nil)
	is.Equal(refusal.Code, outcome.CodeCancelled)
	is.Equal(refusal.Outcome, outcome.NotRun)
	draft := Draft{Request: r.Request, Prompt: "x"}
	d.HandleNotice(now, membership.Notice{
		Kind: membership.NoticeCrash, Fingerprint: uint64(draft.fingerprint()), Servers: []string{"c"}, Expires: now.Add(time.Minute),
	})
	_, refusal = d.chooseForDraft(ctx, draft)
	is.Equal(refusal.Code, outcome.CodeCancelled)
	is.Equal(refusal.Outcome, outcome.NotRun)
}
