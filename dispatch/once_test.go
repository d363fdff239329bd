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

var errLost = errors.New("lost")

// control is one replicated state without replicas. The hooks may fail, wait, or change the
// world before a command is applied or before its result is returned.
type control struct {
	mu       sync.Mutex
	state    *replica.State
	index    uint64
	commands int
	before   func(replica.Command) error
	after    func(replica.Command) error
}

func (c *control) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
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

func (c *control) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands
}

// servers is the fleet as the instances see it.
type servers struct {
	mu   sync.Mutex
	list []fleet.BackendServer
}

func (s *servers) Available() []fleet.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.BackendServer(nil), s.list...)
}

func (s *servers) set(list ...fleet.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

type noCredits struct{}

func (noCredits) Credit(credit.Entry) {}

// everyoneGone takes every other dispatcher for gone.
type everyoneGone struct{}

func (everyoneGone) IsGone(ledger.Dispatcher) bool { return true }

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

// ran returns how often the server ran the key, by its own count.
func ran(t *testing.T, s fleet.BackendServer, key string) int {
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

func newControl() *control { return &control{state: replica.NewState()} }

func startDispatcher(t *testing.T, name string, c *control, s *servers, p Peers) *Dispatcher {
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

func booking(id, key string) Call {
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

func TestWithoutAServerTheLedgerIsAsked(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	_, err := d.Call(t.Context(), booking("a", "k"))
	is.Equal(err.Outcome, outcome.NotRun)
	is.Equal(err.Code, outcome.CodeNoServer)
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	first, err := d.Call(t.Context(), booking("b", "k"))
	is.True(err == nil)
	s.set()
	again, err := d.Call(t.Context(), booking("c", "k"))
	is.True(err == nil)
	is.Equal(string(again.Body), string(first.Body))
	is.Equal(ran(t, server, "k"), 1)
	is.Equal(c.state.Credits.Counts()[credit.Account{Member: "kandy", Kind: "booking"}], uint64(1))
}

func TestWithoutAQuorumOnlyAFirstSendIsToldNotRun(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
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
	d.once.quorum.missed(time.Now().Add(-beginTimeout), time.Now().Add(-time.Second)) // an earlier caller
	_, err := d.Call(t.Context(), booking("a", "k"))
	is.Equal(err.Outcome, outcome.Unknown)
	is.Equal(err.Code, outcome.CodeNoQuorum)
	is.True(err.RetryAfter > 0)
	first := booking("b", "l")
	first.FirstSend = true
	_, err = d.Call(t.Context(), first)
	is.Equal(err.Outcome, outcome.NotRun)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(tried, 1) // the second one was refused at once
}

func TestShortDeadlinesTogetherCloseTheGate(t *testing.T) {
	is := is.New(t)
	g := &quorumGate{}
	start := time.Now()
	const wait = beginTimeout / 8
	for i := range 7 {
		at := start.Add(time.Duration(i) * wait)
		g.missed(at, at.Add(wait))
		is.True(g.isOpen())
	}
	g.missed(start.Add(7*wait), start.Add(8*wait))
	is.True(!g.isOpen())
	g.answered()
	is.True(g.isOpen())
	g.missed(start.Add(8*wait), start.Add(9*wait))
	is.True(g.isOpen()) // counted anew
}

func TestABeginWhoseAnswerWasLostDoesNotHoldTheKey(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
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
	_, err := a.Call(t.Context(), booking("a", "k"))
	is.Equal(err.Code, outcome.CodeNoQuorum)
	_, err = b.Call(t.Context(), booking("b", "k"))
	is.True(err == nil)
	is.Equal(ran(t, server, "k"), 1)
}

func TestARefusedOrUnreachedCallIsNotRunAndFreesItsKey(t *testing.T) {
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
			c, s := newControl(), &servers{}
			s.set(server(t))
			d := startDispatcher(t, "kandy-1", c, s, noPeers{})
			_, err := d.Call(t.Context(), booking("a", "k"))
			is.Equal(err.Outcome, outcome.NotRun)
			is.Equal(err.Code, outcome.CodeServerFailed)
			good := startServer(t, "good", false, settings.CallFaults{})
			s.set(good)
			_, err = d.Call(t.Context(), booking("b", "k"))
			is.True(err == nil)
			is.Equal(ran(t, good, "k"), 1)
		})
	}
}

func TestALostAnswerIsUnknownOrLearntAndNeverSentAgain(t *testing.T) {
	for name, resolves := range map[string]bool{"the server can't tell": false, "the server tells": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := newControl(), &servers{}
			server := startServer(t, "s", resolves, settings.CallFaults{LoseEvery: 1})
			s.set(server)
			d := startDispatcher(t, "kandy-1", c, s, noPeers{})
			for _, id := range []string{"a", "b"} {
				answer, err := d.Call(t.Context(), booking(id, "k"))
				is.Equal(err == nil, resolves)
				if !resolves {
					is.Equal(err.Outcome, outcome.Unknown)
					continue
				}
				is.True(len(answer.Body) > 0)
			}
			is.Equal(ran(t, server, "k"), 1)
		})
	}
}

// TestAFrozenDispatcherThatWakesRunsNothingTwice freezes an instance between its grant and
// its dispatch, lets another one settle the request, and wakes it.
func TestAFrozenDispatcherThatWakesRunsNothingTwice(t *testing.T) {
	for name, resolves := range map[string]bool{"the server can't tell": false, "the server bars it": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := newControl(), &servers{}
			server := startServer(t, "s", resolves, settings.CallFaults{})
			s.set(server)
			frozen, wake := make(chan struct{}), make(chan struct{})
			c.after = func(cmd replica.Command) error {
				if cmd.Begin != nil && cmd.Begin.Attempt == "frozen" {
					close(frozen)
					<-wake
				}
				return nil
			}
			a := startDispatcher(t, "kandy-1", c, s, noPeers{})
			b := startDispatcher(t, "kandy-2", c, s, everyoneGone{})
			woken := make(chan *outcome.Error, 1)
			go func() {
				_, err := a.Call(context.Background(), booking("frozen", "k"))
				woken <- err
			}()
			<-frozen
			_, err := b.Call(t.Context(), booking("b", "k"))
			is.Equal(err == nil, resolves)
			if !resolves {
				is.Equal(err.Outcome, outcome.Unknown) // at once, never not run
			}
			close(wake)
			err = <-woken
			if resolves {
				is.Equal(err.Outcome, outcome.Unknown) // the key has run meanwhile
			}
			is.Equal(ran(t, server, "k"), 1)
			_, err = b.Call(t.Context(), booking("c", "k"))
			is.True(err == nil) // the outcome is known now
			is.Equal(ran(t, server, "k"), 1)
		})
	}
}

func TestAServerThatBeganToLeaveGetsNothing(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
	leaving := startServer(t, "a-leaving", false, settings.CallFaults{})
	other := startServer(t, "b-other", false, settings.CallFaults{})
	s.set(leaving)
	var once sync.Once
	c.after = func(cmd replica.Command) error {
		once.Do(func() { s.set(other) })
		return nil
	}
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	_, err := d.Call(t.Context(), booking("a", "k"))
	is.True(err == nil)
	is.Equal(ran(t, leaving, "k"), 0)
	is.Equal(ran(t, other, "k"), 1)
	r, _ := c.state.Ledger.Lookup(ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: "k"})
	is.Equal(r.Server.Name, "b-other")
}

func TestDuplicatesWaitWithoutAskingTheLedgerEach(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
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
			answers[i], _ = d.Call(context.Background(), booking(string(rune('A'+i)), "k"))
		})
	}
	wg.Wait()
	for _, answer := range answers {
		is.Equal(string(answer.Body), string(answers[0].Body))
		is.True(len(answer.Body) > 0)
	}
	is.Equal(ran(t, server, "k"), 1)
	is.True(c.count() <= 20) // a Begin and a Finish, and the looks of the other instance
}

func TestAnotherRequestWithTheKeyIsRefused(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	_, err := d.Call(t.Context(), booking("a", "k"))
	is.True(err == nil)
	for _, change := range []func(*Call){
		func(r *Call) { r.Body = []byte("41 barriers") },
		func(r *Call) { r.ContentType = "text/plain" },
	} {
		other := booking("b", "k")
		change(&other)
		_, err = d.Call(t.Context(), other)
		is.Equal(err.Code, outcome.CodeKeyReused)
	}
	is.Equal(ran(t, server, "k"), 1)
}
