package ledger

import (
	"fmt"
	"testing"
	"time"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"pgregory.net/rapid"
)

// step is the state of a simulated attempt.
type step int

const (
	stepBegin    step = iota // its Begin was sent
	stepGranted              // it may dispatch, now or after a pause
	stepRefusing             // it will not be dispatched, and its Abandon was sent
	stepEnded
)

// sender is one attempt of one instance.
type sender struct {
	id   string
	key  Key
	step step
}

// packet is a command that was sent to the ledger. It may arrive late, twice or never.
type packet struct {
	from    *sender // nil if no attempt waits for the result
	begin   *Begin
	finish  *Finish
	abandon *Abandon
}

// world simulates the ledger, the instances and one server, which counts the runs of each key.
type world struct {
	t       *rapid.T
	ledger  *Ledger
	now     time.Duration
	senders []*sender
	packets []packet
	runs    map[Key]int     // how often the server ran each key
	ranAs   map[Key]string  // the attempt that ran
	barred  map[string]bool // attempts that the server will not run
	known   map[string]bool // attempts that the server has run
}

func (w *world) fail(format string, args ...any) { w.t.Fatalf(format, args...) }

func (w *world) pick(t *rapid.T, want step) *sender {
	var fit []*sender
	for _, s := range w.senders {
		if s.step == want {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		t.Skip("no attempt in this state")
	}
	return rapid.SampledFrom(fit).Draw(t, "attempt")
}

func (w *world) send(t *rapid.T) {
	keys := []string{"plain", "019ae5c8-0000-7000-8000-000000000001"}
	s := &sender{
		id:  fmt.Sprintf("a%d", len(w.senders)),
		key: Key{Workspace: "kandy", Service: "booking", Idempotency: rapid.SampledFrom(keys).Draw(t, "key")},
	}
	w.senders = append(w.senders, s)
	w.packets = append(w.packets, packet{from: s, begin: &Begin{Key: s.key, Attempt: s.id}})
}

func (w *world) clock() CommandTime {
	return CommandTime{Replicated: w.now, Wall: time.UnixMilli(0x019ae5c80000).Add(time.Hour)}
}

func (w *world) deliver(t *rapid.T) {
	if len(w.packets) == 0 {
		t.Skip("no command in flight")
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet")
	p := w.packets[i]
	if !rapid.Bool().Draw(t, "again") {
		w.packets = append(w.packets[:i], w.packets[i+1:]...)
	}
	switch {
	case p.begin != nil:
		w.begun(p.from, w.ledger.Begin(w.clock(), *p.begin))
	case p.finish != nil:
		r := w.ledger.Finish(w.clock(), *p.finish)
		if r.Verdict == VerdictFinished && w.runs[p.finish.Key] != 1 {
			w.fail("%s is recorded as finished, but its key ran %d times", p.finish.Attempt, w.runs[p.finish.Key])
		}
	case p.abandon != nil:
		w.abandoned(p.from, *p.abandon, w.ledger.Abandon(w.clock(), *p.abandon))
	}
}

// begun handles the verdict on a Begin if the sender still waits for it.
func (w *world) begun(s *sender, r Result) {
	if s == nil || s.step != stepBegin {
		return
	}
	switch r.Verdict {
	case VerdictGranted:
		s.step = stepGranted
	case VerdictFinished:
		s.step = stepEnded
		if w.runs[s.key] != 1 || string(r.Record.Answer.Body) != w.ranAs[s.key] {
			w.fail("%s received the answer of %q, but %q ran", s.id, r.Record.Answer.Body, w.ranAs[s.key])
		}
	case VerdictRunning:
		// The sender waits: its Begin may be sent again, or resolve asks the server.
	default:
		s.step = stepEnded
	}
}

// abandoned checks that no caller is told that its request was not run if the key has run.
func (w *world) abandoned(s *sender, a Abandon, r Result) {
	if s != nil && s.step == stepRefusing {
		s.step = stepEnded
		if r.Verdict == VerdictAbandoned && w.runs[a.Key] > 0 {
			w.fail("%s was reported as not run, but its key had run", a.Attempt)
		}
	}
}

// dispatch sends a granted attempt to the server, possibly long after its grant.
func (w *world) dispatch(t *rapid.T) {
	s := w.pick(t, stepGranted)
	s.step = stepEnded
	if w.barred[s.id] {
		return
	}
	w.runs[s.key]++
	w.known[s.id] = true
	if w.runs[s.key] > 1 {
		w.fail("key %s ran twice: in attempt %s and in attempt %s", s.key.Idempotency, w.ranAs[s.key], s.id)
	}
	w.ranAs[s.key] = s.id
	f := Finish{Key: s.key, Attempt: s.id, Phase: PhaseFinished, Answer: Answer{Status: 200, Body: []byte(s.id)}}
	if rapid.Bool().Draw(t, "lost answer") {
		f.Phase = PhaseUnknown
		f.Answer = Answer{}
	}
	w.packets = append(w.packets, packet{finish: &f})
}

// refuse abandons a granted attempt that could not be sent.
func (w *world) refuse(t *rapid.T) {
	s := w.pick(t, stepGranted)
	s.step = stepRefusing
	w.packets = append(w.packets, packet{from: s, abandon: &Abandon{Key: s.key, Attempt: s.id}})
}

// giveUp abandons an attempt whose Begin is not answered yet.
func (w *world) giveUp(t *rapid.T) {
	s := w.pick(t, stepBegin)
	s.step = stepEnded
	w.packets = append(w.packets, packet{abandon: &Abandon{Key: s.key, Attempt: s.id}})
}

// resolve asks the server for the outcome of another instance's attempt, as if that instance had
// crashed.
func (w *world) resolve(t *rapid.T) {
	s := w.pick(t, stepBegin)
	r, ok := w.ledger.Lookup(s.key)
	if !ok || r.Phase == PhaseFinished {
		t.Skip("nothing to resolve")
	}
	switch {
	case !rapid.Bool().Draw(t, "server resolves"):
		w.packets = append(w.packets, packet{finish: &Finish{Key: r.Key, Attempt: r.Attempt, Phase: PhaseUnknown}})
	case w.known[r.Attempt]:
		w.packets = append(w.packets, packet{finish: &Finish{
			Key: r.Key, Attempt: r.Attempt, Phase: PhaseFinished, Answer: Answer{Status: 200, Body: []byte(r.Attempt)},
		}})
	default:
		w.barred[r.Attempt] = true
		w.packets = append(w.packets, packet{abandon: &Abandon{Key: r.Key, Attempt: r.Attempt}})
	}
}

func (w *world) pass(t *rapid.T) {
	w.now += rapid.SampledFrom([]time.Duration{time.Second, Retention / 2, Retention}).Draw(t, "time")
}

// restore replaces the ledger with one restored from its image.
func (w *world) restore(t *rapid.T) {
	l, err := FromImage(w.ledger.Image())
	if err != nil {
		t.Fatal(err)
	}
	w.ledger = l
}

// TestNothingRunsTwiceInAnyHistory simulates attempts, a server and expiry with commands that
// are delayed, duplicated and lost at random. The ledger must never let the server run a key
// twice.
func TestNothingRunsTwiceInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, ledger: New(), runs: make(map[Key]int), ranAs: make(map[Key]string),
			barred: make(map[string]bool), known: make(map[string]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": w.send, "deliver": w.deliver, "deliver more": w.deliver, "deliver most": w.deliver,
			"dispatch": w.dispatch, "refuse": w.refuse, "give up": w.giveUp, "resolve": w.resolve,
			"pass": w.pass, "restore": w.restore,
		})
	})
}
