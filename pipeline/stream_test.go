package pipeline

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"pgregory.net/rapid"
)

const (
	modelTokens = 30
	modelLayers = 12
	spares      = 3 // servers for each range of layers
)

func newWorld(seed uint64) *world {
	w := &world{
		now:    time.Unix(0, 0),
		rand:   rand.New(rand.NewPCG(seed, 0)),
		conns:  make(map[int]*fakeConn),
		runs:   make(map[[2]int]int),
		tokens: modelTokens,
	}
	var chain Chain
	for i, name := range []string{"a", "b", "c"} {
		for n := range spares {
			s := &fakeServer{world: w, name: name + string(rune('0'+n)), layers: fleet.Range{From: 4 * i, To: 4 * (i + 1)}}
			w.servers = append(w.servers, s)
			if n == 0 {
				chain = append(chain, s.stage())
			}
		}
	}
	w.stream = NewStream(StreamSpec{
		Request: "r", Layers: modelLayers, MaxTokens: modelTokens, Deadline: w.now.Add(time.Minute),
		Chain: chain, Limits: DefaultLimits(),
	})
	return w
}

// checkAnswer fails unless the caller got every token once, in order.
func checkAnswer(t *rapid.T, w *world) {
	if !w.ended {
		t.Fatalf("the stream did not end: %v", w.log)
	}
	if w.err != nil {
		t.Fatalf("the stream failed: %v: %v", w.err, w.log)
	}
	if len(w.emitted) != modelTokens {
		t.Fatalf("%d tokens were emitted", len(w.emitted))
	}
	for i, tok := range w.emitted {
		if tok.Index != i || tok.Text != modelText(i) {
			t.Fatalf("emitted token %d is %+v", i, tok)
		}
	}
}

// checkRuns fails unless each layer ran once for each token.
func checkRuns(t *rapid.T, w *world) {
	for index := range modelTokens {
		for layer := range modelLayers {
			if n := w.runs[[2]int{layer, index}]; n != 1 {
				t.Fatalf("layer %d of token %d ran %d times: %v", layer, index, n, w.log)
			}
		}
	}
}

// fault injects a failure at the server that runs a stage at that time.
type fault func(w *world, stage int)

func crash(w *world, stage int) { w.server(w.stream.Servers()[stage]).crash() }

func silence(w *world, stage int) {
	for _, c := range w.server(w.stream.Servers()[stage]).conns() {
		c.silent = true
	}
}

func cut(w *world, stage int) {
	for _, c := range w.server(w.stream.Servers()[stage]).conns() {
		c.send(func(now time.Time) []Action { return w.stream.Failed(now, c.id, ReasonClosed) })
	}
}

func badFrame(w *world, stage int) {
	for _, c := range w.server(w.stream.Servers()[stage]).conns() {
		c.send(func(now time.Time) []Action { return w.stream.Failed(now, c.id, ReasonBadFrame) })
	}
}

func slow(w *world, stage int) { w.do(w.stream.move(w.now, w.stream.Servers()[stage], ReasonSlow)) }

var faults = map[string]fault{"crash": crash, "silence": silence, "cut": cut, "bad frame": badFrame, "slow": slow}

var faultNames = []string{"bad frame", "crash", "cut", "silence", "slow"}

func inject(w *world, name string, stage int, at time.Duration) {
	w.after(at, func() {
		if !w.ended {
			faults[name](w, stage)
		}
	})
}

func TestOneFaultCostsNoTokenAndNoLayerRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		name := rapid.SampledFrom(faultNames).Draw(t, "fault")
		at := time.Duration(rapid.IntRange(0, 400_000).Draw(t, "at_us")) * time.Microsecond
		inject(w, name, rapid.IntRange(0, 2).Draw(t, "stage"), at)
		w.run(time.Minute)
		checkAnswer(t, w)
		checkRuns(t, w)
	})
}

// TestTextsThatOnlyTheFirstStageKnowsAreNotRunAgain drops the frames of the last stage and then
// crashes its server, so that the texts of some tokens are known only to the first stage.
func TestTextsThatOnlyTheFirstStageKnowsAreNotRunAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(rapid.IntRange(20_000, 200_000).Draw(t, "at_us")) * time.Microsecond
		inject(w, "silence", 2, at)
		inject(w, "crash", 2, at+time.Duration(rapid.IntRange(0, 60_000).Draw(t, "later_us"))*time.Microsecond)
		w.run(time.Minute)
		checkAnswer(t, w)
		checkRuns(t, w)
		if w.stream.Attempt() > 2 {
			t.Fatalf("one replacement took %d new attempts: %v", w.stream.Attempt()-1, w.log)
		}
	})
}

func TestABrokenConnectionIsResumedToTheSameServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		name := rapid.SampledFrom([]string{"cut", "silence"}).Draw(t, "fault")
		at := time.Duration(rapid.IntRange(20_000, 200_000).Draw(t, "at_us")) * time.Microsecond
		inject(w, name, rapid.IntRange(0, 2).Draw(t, "stage"), at)
		w.run(time.Minute)
		checkAnswer(t, w)
		checkRuns(t, w)
		if w.stream.Attempt() != 1 {
			t.Fatalf("the chain was restarted: attempt %d: %v", w.stream.Attempt(), w.log)
		}
	})
}

func TestManyFaultsCostNoToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		crashes := make(map[int]int)
		for range rapid.IntRange(2, 5).Draw(t, "faults") {
			name := rapid.SampledFrom(faultNames).Draw(t, "fault")
			stage := rapid.IntRange(0, 2).Draw(t, "stage")
			at := time.Duration(rapid.IntRange(0, 800_000).Draw(t, "at_us")) * time.Microsecond
			if name != "slow" && name != "cut" {
				crashes[stage]++
			}
			inject(w, name, stage, at)
		}
		w.run(time.Minute)
		if crashes[0] < spares && crashes[1] < spares && crashes[2] < spares {
			checkAnswer(t, w)
		}
		if !w.ended {
			t.Fatalf("the stream did not end: %v", w.log)
		}
	})
}

func TestARangeWithoutServersEndsTheStreamAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		stage := rapid.IntRange(0, 2).Draw(t, "stage")
		at := time.Duration(rapid.IntRange(20_000, 200_000).Draw(t, "at_us")) * time.Microsecond
		w.after(at, func() {
			for _, s := range w.servers[stage*spares : (stage+1)*spares] {
				s.crash()
			}
		})
		w.run(time.Minute)
		var se *StageError
		if !w.ended || !errors.As(w.err, &se) || !se.Ran {
			t.Fatalf("ended %t with error %v, want a StageError with Ran", w.ended, w.err)
		}
		if took := w.now.Sub(time.Unix(0, 0)); took > at+modelTick+500*time.Millisecond {
			t.Fatalf("the stream ended only after %v", took)
		}
	})
}

func TestAStageThatIsShortOfTimeKeepsItWhenNoOtherServerIsThere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		stage := rapid.IntRange(0, 2).Draw(t, "stage")
		w.servers = slices.DeleteFunc(w.servers, func(s *fakeServer) bool {
			return s.layers.From == 4*stage && s.name[1] != '0'
		})
		pause := time.Duration(rapid.IntRange(1500, 8000).Draw(t, "pause_ms")) * time.Millisecond
		s := w.server(w.stream.Servers()[stage])
		w.after(100*time.Millisecond, func() { s.pause = pause })
		w.after(130*time.Millisecond, func() { s.pause = 0 })
		w.run(time.Minute)
		checkAnswer(t, w)
	})
}

func TestACallerThatHasGoneIsCancelledAtEveryStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(rapid.IntRange(0, 300_000).Draw(t, "at_us")) * time.Microsecond
		cancelled := -1
		w.after(at, func() {
			w.do(w.stream.CallerDisconnected())
			// A cancel arrives after at most three delays.
			w.after(3*modelDelay, func() { cancelled = w.layersRun() })
		})
		w.run(time.Minute)
		if n := w.layersRun(); n != cancelled {
			t.Fatalf("%d layers ran after the cancel", n-cancelled)
		}
	})
}

func TestTheDeadlineEndsAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.stream.end = w.now.Add(100 * time.Millisecond)
		w.run(time.Minute)
		var end *EndError
		if !errors.As(w.err, &end) || !end.Deadline {
			t.Fatalf("ended with error %v, want the deadline's", w.err)
		}
	})
}

func TestTokensOfAnOlderAttemptAreDropped(t *testing.T) {
	r := NewReassembler("r", modelLayers)
	r.SetAttempt(2)
	passed := modelPassed(newWorld(1).stream.chain)
	out, err := r.Add(Token{Request: "r", Attempt: 1, Index: 0, Text: "stale", Passed: passed})
	if len(out) != 0 || err != nil {
		t.Fatalf("a token of an older attempt was not dropped: %v, %v", out, err)
	}
	out, err = r.Add(Token{Request: "r", Attempt: 2, Index: 0, Text: "new", Passed: passed})
	if len(out) != 1 || err != nil {
		t.Fatalf("a token of the current attempt was not returned: %v, %v", out, err)
	}
}

func TestTokensTooFarAheadAreRefused(t *testing.T) {
	r := NewReassembler("r", modelLayers)
	passed := modelPassed(newWorld(1).stream.chain)
	for index := 1; index <= maxReorder; index++ {
		if _, err := r.Add(Token{Request: "r", Attempt: 1, Index: index, Passed: passed}); err != nil {
			t.Fatalf("token %d: %v", index, err)
		}
	}
	var order *OrderError
	_, err := r.Add(Token{Request: "r", Attempt: 1, Index: maxReorder + 1, Passed: passed})
	if !errors.As(err, &order) || len(r.held) > maxReorder {
		t.Fatalf("%d tokens are buffered, error %v; want an OrderError", len(r.held), err)
	}
}
