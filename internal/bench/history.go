package bench

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/balsamlb/balsamlb/outcome"
)

// linearLimit bounds the check of a history.
const linearLimit = 10 * time.Second

// onceState is what a key's history has come to: nothing has run, or the answer of the run.
type onceState struct {
	ran bool
	// answer is "" while nobody was told it.
	answer string
}

// onceOutput is what one send was told.
type onceOutput struct {
	outcome outcome.Outcome
	answer  string
}

// onceModel is the naive ledger of one key: the first send that takes effect runs, and every
// other one gets its answer. A send without an answer may take effect at any later time.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := make(map[string]int)
		var parts [][]porcupine.Operation
		for _, op := range history {
			key := op.Input.(string)
			i, ok := keys[key]
			if !ok {
				i = len(parts)
				keys[key] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], op)
		}
		return parts
	},
	Init: func() []any { return []any{onceState{}} },
	Step: func(state, _, output any) []any { return onceStep(state.(onceState), output.(onceOutput)) },
}

// onceStep returns the states that a send with this answer may lead to; none when the answer
// can't be.
func onceStep(s onceState, o onceOutput) []any {
	switch o.outcome {
	case outcome.Answered:
		if !s.ran || s.answer == "" || s.answer == o.answer {
			return []any{onceState{ran: true, answer: o.answer}}
		}
		return nil
	case outcome.NotRun:
		if s.ran {
			return nil
		}
		return []any{s}
	}
	if s.ran {
		return []any{s}
	}
	return []any{s, onceState{ran: true}}
}

// history records what callers were told, and when.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

// note records a send that began at call and has just ended.
func (h *history) note(client int, key string, call time.Time, o onceOutput) {
	ended := time.Since(h.start).Nanoseconds()
	if o.outcome != outcome.Answered && o.outcome != outcome.NotRun {
		ended = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: key, Call: call.Sub(h.start).Nanoseconds(), Output: o, Return: ended,
	})
}

// isLinearizable reports whether one copy of the ledger could have given all answers.
func (h *history) isLinearizable() porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(onceModel.ToModel(), h.ops, linearLimit)
}
