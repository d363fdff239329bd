package dispatch

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// turnAway refuses a call with a Retry-After header.
func turnAway(w http.ResponseWriter, retryAfter string) {
	w.Header().Set(backend.HeaderRetryAfter, retryAfter)
	w.Header().Set(backend.HeaderOutcome, backend.OutcomeNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against calls to a server that has said in an answer that it leaves.
func TestNoCallReachesServerThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	leaving := startPlainServer(t, "leaving", func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set(backend.HeaderLeaving, "1")
		_, _ = w.Write([]byte("leaving"))
	})
	staying := startPlainServer(t, "staying", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("staying")) })
	d := newPlainDispatcher(leaving, staying)
	for i := 0; arrivals.Load() == 0; i++ {
		_, refusal := d.Call(t.Context(), stockCall("first "+strconv.Itoa(i)))
		is.True(refusal == nil)
	}
	before := arrivals.Load()
	for i := range 100 {
		answer, refusal := d.Call(t.Context(), stockCall(strconv.Itoa(i)))
		is.True(refusal == nil)
		is.Equal(string(answer.Body), "staying")
	}
	is.Equal(arrivals.Load(), before)
	is.Equal(d.leaving(), []string{"leaving"}) // running drafts move away, and its end is no crash
	is.True(!slices.ContainsFunc(d.available(), func(s fleet.BackendServer) bool { return s.Name == "leaving" }))
}

// Guards against calls during the pause that a server has asked for, and against callers that are told to
// return before its end.
func TestServerThatWantsNothingGetsNothing(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	pausing := startPlainServer(t, "pausing", func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		turnAway(w, "30")
	})
	d := newPlainDispatcher(pausing)
	var group sync.WaitGroup
	_, refusal := d.Call(t.Context(), stockCall("first"))
	is.True(refusal != nil)
	for i := range 8 {
		group.Go(func() {
			for k := range 20 {
				_, refusal := d.Call(t.Context(), stockCall(strconv.Itoa(i)+" "+strconv.Itoa(k)))
				if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.RetryAfter < 20*time.Second || refusal.RetryAfter > 31*time.Second {
					t.Errorf("refusal %+v", refusal)
				}
			}
		})
	}
	group.Wait()
	is.Equal(arrivals.Load(), int64(1))
}

// Guards against the refusal of calls that could be served after a short pause, and against a server that
// gets nothing any more after it.
func TestServerGetsCallsAgainAfterItsPause(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	d := newPlainDispatcher(startPlainServer(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		if arrivals.Add(1) == 1 {
			turnAway(w, "0.1")
			return
		}
		_, _ = w.Write([]byte("served"))
	}))
	_, refusal := d.Call(t.Context(), stockCall("first"))
	is.True(refusal != nil) // no other server
	for i := range 20 {
		answer, refusal := d.Call(t.Context(), stockCall(strconv.Itoa(i)))
		is.True(refusal == nil)
		is.Equal(string(answer.Body), "served")
	}
}

// changingFleet is a fleet that changes during a test.
type changingFleet struct {
	mu      sync.Mutex
	ready   []fleet.BackendServer
	leaving []string
}

func (f *changingFleet) Available() []fleet.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

func (f *changingFleet) Leaving() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

func (f *changingFleet) set(ready []fleet.BackendServer, leaving ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready, f.leaving = ready, leaving
}

// Guards against an old announcement that wins against the answer, a drain that is taken back but still
// counts, and a report that counts for the next incarnation.
func TestLeavingEndsByDrainTakenBackOrRestart(t *testing.T) {
	is := is.New(t)
	a := fleet.BackendServer{Name: "a", Incarnation: 1, Sequence: 5, Services: []string{"stock"}}
	f := &changingFleet{}
	d := New("kandy-1", "kandy", f, nil, noCredits{}, logr.Discard())
	at := func(incarnation, sequence uint64) []fleet.BackendServer {
		s := a
		s.Incarnation, s.Sequence = incarnation, sequence
		return []fleet.BackendServer{s}
	}
	count := func(ready []fleet.BackendServer, leaving ...string) int {
		f.set(ready, leaving...)
		d.applyAnnouncements(time.Now())
		return len(d.available())
	}
	f.set(at(1, 5))
	d.recordSelfReport("r", a, backend.SelfReport{IsLeaving: true})
	is.Equal(count(at(1, 5)), 0)
	is.Equal(count(at(1, 6)), 0) // may have been sent before the answer
	is.Equal(count(nil, "a"), 0)
	is.Equal(count(at(1, 8)), 1)
	d.recordSelfReport("r", at(1, 8)[0], backend.SelfReport{IsLeaving: true})
	is.Equal(count(at(1, 9)), 0)
	is.Equal(count(at(2, 1)), 1)
}

// startEngines runs emulated engines that hold all layers of the model "m".
func startEngines(t *testing.T, names ...string) []fleet.BackendServer {
	t.Helper()
	var servers []fleet.BackendServer
	for _, name := range names {
		servers = append(servers, fleet.BackendServer{
			Name: name, Incarnation: 7, Sequence: 1, Address: freeAddress(t), DataCentre: "kandy", Slots: 4,
			Model: "m", Layers: fleet.Range{To: 4}, StepMicros: 1000, PrefillMicros: 10,
		})
	}
	f := emulate.NewFleet(emulate.Options{Servers: servers})
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
	for _, s := range servers {
		for {
			if c, err := net.Dial("tcp", s.Address); err == nil {
				_ = c.Close()
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return servers
}

// runDraft runs a draft to its end and returns the last event.
func runDraft(t *testing.T, d *Dispatcher, id string) DraftEvent {
	t.Helper()
	events := d.Draft(t.Context(), Draft{
		Request: Request{
			ID:        id,
			Service:   settings.Service{Name: "m", Kind: settings.ServiceDraft, Model: "m", Layers: 4},
			Workspace: settings.Workspace{Name: "kandy", Member: "kandy"},
			Deadline:  time.Now().Add(20 * time.Second),
		},
		Prompt: "prompt " + id, PromptTokens: 4, MaxTokens: 4,
	})
	for e := range events.Items() {
		if e.Done || e.Err != nil {
			return e
		}
	}
	return DraftEvent{}
}

// choiceLog keeps the log lines of a dispatcher.
type choiceLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *choiceLog) add(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// chosen returns how often a server was chosen for a draft.
func (l *choiceLog) chosen(server string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, "\"chose chain\"") && strings.Contains(line, "\""+server+"\"") {
			n++
		}
	}
	return n
}

// Guards against new drafts on an engine that has said in an answer that it leaves, and against the end of
// the draft in whose answer it said so.
func TestNoDraftReachesEngineThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	servers := startEngines(t, "leaving", "staying")
	is.NoErr(emulate.SetFault(servers[0].Address, emulate.Fault{Kind: emulate.FaultLeavingInAnswers}))
	time.Sleep(50 * time.Millisecond) // the fault takes effect a little later
	log := &choiceLog{}
	d := New("kandy-1", "kandy", fixedFleet(servers), nil, noCredits{}, funcr.New(log.add, funcr.Options{}))
	for i := 0; len(d.leaving()) == 0; i++ {
		is.True(runDraft(t, d, "first "+strconv.Itoa(i)).Done)
	}
	before := log.chosen("leaving")
	is.True(before > 0)
	for i := range 20 {
		is.True(runDraft(t, d, strconv.Itoa(i)).Done)
	}
	is.Equal(log.chosen("leaving"), before)
}

// Guards against new drafts on an engine during the pause that it has asked for.
func TestNoDraftReachesEngineThatWantsNothing(t *testing.T) {
	is := is.New(t)
	servers := startEngines(t, "pausing", "free")
	is.NoErr(emulate.SetFault(servers[0].Address, emulate.Fault{Kind: emulate.FaultRefuse, Millis: 30_000}))
	time.Sleep(50 * time.Millisecond) // the fault takes effect a little later
	log := &choiceLog{}
	d := New("kandy-1", "kandy", fixedFleet(servers), nil, noCredits{}, funcr.New(log.add, funcr.Options{}))
	for i := 0; log.chosen("pausing") == 0; i++ {
		is.True(runDraft(t, d, "first "+strconv.Itoa(i)).Done)
	}
	for i := range 20 {
		is.True(runDraft(t, d, strconv.Itoa(i)).Done)
	}
	is.Equal(log.chosen("pausing"), 1)
	// Without another engine, callers learn when to return.
	d = New("kandy-2", "kandy", fixedFleet(servers[:1]), nil, noCredits{}, logr.Discard())
	is.True(runDraft(t, d, "alone 1").Err != nil)
	refusal := runDraft(t, d, "alone 2").Err
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.True(refusal.RetryAfter > 20*time.Second)
}
