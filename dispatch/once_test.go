package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

var errLost = errors.New("the command or its result was lost")

// fakeControl is a replicated state with a single copy. The hooks can fail or block a command,
// or change the setup, before the command is applied or before its result is returned.
type fakeControl struct {
	mu       sync.Mutex
	state    *replica.State
	index    uint64
	commands int
	before   func(replica.Command) error
	after    func(replica.Command) error
}

func (c *fakeControl) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	if c.before != nil {
		if err := c.before(cmd); err != nil {
			return replica.Result{}, err
		}
	}
	c.mu.Lock()
	c.index++
	c.commands++
	r := c.state.Apply(c.index, cmd)
	c.mu.Unlock()
	if c.after != nil {
		if err := c.after(cmd); err != nil {
			return replica.Result{}, err
		}
	}
	return r, nil
}

func (c *fakeControl) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands
}

// fakeFleet is a fleet that the test can change; several dispatchers can share it.
type fakeFleet struct {
	mu   sync.Mutex
	list []fleet.BackendServer
}

func (s *fakeFleet) Available() []fleet.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.BackendServer(nil), s.list...)
}

func (s *fakeFleet) set(list ...fleet.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

type noCredits struct{}

func (noCredits) Credit(credit.Entry) {}

// allPeersDown reports every other dispatcher as down.
type allPeersDown struct{}

func (allPeersDown) IsDown(ledger.Dispatcher) bool { return true }

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startServer runs one emulated backend server.
func startServer(t *testing.T, name string, resolves bool, faults settings.CallFaults) fleet.BackendServer {
	s := fleet.BackendServer{
		Name: name, Incarnation: 7, Address: freeAddress(t), DataCentre: "kandy", Slots: 4,
		Services: []string{"booking"}, ResolvesRequests: resolves,
	}
	f := emulate.NewFleet(emulate.Options{
		Servers:    []fleet.BackendServer{s},
		CallFaults: map[string]settings.CallFaults{name: faults},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for range 200 {
		if c, err := net.Dial("tcp", s.Address); err == nil {
			_ = c.Close()
			return s
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the emulated server does not listen")
	return s
}

// runCount returns how often the server ran the call with the key, as counted by the server.
func runCount(t *testing.T, s fleet.BackendServer, key string) int {
	_, body, err := fasthttp.Get(nil, "http://"+s.Address+emulate.PathCounts)
	if err != nil {
		t.Fatal(err)
	}
	var sum emulate.Summary
	if err := json.Unmarshal(body, &sum); err != nil {
		t.Fatal(err)
	}
	for _, c := range sum.Calls {
		if c.Key == key {
			return c.Ran
		}
	}
	return 0
}

func newFakeControl() *fakeControl { return &fakeControl{state: replica.NewState()} }

func startDispatcher(t *testing.T, name string, c *fakeControl, s *fakeFleet, p Peers) *Dispatcher {
	d := New(name, "kandy", s, c, noCredits{}, logr.Discard())
	d.UsePeers(1, p)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = d.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return d
}

func bookingCall(id, key string) Call {
	return Call{
		Request: Request{
			ID:        id,
			Service:   settings.Service{Name: "booking", Kind: settings.ServicePlain},
			Workspace: settings.Workspace{Name: "kandy", Member: "kandy"},
			Deadline:  time.Now().Add(20 * time.Second),
		},
		Key:  key,
		Body: []byte("40 barriers"),
	}
}

func TestWithoutServerLedgerIsStillQueried(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	_, err := d.Call(t.Context(), bookingCall("a", "k"))
	is.Equal(err.Outcome, outcome.NotRun)
	is.Equal(err.Code, outcome.CodeNoServer)
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	first, err := d.Call(t.Context(), bookingCall("b", "k"))
	is.True(err == nil)
	s.set()
	again, err := d.Call(t.Context(), bookingCall("c", "k"))
	is.True(err == nil)
	is.Equal(string(again.Body), string(first.Body))
	is.Equal(runCount(t, server, "k"), 1)
	is.Equal(c.state.Credits.Counts()[credit.Account{Member: "kandy", Kind: "booking"}], uint64(1))
}

func TestWithoutQuorumOnlyFirstSendIsReportedNotRun(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	s.set(startServer(t, "s", false, settings.CallFaults{}))
	var tried int
	var mu sync.Mutex
	c.before = func(cmd replica.Command) error {
		mu.Lock()
		defer mu.Unlock()
		if cmd.Begin != nil && !cmd.Begin.LookupOnly {
			tried++
		}
		return errLost
	}
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	d.once.quorum.recordFailure(time.Now().Add(-beginTimeout), time.Now().Add(-time.Second)) // an earlier caller's request
	_, err := d.Call(t.Context(), bookingCall("a", "k"))
	is.Equal(err.Outcome, outcome.Unknown)
	is.Equal(err.Code, outcome.CodeNoQuorum)
	is.True(err.RetryAfter > 0)
	first := bookingCall("b", "l")
	first.FirstSend = true
	_, err = d.Call(t.Context(), first)
	is.Equal(err.Outcome, outcome.NotRun)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(tried, 1) // the second request was refused immediately
}

func TestSuccessiveShortDeadlinesCloseQuorumGate(t *testing.T) {
	is := is.New(t)
	g := &quorumGate{}
	start := time.Now()
	const wait = beginTimeout / 8
	for i := range 7 {
		at := start.Add(time.Duration(i) * wait)
		g.recordFailure(at, at.Add(wait))
		is.True(g.isOpen())
	}
	g.recordFailure(start.Add(7*wait), start.Add(8*wait))
	is.True(!g.isOpen())
	g.recordSuccess()
	is.True(g.isOpen())
	g.recordFailure(start.Add(8*wait), start.Add(9*wait))
	is.True(g.isOpen()) // the success has reset the wait
}

func TestLostBeginResponseReleasesKey(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	var once sync.Once
	c.after = func(cmd replica.Command) (err error) {
		if cmd.Begin != nil && !cmd.Begin.LookupOnly {
			once.Do(func() { err = errLost })
		}
		return err
	}
	a := startDispatcher(t, "kandy-1", c, s, noPeers{})
	b := startDispatcher(t, "kandy-2", c, s, noPeers{})
	_, err := a.Call(t.Context(), bookingCall("a", "k"))
	is.Equal(err.Code, outcome.CodeNoQuorum)
	_, err = b.Call(t.Context(), bookingCall("b", "k"))
	is.True(err == nil)
	is.Equal(runCount(t, server, "k"), 1)
}

func TestRefusedOrUnsentCallIsNotRunAndReleasesKey(t *testing.T) {
	for name, server := range map[string]func(t *testing.T) fleet.BackendServer{
		"refused": func(t *testing.T) fleet.BackendServer {
			return startServer(t, "bad", false, settings.CallFaults{RefuseEvery: 1})
		},
		"unreached": func(t *testing.T) fleet.BackendServer {
			return fleet.BackendServer{Name: "bad", Incarnation: 1, Address: freeAddress(t), Services: []string{"booking"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := newFakeControl(), &fakeFleet{}
			s.set(server(t))
			d := startDispatcher(t, "kandy-1", c, s, noPeers{})
			_, err := d.Call(t.Context(), bookingCall("a", "k"))
			is.Equal(err.Outcome, outcome.NotRun)
			is.Equal(err.Code, outcome.CodeServerFailed)
			good := startServer(t, "good", false, settings.CallFaults{})
			s.set(good)
			_, err = d.Call(t.Context(), bookingCall("b", "k"))
			is.True(err == nil)
			is.Equal(runCount(t, good, "k"), 1)
		})
	}
}

func TestUnansweredCallIsResolvedOrUnknownAndNeverResent(t *testing.T) {
	for name, resolves := range map[string]bool{"the server can't report": false, "the server reports": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := newFakeControl(), &fakeFleet{}
			server := startServer(t, "s", resolves, settings.CallFaults{LoseEvery: 1})
			s.set(server)
			d := startDispatcher(t, "kandy-1", c, s, noPeers{})
			for _, id := range []string{"a", "b"} {
				answer, err := d.Call(t.Context(), bookingCall(id, "k"))
				is.Equal(err == nil, resolves)
				if !resolves {
					is.Equal(err.Outcome, outcome.Unknown)
					continue
				}
				is.True(len(answer.Body) > 0)
			}
			is.Equal(runCount(t, server, "k"), 1)
		})
	}
}

// An instance is paused between its grant and its dispatch, another one settles the request, and
// then the first one resumes. The request must not run twice.
func TestPausedDispatcherRunsNothingTwiceAfterResuming(t *testing.T) {
	for name, resolves := range map[string]bool{"the server can't report": false, "the server bars it": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := newFakeControl(), &fakeFleet{}
			server := startServer(t, "s", resolves, settings.CallFaults{})
			s.set(server)
			paused, resume := make(chan struct{}), make(chan struct{})
			c.after = func(cmd replica.Command) error {
				if cmd.Begin != nil && cmd.Begin.Attempt == "frozen" {
					close(paused)
					<-resume
				}
				return nil
			}
			a := startDispatcher(t, "kandy-1", c, s, noPeers{})
			b := startDispatcher(t, "kandy-2", c, s, allPeersDown{})
			resumed := make(chan *outcome.Error, 1)
			go func() {
				_, err := a.Call(context.Background(), bookingCall("frozen", "k"))
				resumed <- err
			}()
			<-paused
			_, err := b.Call(t.Context(), bookingCall("b", "k"))
			is.Equal(err == nil, resolves)
			if !resolves {
				is.Equal(err.Outcome, outcome.Unknown) // refused immediately, and never as not run
			}
			close(resume)
			err = <-resumed
			if resolves {
				is.Equal(err.Outcome, outcome.Unknown) // the key's request has run in the meantime
			}
			is.Equal(runCount(t, server, "k"), 1)
			_, err = b.Call(t.Context(), bookingCall("c", "k"))
			is.True(err == nil) // the outcome is known by now
			is.Equal(runCount(t, server, "k"), 1)
		})
	}
}

func TestLeavingServerGetsNoCall(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	leaving := startServer(t, "a-leaving", false, settings.CallFaults{})
	other := startServer(t, "b-other", false, settings.CallFaults{})
	s.set(leaving)
	var once sync.Once
	c.after = func(cmd replica.Command) error {
		once.Do(func() { s.set(other) })
		return nil
	}
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	_, err := d.Call(t.Context(), bookingCall("a", "k"))
	is.True(err == nil)
	is.Equal(runCount(t, leaving, "k"), 0)
	is.Equal(runCount(t, other, "k"), 1)
	r, _ := c.state.Ledger.Lookup(ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: "k"})
	is.Equal(r.Server.Name, "b-other")
}

func TestDuplicatesShareLedgerLookups(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	server := startServer(t, "s", false, settings.CallFaults{CallTime: 300 * time.Millisecond})
	s.set(server)
	a := startDispatcher(t, "kandy-1", c, s, noPeers{})
	b := startDispatcher(t, "kandy-2", c, s, noPeers{})
	const duplicates = 200
	var wg sync.WaitGroup
	answers := make([]backend.CallAnswer, duplicates)
	for i := range duplicates {
		wg.Go(func() {
			d := a
			if i%2 == 1 {
				d = b
			}
			answers[i], _ = d.Call(context.Background(), bookingCall(string(rune('A'+i)), "k"))
		})
	}
	wg.Wait()
	for _, answer := range answers {
		is.Equal(string(answer.Body), string(answers[0].Body))
		is.True(len(answer.Body) > 0)
	}
	is.Equal(runCount(t, server, "k"), 1)
	is.True(c.count() <= 20) // a Begin, a Finish, and the lookups of the other instance
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	_, err := d.Call(t.Context(), bookingCall("a", "k"))
	is.True(err == nil)
	for _, change := range []func(*Call){
		func(r *Call) { r.Body = []byte("41 barriers") },
		func(r *Call) { r.ContentType = "text/plain" },
	} {
		other := bookingCall("b", "k")
		change(&other)
		_, err = d.Call(t.Context(), other)
		is.Equal(err.Code, outcome.CodeKeyReused)
	}
	is.Equal(runCount(t, server, "k"), 1)
}
