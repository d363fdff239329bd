package dispatch

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// silentTokens is the length of drafts, long enough for a server to fall silent meanwhile.
const silentTokens = 100

// silentRelay passes data on to a backend server. While it is silent, it accepts connections and
// passes nothing on in either direction.
type silentRelay struct {
	target string
	mu     sync.Mutex
	// speaks is closed while the relay is not silent.
	speaks chan struct{}
}

// startRelay starts a relay and returns it with its address.
func startRelay(t *testing.T, target string) (*silentRelay, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &silentRelay{target: target, speaks: make(chan struct{})}
	close(r.speaks)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, l.Addr().String()
}

func (r *silentRelay) serve(c net.Conn) {
	defer c.Close()
	r.await()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	go r.pass(server, c, done)
	go r.pass(c, server, done)
	<-done
}

func (r *silentRelay) pass(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *silentRelay) await() {
	r.mu.Lock()
	speaks := r.speaks
	r.mu.Unlock()
	<-speaks
}

// fallSilent makes the relay silent for a time.
func (r *silentRelay) fallSilent(d time.Duration) {
	speaks := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speaks = speaks
	time.AfterFunc(d, func() { close(speaks) })
}

// silentStage is an emulated backend server behind a relay.
type silentStage struct {
	fleet.BackendServer
	*silentRelay
}

// startStages starts copies of a model that is spread over three servers, and a plain server for
// each copy.
func startStages(t *testing.T, copies int) []silentStage {
	t.Helper()
	var stages []silentStage
	for n := range copies {
		for i := range 3 {
			stages = append(stages, startStage(t, fleet.BackendServer{
				Name: fmt.Sprintf("%c%d", 'a'+i, n), Model: "icing", Layers: fleet.Range{From: 4 * i, To: 4 * (i + 1)}, StepMicros: 2000,
			}))
		}
		stages = append(stages, startStage(t, fleet.BackendServer{Name: fmt.Sprint("p", n), Services: []string{"stock", "booking"}}))
	}
	return stages
}

func startStage(t *testing.T, s fleet.BackendServer) silentStage {
	t.Helper()
	s.Incarnation, s.Sequence, s.Slots, s.DataCentre, s.Address = 7, 1, 8, "kandy", freeAddress(t)
	f := emulate.NewFleet(emulate.Options{Servers: []fleet.BackendServer{s}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for i := 0; ; i++ {
		c, err := net.Dial("tcp", s.Address)
		if err == nil {
			_ = c.Close()
			break
		}
		if i == 400 {
			t.Fatalf("%s does not listen: %v", s.Name, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	relay, address := startRelay(t, s.Address)
	s.Address = address
	return silentStage{s, relay}
}

// described returns the servers of the stages, except for the omitted one.
func described(stages []silentStage, omitted string) []fleet.BackendServer {
	var out []fleet.BackendServer
	for _, s := range stages {
		if s.Name != omitted {
			out = append(out, s.BackendServer)
		}
	}
	return out
}

func icingDraft(deadline time.Duration) Draft {
	return Draft{
		Request: Request{
			ID:        "draft",
			Service:   settings.Service{Name: "advice", Kind: settings.ServiceDraft, Model: "icing", Layers: 12},
			Workspace: settings.Workspace{Name: "kandy", Member: "kandy"},
			Deadline:  time.Now().Add(deadline),
		},
		Prompt: "a cake", PromptTokens: 10, MaxTokens: silentTokens,
	}
}

// readDraft reads the events of a draft, and calls do after some tokens. It returns the last event.
func readDraft(t *testing.T, d *Dispatcher, r Draft, tokens int, do func()) DraftEvent {
	t.Helper()
	next := 0
	for e := range d.Draft(t.Context(), r).Items() {
		if e.Done || e.Err != nil {
			if e.Done && next != silentTokens {
				t.Errorf("the answer has %d tokens", next)
			}
			return e
		}
		if e.Token.Index != next {
			t.Errorf("token %d follows %d others", e.Token.Index, next)
		}
		if next++; next == tokens {
			do()
		}
	}
	return DraftEvent{}
}

// Guards against the incident LOST: a draft ends because a server that no other can replace is silent
// for a while.
func TestDraftOutlastsSilence(t *testing.T) {
	for i := range 3 {
		for _, lasts := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("stage %d for %v", i, lasts), func(t *testing.T) {
				t.Parallel()
				stages := startStages(t, 1)
				d := newPlainDispatcher(described(stages, "")...)
				last := readDraft(t, d, icingDraft(20*time.Second), 10, func() {
					stages[i].fallSilent(lasts)
				})
				if !last.Done {
					t.Errorf("the draft ended: %v", last.Err)
				}
			})
		}
	}
}

// Guards against a draft that is given up before its deadline although its server may go on.
func TestDraftOfSilentServerEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	stages := startStages(t, 1)
	d := newPlainDispatcher(described(stages, "")...)
	r := icingDraft(4 * time.Second)
	last := readDraft(t, d, r, 10, func() { stages[1].fallSilent(time.Until(r.Deadline) + time.Second) })
	is.True(last.Err != nil)
	is.Equal(last.Err.Code, outcome.CodeDeadline)
	is.True(!time.Now().Before(r.Deadline))
}

// Guards against silence that counts as a crash: the lease of a silent server lapses, and the server
// goes on as the same incarnation.
func TestSilentServerOfDraftIsNoCrash(t *testing.T) {
	is := is.New(t)
	stages := startStages(t, 1)
	var s fakeFleet
	s.set(described(stages, "")...)
	d := New("kandy-1", "kandy", &s, nil, noCredits{}, logr.Discard())
	var checker crashChecker
	checker.check(time.Now(), d)
	checked := make(chan struct{})
	last := readDraft(t, d, icingDraft(20*time.Second), 10, func() {
		stages[1].fallSilent(2200 * time.Millisecond)
		time.AfterFunc(2*time.Second, func() {
			defer close(checked)
			s.set(described(stages, stages[1].Name)...) // the lease has lapsed
			checker.check(time.Now(), d)
			s.set(described(stages, "")...)
			checker.check(time.Now().Add(fleetCheckInterval), d)
		})
	})
	<-checked
	is.Equal(len(d.Quarantined()), 0)
	is.True(last.Done)
}

// Guards against a server that gets no new work after it went on.
func TestServerThatGoesOnGetsNewWorkAtOnce(t *testing.T) {
	is := is.New(t)
	stages := startStages(t, 1)
	d := newPlainDispatcher(described(stages, "")...)
	r := icingDraft(20 * time.Second)
	next := 0
	for e := range d.Draft(t.Context(), r).Items() {
		switch next++; next {
		case 10:
			stages[1].fallSilent(1500 * time.Millisecond)
		case silentTokens - 10: // more than are buffered when the silence begins
			is.Equal(len(d.resilience.exclusions(r.fingerprint(), nil)[0]), 0)
		}
		if e.Done || e.Err != nil {
			is.True(e.Done)
			return
		}
	}
}

// Guards against calls that end, or run too often, because their server is silent for a while.
func TestCallOutlastsSilence(t *testing.T) {
	for _, copies := range []int{1, 3} {
		for _, lasts := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d copies for %v", copies, lasts), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var s fakeFleet
				var plain []fleet.BackendServer
				for _, stage := range startStages(t, copies) {
					if len(stage.Services) > 0 {
						plain = append(plain, stage.BackendServer)
						stage.fallSilent(lasts)
					}
				}
				s.set(plain...)
				d := startDispatcher(t, "kandy-1", newFakeControl(), &s, noPeers{})
				stock := make(chan *outcome.Error, 1)
				go func() {
					_, err := d.Call(t.Context(), stockCall("silent"))
					stock <- err
				}()
				_, err := d.Call(t.Context(), bookingCall("r", "k"))
				is.Equal(err, nil)
				is.Equal(<-stock, nil)
				is.Equal(len(d.Quarantined()), 0)
				ran := 0
				for _, server := range plain {
					ran += runCount(t, server, "k")
				}
				is.Equal(ran, 1)
			})
		}
	}
}
