// Package control runs a replica of the shared state on an instance that has a disk.
package control

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// ErrLost means that another leader's entry took the place of the proposal, so it was not
// applied at that place.
var ErrLost = errors.New("control: the proposal was overtaken by another leader")

// Storage keeps the hard state and the log. Save returns after both are synced.
type Storage interface {
	Save(hard *consensus.HardState, entries []consensus.Entry) error
}

// Sender passes messages to other replicas. It never blocks; messages may be lost.
type Sender interface {
	Send(m consensus.Message)
}

const (
	tickInterval   = 20 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 2
	// inputSize bounds the waiting work; a full ring makes proposers wait and drops messages.
	inputSize = 4096
	// batchSize bounds the work that is saved with one sync.
	batchSize = 512
)

// proposal is a command that waits for its result.
type proposal struct {
	data   []byte
	result chan proposalResult
}

type proposalResult struct {
	result replica.Result
	err    error
}

// input is one item of work for the host. Exactly one field is set.
type input struct {
	message  *consensus.Message
	proposal *proposal
	query    func(*replica.State, *consensus.Node)
}

// Host owns a consensus node and the replicated state. One goroutine runs it.
type Host struct {
	node    *consensus.Node
	storage Storage
	sender  Sender
	state   *replica.State
	inputs  *ring.Ring[input]
	waiting map[uint64]waiter
	onView  func(replica.View)
	log     logr.Logger
	view    uint64
}

type waiter struct {
	term     uint64
	proposal *proposal
}

// Options are the parts that a host is built from.
type Options struct {
	ID      string
	Voters  []string
	Seed    uint64
	Storage Storage
	Sender  Sender
	// OnView is called with each new view, in order.
	OnView func(replica.View)
	Log    logr.Logger
}

// NewHost returns a host with the state that was saved before.
func NewHost(o Options, hard consensus.HardState, entries []consensus.Entry) *Host {
	node := consensus.New(consensus.Options{
		ID:             o.ID,
		Voters:         o.Voters,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Seed:           o.Seed,
	}, hard, entries)
	return &Host{
		node:    node,
		storage: o.Storage,
		sender:  o.Sender,
		state:   replica.NewState(),
		inputs:  ring.New[input](inputSize),
		waiting: make(map[uint64]waiter),
		onView:  o.OnView,
		log:     o.Log,
	}
}

// Run owns the node until ctx ends or the storage fails.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.node.Tick()
		case in := <-h.inputs.Items():
			h.take(in)
		}
		for _, in := range h.inputs.Drain(batchSize) {
			h.take(in)
		}
		if err := h.process(); err != nil {
			return err
		}
	}
}

// Receive passes a message from another replica. It is dropped when the host is behind.
func (h *Host) Receive(m consensus.Message) {
	h.inputs.Offer(input{message: &m})
}

// Propose runs a command through the log and returns its result.
func (h *Host) Propose(ctx context.Context, data []byte) (replica.Result, error) {
	p := &proposal{data: data, result: make(chan proposalResult, 1)}
	if err := h.inputs.Push(ctx, input{proposal: p}); err != nil {
		return replica.Result{}, eris.Wrap(err, "control: queue proposal")
	}
	select {
	case r := <-p.result:
		return r.result, r.err
	case <-ctx.Done():
		return replica.Result{}, eris.Wrap(ctx.Err(), "control: wait for commit")
	}
}

// Status is what a host knows of its group.
type Status struct {
	Role    consensus.Role
	Term    uint64
	Leader  string
	Commit  uint64
	Records int
}

// Status returns the host's view of its group.
func (h *Host) Status(ctx context.Context) (Status, error) {
	var s Status
	err := h.Query(ctx, func(state *replica.State, n *consensus.Node) {
		s = Status{Role: n.Role(), Term: n.Term(), Leader: n.Leader(), Commit: n.Commit(), Records: state.Ledger.Len()}
	})
	return s, err
}

// Query runs f between two commands. f must not keep what it is given.
func (h *Host) Query(ctx context.Context, f func(*replica.State, *consensus.Node)) error {
	done := make(chan struct{})
	in := input{query: func(s *replica.State, n *consensus.Node) {
		f(s, n)
		close(done)
	}}
	if err := h.inputs.Push(ctx, in); err != nil {
		return eris.Wrap(err, "control: queue query")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "control: wait for query")
	}
}

func (h *Host) take(in input) {
	switch {
	case in.message != nil:
		h.node.Step(*in.message)
	case in.query != nil:
		in.query(h.state, h.node)
	case in.proposal != nil:
		h.propose(in.proposal)
	}
}

func (h *Host) propose(p *proposal) {
	index, term, err := h.node.Propose(p.data)
	if err != nil {
		p.result <- proposalResult{err: err}
		return
	}
	h.waiting[index] = waiter{term: term, proposal: p}
}

// process saves, sends and applies until the node has no more work.
func (h *Host) process() error {
	for {
		r := h.node.Ready()
		if r.HardState == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0 {
			break
		}
		if err := h.storage.Save(r.HardState, r.Entries); err != nil {
			return eris.Wrap(err, "control: save")
		}
		for _, m := range r.Messages {
			h.sender.Send(m)
		}
		for _, e := range r.Committed {
			h.apply(e)
		}
		h.node.Advance(r)
	}
	if h.node.Role() != consensus.RoleLeader {
		h.failWaiting()
	}
	h.publishView()
	return nil
}

func (h *Host) apply(e consensus.Entry) {
	var result replica.Result
	if len(e.Data) > 0 {
		c, err := replica.Decode(e.Data)
		if err != nil {
			h.log.Error(err, "command can't be decoded", "index", e.Index)
		} else {
			result = h.state.Apply(e.Index, c)
		}
	}
	w, ok := h.waiting[e.Index]
	if !ok {
		return
	}
	delete(h.waiting, e.Index)
	if w.term != e.Term {
		w.proposal.result <- proposalResult{err: ErrLost}
		return
	}
	w.proposal.result <- proposalResult{result: result}
}

// failWaiting tells the proposers that this replica can't say what becomes of their
// proposals. They may still commit.
func (h *Host) failWaiting() {
	for index, w := range h.waiting {
		delete(h.waiting, index)
		w.proposal.result <- proposalResult{err: consensus.ErrNotLeader}
	}
}

func (h *Host) publishView() {
	if h.state.ViewIndex() == h.view {
		return
	}
	h.view = h.state.ViewIndex()
	h.onView(h.state.View())
}
