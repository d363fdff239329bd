// Package emulate emulates backend servers, both model engines and plain services, so that the
// system can be run and measured without accelerators.
//
// An engine batches continuously: it takes waiting tokens in order of priority, up to its
// number of slots, sleeps for the time of one step, and passes each token to the next stage. The
// last stage sends the token to the instance and starts the next token at the first stage.
// Engines in different processes pass tokens over HTTP. Engines count the layers that they run.
//
// docs/BACKEND-PROTOCOL.md specifies the protocol of an engine. cost.go defines the time that
// work takes, from which the upper bound of the throughput follows.
package emulate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
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
	// Previous is the token before the token of this hop. It is set only in hops to the first
	// stage.
	Previous *backend.Frame `json:"previous,omitempty"`
	// DelayMicros is the transfer time of the link between the two servers. The receiver, not the
	// sender, waits for this time, so that a token that was sent arrives even if the sender
	// crashes.
	DelayMicros int64 `json:"delay_micros,omitempty"`
}

// engine emulates one backend server, with its model engine and its plain services.
type engine struct {
	server   fleet.BackendServer
	fleet    *Fleet
	counts   *Counts
	queue    *queue
	faults   *faults
	prefixes *prefixCache
	// requests and callFaults are used only for plain calls.
	requests   *requestLog
	callFaults callFaults
	orders     orderLog
	// brokenHeads counts the answers sent under FaultBrokenHead.
	brokenHeads atomic.Uint64

	mu       sync.Mutex
	sessions map[string][]*session // by request; a server may run several stages of a request
	running  int
	nextLoad fleet.Load // load in the next announcement, measured at the previous one
	sequence uint64
	leaving  bool
	// announceNow makes the server announce itself immediately. The channel buffers one signal.
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

// run runs the waiting work in batches until ctx ends or the server crashes.
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

// runBatch waits for the time that the batch takes and completes its tokens.
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

// announcement returns the content of the next announcement. The load in it was measured at the
// previous announcement.
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

// TokenText returns the text of a token. It depends on the prompt, so that callers can verify
// that an answer belongs to their request.
func TokenText(prompt string, index int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, index))&0xffffff)
}
