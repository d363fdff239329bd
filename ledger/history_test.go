package ledger

import (
	"fmt"
	"testing"
	"time"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"pgregory.net/rapid"
)

// attemptState is the progress of a simulated attempt.
type attemptState int

const (
	beginSent   attemptState = iota // its Begin was sent
	granted                         // its instance may dispatch the request, now or after a pause
	abandonSent                     // its Abandon was sent, and its instance will not dispatch the request
	ended
)

// simulatedAttempt is one attempt of one instance.
type simulatedAttempt struct {
	id    string
	key   Key
	state attemptState
}

// inFlightCommand is a command that was sent to the ledger. It may arrive late, twice or never.
type inFlightCommand struct {
	from    *simulatedAttempt // nil if no attempt waits for the result
	begin   *Begin
	finish  *Finish
	abandon *Abandon
}

// simulation simulates the ledger, the instances and one server, and counts the runs of each key.
type simulation struct {
	t        *rapid.T
	ledger   *Ledger
	now      time.Duration
	attempts []*simulatedAttempt
	inFlight []inFlightCommand
	runs     map[Key]int     // how often the server ran each key
	ranAs    map[Key]string  // the attempt that ran each key
	refused  map[string]bool // attempts that the server will not run
	ran      map[string]bool // attempts that the server has run
}

func (sim *simulation) fail(format string, args ...any) { sim.t.Fatalf(format, args...) }

func (sim *simulation) pick(t *rapid.T, want attemptState) *simulatedAttempt {
	var fit []*simulatedAttempt
	for _, s := range sim.attempts {
		if s.state == want {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		t.Skip("no attempt in this state")
	}
	return rapid.SampledFrom(fit).Draw(t, "attempt")
}

func (sim *simulation) sendBegin(t *rapid.T) {
	keys := []string{"plain", "019ae5c8-0000-7000-8000-000000000001"}
	s := &simulatedAttempt{
		id:  fmt.Sprintf("a%d", len(sim.attempts)),
		key: Key{Workspace: "kandy", Service: "booking", Idempotency: rapid.SampledFrom(keys).Draw(t, "key")},
	}
	sim.attempts = append(sim.attempts, s)
	sim.inFlight = append(sim.inFlight, inFlightCommand{from: s, begin: &Begin{Key: s.key, Attempt: s.id}})
}

func (sim *simulation) clock() CommandTime {
	return CommandTime{Replicated: sim.now, Wall: time.UnixMilli(0x019ae5c80000).Add(time.Hour)}
}

func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("no command in flight")
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "command")
	command := sim.inFlight[i]
	if !rapid.Bool().Draw(t, "again") {
		sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	}
	switch {
	case command.begin != nil:
		sim.begun(command.from, sim.ledger.Begin(sim.clock(), *command.begin))
	case command.finish != nil:
		r := sim.ledger.Finish(sim.clock(), *command.finish)
		if r.Verdict == VerdictFinished && sim.runs[command.finish.Key] != 1 {
			sim.fail("%s is recorded as finished, but its key ran %d times", command.finish.Attempt, sim.runs[command.finish.Key])
		}
	case command.abandon != nil:
		sim.abandoned(command.from, *command.abandon, sim.ledger.Abandon(sim.clock(), *command.abandon))
	}
}

// begun handles the verdict on a Begin if the sender still waits for it.
func (sim *simulation) begun(s *simulatedAttempt, r Result) {
	if s == nil || s.state != beginSent {
		return
	}
	switch r.Verdict {
	case VerdictGranted:
		s.state = granted
	case VerdictFinished:
		s.state = ended
		if sim.runs[s.key] != 1 || string(r.Record.Answer.Body) != sim.ranAs[s.key] {
			sim.fail("%s received the answer of %q, but %q ran", s.id, r.Record.Answer.Body, sim.ranAs[s.key])
		}
	case VerdictRunning:
		// The sender keeps waiting: its Begin may be delivered again, or resolve may ask the server for
		// the outcome.
	default:
		s.state = ended
	}
}

// abandoned handles the verdict on an Abandon. It fails if the attempt is reported as not run
// although its key has run.
func (sim *simulation) abandoned(s *simulatedAttempt, a Abandon, r Result) {
	if s != nil && s.state == abandonSent {
		s.state = ended
		if r.Verdict == VerdictAbandoned && sim.runs[a.Key] > 0 {
			sim.fail("%s was reported as not run, but its key had run", a.Attempt)
		}
	}
}

// dispatch sends a granted attempt to the server, possibly long after its grant.
func (sim *simulation) dispatch(t *rapid.T) {
	s := sim.pick(t, granted)
	s.state = ended
	if sim.refused[s.id] {
		return
	}
	sim.runs[s.key]++
	sim.ran[s.id] = true
	if sim.runs[s.key] > 1 {
		sim.fail("key %s ran twice: in attempt %s and in attempt %s", s.key.Idempotency, sim.ranAs[s.key], s.id)
	}
	sim.ranAs[s.key] = s.id
	f := Finish{Key: s.key, Attempt: s.id, Phase: PhaseFinished, Answer: Answer{Status: 200, Body: []byte(s.id)}}
	if rapid.Bool().Draw(t, "lost answer") {
		f.Phase = PhaseUnknown
		f.Answer = Answer{}
	}
	sim.inFlight = append(sim.inFlight, inFlightCommand{finish: &f})
}

// refuse abandons a granted attempt that could not be sent to the server.
func (sim *simulation) refuse(t *rapid.T) {
	s := sim.pick(t, granted)
	s.state = abandonSent
	sim.inFlight = append(sim.inFlight, inFlightCommand{from: s, abandon: &Abandon{Key: s.key, Attempt: s.id}})
}

// giveUp abandons an attempt whose Begin is not answered yet.
func (sim *simulation) giveUp(t *rapid.T) {
	s := sim.pick(t, beginSent)
	s.state = ended
	sim.inFlight = append(sim.inFlight, inFlightCommand{abandon: &Abandon{Key: s.key, Attempt: s.id}})
}

// resolve asks the server for the outcome of another instance's attempt, as if that instance had
// crashed.
func (sim *simulation) resolve(t *rapid.T) {
	s := sim.pick(t, beginSent)
	r, ok := sim.ledger.Lookup(s.key)
	if !ok || r.Phase == PhaseFinished {
		t.Skip("nothing to resolve")
	}
	switch {
	case !rapid.Bool().Draw(t, "server resolves"):
		sim.inFlight = append(sim.inFlight, inFlightCommand{finish: &Finish{Key: r.Key, Attempt: r.Attempt, Phase: PhaseUnknown}})
	case sim.ran[r.Attempt]:
		sim.inFlight = append(sim.inFlight, inFlightCommand{finish: &Finish{
			Key: r.Key, Attempt: r.Attempt, Phase: PhaseFinished, Answer: Answer{Status: 200, Body: []byte(r.Attempt)},
		}})
	default:
		sim.refused[r.Attempt] = true
		sim.inFlight = append(sim.inFlight, inFlightCommand{abandon: &Abandon{Key: r.Key, Attempt: r.Attempt}})
	}
}

func (sim *simulation) advanceTime(t *rapid.T) {
	sim.now += rapid.SampledFrom([]time.Duration{time.Second, Retention / 2, Retention}).Draw(t, "time")
}

// restore replaces the ledger with one restored from its image.
func (sim *simulation) restore(t *rapid.T) {
	l, err := FromImage(sim.ledger.Image())
	if err != nil {
		t.Fatal(err)
	}
	sim.ledger = l
}

// TestNoKeyRunsTwiceUnderRandomFaults simulates attempts, a server and expiry with commands that
// are delayed, duplicated and lost at random. The ledger must never let the server run a key
// twice.
func TestNoKeyRunsTwiceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			t: t, ledger: New(), runs: make(map[Key]int), ranAs: make(map[Key]string),
			refused: make(map[string]bool), ran: make(map[string]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": sim.sendBegin, "deliver": sim.deliver, "deliver more": sim.deliver, "deliver most": sim.deliver,
			"dispatch": sim.dispatch, "refuse": sim.refuse, "give up": sim.giveUp, "resolve": sim.resolve,
			"pass": sim.advanceTime, "restore": sim.restore,
		})
	})
}
