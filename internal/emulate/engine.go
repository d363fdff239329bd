// Package emulate stands in for model engines and plain services, so that the system can be
// run and measured without accelerators.
//
// An engine batches continuously: it takes what is waiting, up to its slots and in order of
// priority, spends the time of one step, and passes each token to the next stage. The last
// stage sends the token to the instance and starts the next one at the first stage. Engines
// in different processes pass tokens over HTTP. Engines count what they run.
//
// docs/BACKEND-PROTOCOL.md describes what an engine promises; cost.go gives the time that
// work takes, from which the bound of the hardware follows.
package emulate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/cespare/xxhash/v2"
)

// hop passes a token from one stage to the next.
type hop struct {
	Request string          `json:"request"`
	Attempt int             `json:"attempt"`
	Index   int             `json:"index"`
	Stage   int             `json:"stage"`
	Passed  []pipeline.Pass `json:"passed"`
	// Previous is the token before this one, for the first stage.
	Previous *backend.Frame `json:"previous,omitempty"`
	// DelayMicros is what the link between the two servers takes. The receiver waits for it,
	// so that what was sent arrives also when the sender dies.
	DelayMicros int64 `json:"delay_micros,omitempty"`
}

// engine emulates one backend server.
type engine struct {
	server   fleet.BackendServer
	fleet    *Fleet
	counts   *Counts
	queue    *queue
	faults   *faults
	prefixes *prefixCache
	// requests and calls concern plain calls.
	requests   *requestLog
	callFaults callFaults
	orders     orderLog

	mu       sync.Mutex
	sessions map[string][]*session // by request; a server may run several stages of one
	running  int
	nextLoad fleet.Load // what the next announcement says, one announcement old
	sequence uint64
	leaving  bool
	// announceNow makes the server announce itself at once. It holds one signal.
	announceNow chan struct{}
}

func newEngine(server fleet.BackendServer, f *Fleet) *engine {
	return &engine{
		server:      server,
		fleet:       f,
		counts:      f.counts,
		requests:    newRequestLog(),
		callFaults:  callFaults{CallFaults: f.options.CallFaults[server.Name]},
		queue:       newQueue(),
		faults:      newFaults(),
		prefixes:    newPrefixCache(f.options.PrefixTokens),
		sessions:    make(map[string][]*session),
		announceNow: make(chan struct{}, 1),
	}
}

// run batches the waiting work until ctx ends.
func (e *engine) run(ctx context.Context) error {
	for {
		if !e.faults.waitToRun(ctx) {
			return nil
		}
		batch := e.queue.take(e.server.Slots)
		if len(batch) > 0 {
			e.runBatch(ctx, batch)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.queue.ready():
		}
	}
}

// runBatch runs a batch.
func (e *engine) runBatch(ctx context.Context, batch []*work) {
	e.setRunning(len(batch))
	cost := e.batchCost(batch)
	select {
	case <-time.After(cost):
	case <-ctx.Done():
		return
	}
	if !e.faults.waitToRun(ctx) {
		return
	}
	e.setRunning(0)
	for _, w := range batch {
		e.finishToken(w, cost)
	}
}

func (e *engine) setRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = n
}

// announcement returns what the server says of itself now. Its load is as old as the
// announcement before.
func (e *engine) announcement() fleet.BackendServer {
	waiting := e.queue.len()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	a := e.server
	a.Sequence = e.sequence
	e.orders.addTo(&a)
	a.Leaving = e.leaving
	a.Load = e.nextLoad
	e.nextLoad = fleet.Load{Running: e.running, Queued: waiting}
	return a
}

// TokenText returns the text of a token, which depends on the prompt, so that callers can check
// that an answer is their own.
func TokenText(prompt string, index int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, index))&0xffffff)
}
