// Package control runs a replica of the shared state on an instance that has a disk.
package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// ErrOverwritten means that another leader's entry took the place of the proposal, so it was not
// applied at that place.
var ErrOverwritten = errors.New("control: the proposal was overtaken by another leader")

// ErrStopped means that the host runs no more. A proposal that waited may still commit.
var ErrStopped = errors.New("control: the replica has ended")

// Storage keeps the hard state, the log and one snapshot. Its calls return after all is
// synced. After an error nothing more may be saved, and the process has to end.
type Storage interface {
	Save(hard *consensus.HardState, entries []consensus.Entry) error
	SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error
	// Reset begins an empty folder with another disk number.
	Reset() error
	Identity() storage.Identity
}

// Sender passes messages to other replicas. It never blocks; messages may be lost.
type Sender interface {
	Send(m consensus.Message)
	// Reach tells where a replica is reached.
	Reach(name, address string)
}

const (
	tickInterval   = 20 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 2
	// replaceTicks is 10 s: after that a standby may take the place of a silent voter.
	replaceTicks = 500
	// inputSize bounds the waiting work; a full ring makes proposers wait and drops messages.
	inputSize = 4096
	// batchSize bounds the work that is saved with one sync.
	batchSize = 512
)

// input is one item of work for the host. Exactly one field is set.
type input struct {
	message  *consensus.Message
	proposal *proposal
	query    func(*replica.State, *consensus.Node)
}

// Host owns a consensus node and the replicated state. One goroutine runs it.
type Host struct {
	options Options
	node    *consensus.Node
	storage Storage
	sender  Sender
	state   *replica.State
	inputs  *ring.Ring[input]
	waiting map[uint64]waiter
	clock   clock
	// ended is closed when Run returns.
	ended chan struct{}
	log   logr.Logger
	// view is the index of the last view that was published.
	view uint64
	// routing is the version of the last routing document that was published.
	routing uint64
	// quietUntil is the end of the log that was stored at the start. The state of an older
	// snapshot is not published: this instance may have had a newer view in force before.
	quietUntil uint64
	// role and membership are what was last logged; membership is a place in the log.
	role       consensus.Role
	membership consensus.Position
	snapshots  snapshotPolicy
	// encoded receives the state that is being encoded while isEncoding.
	encoded    chan encodedState
	isEncoding bool
}

// Options are the parts that a host is built from.
type Options struct {
	ID string
	// Address is where other replicas reach this one.
	Address string
	// Voters are the names of the first voters, the same at every replica.
	Voters []string
	// Size is the number of voters that the group grows to; 0: as many as the first ones.
	Size int
	// JoinOnly keeps an instance with an empty folder from founding a group.
	JoinOnly bool
	// ReplaceAfter is after how long a silent voter may be replaced; 0: replaceTicks.
	ReplaceAfter time.Duration
	Seed         uint64
	Storage      Storage
	Sender       Sender
	// OnView is called with each new view, in order.
	OnView func(replica.View)
	// OnRouting is called with each new routing document, in order; nil: nobody wants them.
	OnRouting func(routing.Publication)
	Log       logr.Logger
}

// NewHost returns a host with the state that was saved before.
func NewHost(o Options, stored storage.Stored) (*Host, error) {
	h := &Host{
		options: o,
		storage: o.Storage,
		sender:  o.Sender,
		inputs:  ring.New[input](inputSize),
		waiting: make(map[uint64]waiter),
		ended:   make(chan struct{}),
		encoded: make(chan encodedState, 1),
		log:     o.Log,
	}
	return h, h.begin(stored)
}

// begin makes the node and the state from what a folder holds.
func (h *Host) begin(stored storage.Stored) error {
	state, err := restore(stored.Snapshot)
	if err != nil {
		return err
	}
	h.state = state
	h.snapshots = snapshotPolicy{last: len(stored.Snapshot.Data)}
	h.quietUntil = stored.Snapshot.Index
	if n := len(stored.Entries); n > 0 {
		h.quietUntil = stored.Entries[n-1].Index
	}
	identity := h.storage.Identity()
	h.node = consensus.New(consensus.Options{
		ID:             h.options.ID,
		Address:        h.options.Address,
		Disk:           identity.Disk,
		Epoch:          identity.Starts<<consensus.EpochNonceBits | nonce(),
		InitialVoters:  h.options.Voters,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Size:           h.options.Size,
		JoinOnly:       h.options.JoinOnly,
		ReplaceTicks:   h.options.replaceTicks(),
		Seed:           h.options.Seed,
	}, stored.HardState, stored.Snapshot, stored.Entries)
	return nil
}

func (o Options) replaceTicks() int {
	if o.ReplaceAfter > 0 {
		return int(o.ReplaceAfter / tickInterval)
	}
	return replaceTicks
}

// nonce tells two starts of copies of one folder apart.
func nonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) & (1<<consensus.EpochNonceBits - 1)
}

func restore(s consensus.Snapshot) (*replica.State, error) {
	if len(s.Data) == 0 {
		return replica.NewState(), nil
	}
	state, err := replica.Restore(s.Data)
	return state, eris.Wrapf(err, "control: restore the snapshot at %d", s.Index)
}

// Run owns the node until ctx ends or the storage fails. It is called once.
func (h *Host) Run(ctx context.Context) error {
	defer close(h.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	h.clock.start()
	for {
		var first *input
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case in := <-h.inputs.Items():
			first = &in
		}
		// The clock goes first: after a freeze no input may be handled as if no time had passed.
		if gap := h.clock.advance(h.node); gap > 0 {
			h.log.Info("the clock stood still", "ms", gap.Milliseconds())
		}
		if first != nil {
			h.take(*first)
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
	case <-h.ended:
		return ErrStopped
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "control: wait for query")
	}
}

func (h *Host) take(in input) {
	switch {
	case in.message != nil:
		h.receive(*in.message)
	case in.query != nil:
		in.query(h.state, h.node)
	case in.proposal != nil:
		h.propose(in.proposal)
	}
}

// receive learns where the sender and the voters that it names are reached.
func (h *Host) receive(m consensus.Message) {
	if m.Address != "" {
		h.sender.Reach(m.From, m.Address)
	}
	if m.Membership != nil {
		h.reach(*m.Membership)
	}
	h.node.Step(m)
}

func (h *Host) reach(m consensus.Membership) {
	for _, v := range m.Voters {
		if v.ID != h.options.ID {
			h.sender.Reach(v.ID, v.Address)
		}
	}
}

// process saves, sends and applies until the node has no more work.
func (h *Host) process() error {
	for {
		if h.node.IsRolledBack() {
			return h.startOver()
		}
		r := h.node.Ready()
		if r.IsEmpty() {
			break
		}
		if err := h.save(r); err != nil {
			return eris.Wrap(err, "control: save")
		}
		for _, m := range r.Messages {
			h.sender.Send(m)
		}
		if err := h.applyAll(r); err != nil {
			return err
		}
		h.node.Advance(r)
	}
	if h.node.Role() != consensus.RoleLeader {
		h.failWaiting()
	}
	h.publishView()
	h.report()
	return h.compact()
}

func (h *Host) save(r consensus.Ready) error {
	if r.Snapshot != nil {
		return h.storage.SaveSnapshot(*r.Snapshot, h.node.HardState(), r.Entries)
	}
	return h.storage.Save(r.HardState, r.Entries)
}

// startOver empties a folder that other replicas remember more of than it holds. The replica
// is then admitted like one with a new disk.
func (h *Host) startOver() error {
	err := errors.New("the folder was rolled back or has lost writes")
	h.log.Error(err, "set the folder aside and began an empty one", "disk", h.storage.Identity().Disk)
	h.failWaiting()
	if err := h.storage.Reset(); err != nil {
		return eris.Wrap(err, "control: reset the folder")
	}
	return h.begin(storage.Stored{})
}

func (h *Host) publishView() {
	h.publishRouting()
	if h.state.ViewIndex() <= h.view || h.node.Commit() < h.quietUntil {
		return
	}
	h.view = h.state.ViewIndex()
	h.options.OnView(h.state.View())
}

// publishRouting passes on a routing document that is newer than the last one.
func (h *Host) publishRouting() {
	if h.options.OnRouting == nil || h.state.Routing.Version <= h.routing {
		return
	}
	h.routing = h.state.Routing.Version
	h.options.OnRouting(h.state.Routing)
}
