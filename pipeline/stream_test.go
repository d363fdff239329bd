package pipeline

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	simTokens       = 30
	simLayers       = 12
	serversPerRange = 3
)

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		now:    time.Unix(0, 0),
		rand:   rand.New(rand.NewPCG(seed, 0)),
		conns:  make(map[int]*fakeConn),
		runs:   make(map[[2]int]int),
		tokens: simTokens,
	}
	var chain Chain
	for i, name := range []string{"a", "b", "c"} {
		for n := range serversPerRange {
			s := &fakeServer{sim: sim, name: name + string(rune('0'+n)), layers: fleet.Range{From: 4 * i, To: 4 * (i + 1)}}
			sim.servers = append(sim.servers, s)
			if n == 0 {
				chain = append(chain, s.stage())
			}
		}
	}
	sim.stream = NewStream(StreamSpec{
		Request: "r", Layers: simLayers, MaxTokens: simTokens, Deadline: sim.now.Add(time.Minute),
		Chain: chain, Limits: DefaultLimits(),
	})
	return sim
}

// checkAnswer fails unless the caller got every token once, in order.
func checkAnswer(t *rapid.T, sim *simulation) {
	if !sim.ended {
		t.Fatalf("the stream did not end: %v", sim.log)
	}
	if sim.err != nil {
		t.Fatalf("the stream failed: %v: %v", sim.err, sim.log)
	}
	if len(sim.emitted) != simTokens {
		t.Fatalf("%d tokens were emitted", len(sim.emitted))
	}
	for i, tok := range sim.emitted {
		if tok.Index != i || tok.Text != simText(i) {
			t.Fatalf("emitted token %d is %+v", i, tok)
		}
	}
}

// checkRuns fails unless each layer ran once for each token.
func checkRuns(t *rapid.T, sim *simulation) {
	for index := range simTokens {
		for layer := range simLayers {
			if n := sim.runs[[2]int{layer, index}]; n != 1 {
				t.Fatalf("layer %d of token %d ran %d times: %v", layer, index, n, sim.log)
			}
		}
	}
}

// fault injects a failure at the server that runs the stage when the fault occurs.
type fault func(sim *simulation, stage int)

func crash(sim *simulation, stage int) { sim.server(sim.stream.Servers()[stage]).crash() }

func silence(sim *simulation, stage int) {
	for _, c := range sim.server(sim.stream.Servers()[stage]).conns() {
		c.silent = true
	}
}

func cut(sim *simulation, stage int) {
	for _, c := range sim.server(sim.stream.Servers()[stage]).conns() {
		c.send(func(now time.Time) []Action { return sim.stream.Failed(now, c.id, ReasonClosed) })
	}
}

func badFrame(sim *simulation, stage int) {
	for _, c := range sim.server(sim.stream.Servers()[stage]).conns() {
		c.send(func(now time.Time) []Action { return sim.stream.Failed(now, c.id, ReasonBadFrame) })
	}
}

func slow(sim *simulation, stage int) {
	sim.performAll(sim.stream.move(sim.now, sim.stream.Servers()[stage], ReasonSlow))
}

var faults = map[string]fault{"crash": crash, "silence": silence, "cut": cut, "bad frame": badFrame, "slow": slow}

var faultNames = []string{"bad frame", "crash", "cut", "silence", "slow"}

func inject(sim *simulation, name string, stage int, at time.Duration) {
	sim.after(at, func() {
		if !sim.ended {
			faults[name](sim, stage)
		}
	})
}

func TestOneFaultLosesNoTokenAndRunsEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		name := rapid.SampledFrom(faultNames).Draw(t, "fault")
		at := time.Duration(rapid.IntRange(0, 400_000).Draw(t, "at_us")) * time.Microsecond
		inject(sim, name, rapid.IntRange(0, 2).Draw(t, "stage"), at)
		sim.run(time.Minute)
		checkAnswer(t, sim)
		checkRuns(t, sim)
	})
}

// TestTokensKnownOnlyToTheFirstStageAreNotRunAgain drops the frames of the last stage and then
// crashes its server, so that the texts of some tokens are known only to the first stage.
func TestTokensKnownOnlyToTheFirstStageAreNotRunAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(rapid.IntRange(20_000, 200_000).Draw(t, "at_us")) * time.Microsecond
		inject(sim, "silence", 2, at)
		inject(sim, "crash", 2, at+time.Duration(rapid.IntRange(0, 60_000).Draw(t, "later_us"))*time.Microsecond)
		sim.run(time.Minute)
		checkAnswer(t, sim)
		checkRuns(t, sim)
		if sim.stream.Attempt() > 2 {
			t.Fatalf("one replacement took %d new attempts: %v", sim.stream.Attempt()-1, sim.log)
		}
	})
}

func TestBrokenConnectionIsResumedOnTheSameServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		name := rapid.SampledFrom([]string{"cut", "silence"}).Draw(t, "fault")
		at := time.Duration(rapid.IntRange(20_000, 200_000).Draw(t, "at_us")) * time.Microsecond
		inject(sim, name, rapid.IntRange(0, 2).Draw(t, "stage"), at)
		sim.run(time.Minute)
		checkAnswer(t, sim)
		checkRuns(t, sim)
		if sim.stream.Attempt() != 1 {
			t.Fatalf("a new attempt was started: attempt %d: %v", sim.stream.Attempt(), sim.log)
		}
	})
}

func TestManyFaultsLoseNoToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		crashes := make(map[int]int)
		for range rapid.IntRange(2, 5).Draw(t, "faults") {
			name := rapid.SampledFrom(faultNames).Draw(t, "fault")
			stage := rapid.IntRange(0, 2).Draw(t, "stage")
			at := time.Duration(rapid.IntRange(0, 800_000).Draw(t, "at_us")) * time.Microsecond
			if name != "slow" && name != "cut" {
				crashes[stage]++
			}
			inject(sim, name, stage, at)
		}
		sim.run(time.Minute)
		if crashes[0] < serversPerRange && crashes[1] < serversPerRange && crashes[2] < serversPerRange {
			checkAnswer(t, sim)
		}
		if !sim.ended {
			t.Fatalf("the stream did not end: %v", sim.log)
		}
	})
}

func TestRangeWithoutServersEndsTheStreamAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		stage := rapid.IntRange(0, 2).Draw(t, "stage")
		at := time.Duration(rapid.IntRange(20_000, 200_000).Draw(t, "at_us")) * time.Microsecond
		sim.after(at, func() {
			for _, s := range sim.servers[stage*serversPerRange : (stage+1)*serversPerRange] {
				s.crash()
			}
		})
		sim.run(time.Minute)
		var se *StageError
		if !sim.ended || !errors.As(sim.err, &se) || !se.Ran {
			t.Fatalf("ended %t with error %v, want a StageError with Ran", sim.ended, sim.err)
		}
		if took := sim.now.Sub(time.Unix(0, 0)); took > at+simTick+500*time.Millisecond {
			t.Fatalf("the stream ended only after %v", took)
		}
	})
}

func TestOverloadedStageIsKeptWithoutAReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		stage := rapid.IntRange(0, 2).Draw(t, "stage")
		sim.servers = slices.DeleteFunc(sim.servers, func(s *fakeServer) bool {
			return s.layers.From == 4*stage && s.name[1] != '0'
		})
		extra := time.Duration(rapid.IntRange(1500, 8000).Draw(t, "pause_ms")) * time.Millisecond
		s := sim.server(sim.stream.Servers()[stage])
		sim.after(100*time.Millisecond, func() { s.extraStepTime = extra })
		sim.after(130*time.Millisecond, func() { s.extraStepTime = 0 })
		sim.run(time.Minute)
		checkAnswer(t, sim)
	})
}

func TestDisconnectedCallerCancelsEveryStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(rapid.IntRange(0, 300_000).Draw(t, "at_us")) * time.Microsecond
		cancelled := -1
		sim.after(at, func() {
			sim.performAll(sim.stream.CallerDisconnected())
			// A cancel arrives after at most three delays.
			sim.after(3*simDelay, func() { cancelled = sim.layersRun() })
		})
		sim.run(time.Minute)
		if n := sim.layersRun(); n != cancelled {
			t.Fatalf("%d layers ran after the cancel", n-cancelled)
		}
	})
}

func TestDeadlineEndsTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.stream.deadline = sim.now.Add(100 * time.Millisecond)
		sim.run(time.Minute)
		var end *EndError
		if !errors.As(sim.err, &end) || !end.Deadline {
			t.Fatalf("ended with error %v, want the deadline's", sim.err)
		}
	})
}

func TestTokensOfOlderAttemptsAreDropped(t *testing.T) {
	r := NewReassembler("r", simLayers)
	r.SetAttempt(2)
	passed := simPassed(newSimulation(1).stream.chain)
	out, err := r.Add(Token{Request: "r", Attempt: 1, Index: 0, Text: "stale", Passed: passed})
	if len(out) != 0 || err != nil {
		t.Fatalf("a token of an older attempt was not dropped: %v, %v", out, err)
	}
	out, err = r.Add(Token{Request: "r", Attempt: 2, Index: 0, Text: "new", Passed: passed})
	if len(out) != 1 || err != nil {
		t.Fatalf("a token of the current attempt was not returned: %v, %v", out, err)
	}
}

func TestTokensTooFarAheadAreRejected(t *testing.T) {
	r := NewReassembler("r", simLayers)
	passed := simPassed(newSimulation(1).stream.chain)
	for index := 1; index <= maxReorder; index++ {
		if _, err := r.Add(Token{Request: "r", Attempt: 1, Index: index, Passed: passed}); err != nil {
			t.Fatalf("token %d: %v", index, err)
		}
	}
	var order *OrderError
	_, err := r.Add(Token{Request: "r", Attempt: 1, Index: maxReorder + 1, Passed: passed})
	if !errors.As(err, &order) || len(r.buffered) > maxReorder {
		t.Fatalf("%d tokens are buffered, error %v; want an OrderError", len(r.buffered), err)
	}
}

// Guards against opening a stage that was given up: while its replacement waits, the confirmation of
// an earlier cancellation let the stream go on with the old server.
func TestStageWithPendingReplacementIsNotOpened(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	stage := func(name string, from, to int) Stage {
		return Stage{Server: fleet.BackendServer{Name: name}, Layers: fleet.Range{From: from, To: to}}
	}
	s := NewStream(StreamSpec{
		Request: "r", Layers: 8, MaxTokens: 4, Deadline: now.Add(time.Minute), Limits: DefaultLimits(),
		Chain: Chain{stage("a0", 0, 4), stage("b0", 4, 8)},
	})
	for _, a := range s.Begin(now) {
		if o, ok := a.(Open); ok && o.Stage == 0 {
			s.Opened(now, o.Conn, Progress{})
		}
	}
	replacements := func(actions []Action) []Replace {
		var out []Replace
		for _, a := range actions {
			if r, ok := a.(Replace); ok {
				out = append(out, r)
			}
		}
		return out
	}
	// Stage 1 is replaced at once; its old server has not confirmed the cancellation yet.
	first := replacements(s.Failed(now, s.states[1].conn, ReasonReported))
	is.Equal(len(first), 1)
	s.Replaced(now, first[0].Stage, Chain{stage("b1", 4, 8)})
	// The confirmation is late, so the chain stalls, and the replacement of a stage has to wait.
	var waiting []Replace
	for len(waiting) == 0 {
		now = now.Add(time.Second)
		is.True(now.Before(time.Unix(60, 0)))
		waiting = replacements(s.Tick(now))
	}
	is.Equal(len(waiting), 1)
	is.Equal(s.Cancelled(now), nil) // no stage may be opened now
	// Nor does anything else happen meanwhile, so at most one replacement waits at a time and the
	// numbers of the stages stay valid.
	is.Equal(s.Tick(now.Add(time.Second)), nil)
	is.Equal(s.Leaving(now, "b1"), nil)
	// The replacement opens the stages.
	opened := 0
	for _, a := range s.Replaced(now, waiting[0].Stage, Chain{stage("a1", 0, 4)}) {
		if c, ok := a.(Cancel); ok && c.Confirm {
			for _, a := range s.Cancelled(now) {
				if _, ok := a.(Open); ok {
					opened++
				}
			}
		}
	}
	is.Equal(opened, 2)
}
