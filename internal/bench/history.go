package bench

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/balsamlb/balsamlb/outcome"
)

// linearizabilityTimeout bounds the time of one linearizability check.
const linearizabilityTimeout = 10 * time.Second

// keyState is the model's state of one key: whether the request has run, and its answer.
type keyState struct {
	ran bool
	// answer is empty while no caller has received it.
	answer string
}

// sendResult is the answer to one send, as its caller saw it.
type sendResult struct {
	outcome outcome.Outcome
	answer  string
}

// keyModel is the sequential specification of one key in the ledger: the first send that takes
// effect runs the request, and every later send gets the answer of that run. A send without an
// answer may take effect at any later time, or never.
var keyModel = porcupine.NondeterministicModel{
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
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, _, output any) []any { return stepKey(state.(keyState), output.(sendResult)) },
}

// stepKey returns the possible states after a send with this result, none if the result is not
// possible in state s.
func stepKey(s keyState, o sendResult) []any {
	switch o.outcome {
	case outcome.Answered:
		if !s.ran || s.answer == "" || s.answer == o.answer {
			return []any{keyState{ran: true, answer: o.answer}}
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
	return []any{s, keyState{ran: true}}
}

// history records the results of all sends and their times, for the linearizability check.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

// record adds a send that began at call and has just ended. A send without a definite outcome
// may take effect later, so its end is left open.
func (h *history) record(client int, key string, call time.Time, o sendResult) {
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

// checkLinearizability checks whether a single copy of the ledger could have given all recorded
// results. The check is undecided when it runs out of time.
func (h *history) checkLinearizability() porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(keyModel.ToModel(), h.ops, linearizabilityTimeout)
}
