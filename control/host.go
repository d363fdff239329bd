// Package control runs a replica of the replicated state on an instance that has a data folder.
package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/internal/bootclock"
	"github.com/balsamlb/balsamlb/internal/loglimit"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// ErrOverwritten means that the proposal's log entry was replaced with an entry of another leader,
// so the proposal was not applied at that index.
var ErrOverwritten = errors.New("control: the proposal was overwritten by another leader")

// ErrStopped means that the host has stopped. A pending proposal may still be committed.
var ErrStopped = errors.New("control: the replica has stopped")

// Storage stores the hard state, the log and one snapshot. Its methods return after all data is
// synced; only a commit in the hard state needs no sync. After an error nothing more may be saved, and the process has to exit.
type Storage interface {
	Save(hard *consensus.HardState, entries []consensus.Entry) error
	SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error
	// Reset replaces the content of the data folder with an empty log and a new disk ID.
	Reset() error
	Identity() storage.Identity
}

// Sender sends messages to other replicas. It never blocks, and messages may be lost.
type Sender interface {
	Send(m consensus.Message)
	// Reach sets the address of a replica.
	Reach(name, address string)
}

const (
	tickInterval   = 20 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 2
	// replaceTicks is 10 s, after which a standby may replace a silent voter.
	replaceTicks = 500
	// inputQueueSize bounds the queued inputs. While the queue is full, proposers wait and
	// messages are dropped.
	inputQueueSize = 4096
	// maxBatchInputs bounds the inputs that are saved with one sync.
	maxBatchInputs = 512
	// maxBeatsWhileSaving is 800 ms of heartbeats. A snapshot takes six syncs.
	maxBeatsWhileSaving = 20
)

// input is a message, lost message, proposal, query or read for the host. Exactly one of these fields is set.
type input struct {
	message  *consensus.Message
	lost     *consensus.Message
	proposal *proposal
	query    func(*replica.State, *consensus.Node)
	read     *read
	// queuedAt is when a message was received, as bootclock.Now counts.
	queuedAt time.Duration
}

// Host owns a consensus node and the replicated state, which only the goroutine of Run accesses.
type Host struct {
	options    Options
	node       *consensus.Node
	storage    Storage
	sender     Sender
	state      *replica.State
	inputQueue *ring.Ring[input]
	waiters    map[uint64]*waiter
	// spreading are the waiters whose entry is applied and whose commit is about to be spread.
	spreading []*waiter
	// followedChange is the index of the latest entry that changed the view or the routing document.
	followedChange uint64
	reads          []*read
	clock          clock
	// now returns the time, as bootclock.Now counts.
	now func() time.Duration
	// runSave calls the first function and, from time to time until that returns, the second one.
	runSave func(save func() error, beat func()) error
	// stopped is closed when Run returns.
	stopped chan struct{}
	log     logr.Logger
	// publishedView is the log index of the last published view.
	publishedView uint64
	// publishedRouting is the version of the last published routing document.
	publishedRouting uint64
	// minPublishCommit is the last index of the log that was stored at the start. No view is
	// published before that index is committed, because the restored snapshot may be older than
	// a view that this instance used before the restart.
	minPublishCommit uint64
	// loggedRole and loggedMembership are the last logged role and position of the membership.
	loggedRole       consensus.Role
	loggedMembership consensus.Position
	snapshotPolicy   snapshotPolicy
	// encoded carries the encoded state from the goroutine that encodes it. isEncoding is set until
	// the state has been received.
	encoded    chan encodedState
	isEncoding bool
	levels     levels
	delays     delays
	// elections is replaced by the loop, and nil before it runs.
	elections   atomic.Pointer[Elections]
	electionLog loglimit.Limit
}

// Options configure a host.
type Options struct {
	ID string
	// Address is the address at which other replicas connect to this one.
	Address string
	// Voters are the names of the initial voters, the same at every replica.
	Voters []string
	// Size is the number of voters that the group grows to; 0: the number of initial voters.
	Size int
	// JoinOnly keeps an instance with an empty data folder from bootstrapping a group.
	JoinOnly bool
	// ReplaceAfter is the time after which a silent voter may be replaced; 0: replaceTicks.
	ReplaceAfter time.Duration
	Seed         uint64
	// Level is the highest level of commands that this build applies; 0: formlevel.Supported.
	Level   formlevel.Level
	Storage Storage
	Sender  Sender
	// OnView is called with each new view, in order.
	OnView func(replica.View)
	// OnRouting is called with each new routing document, in order. It may be nil.
	OnRouting func(routing.Publication)
	Observers Observers
	Log       logr.Logger
	// nonce distinguishes this start from starts with copies of the same data folder; 0: a random number.
	nonce uint64
}

// NewHost returns a host with the stored state.
func NewHost(o Options, stored storage.Stored) (*Host, error) {
	h := &Host{
		options:     o,
		storage:     o.Storage,
		sender:      o.Sender,
		inputQueue:  ring.New[input](inputQueueSize),
		waiters:     make(map[uint64]*waiter),
		stopped:     make(chan struct{}),
		encoded:     make(chan encodedState, 1),
		log:         o.Log,
		levels:      levels{own: cmp.Or(o.Level, formlevel.Supported)},
		delays:      delays{observers: o.Observers},
		electionLog: loglimit.Limit{Lines: maxElectionLogs, Interval: electionLogInterval},
		now:         bootclock.Now,
		runSave:     runSave,
	}
	return h, h.initialize(stored)
}

// initialize creates the node and the state from the content of the data folder.
func (h *Host) initialize(stored storage.Stored) error {
	state, err := restore(stored.Snapshot)
	if err != nil {
		return err
	}
	h.state, h.followedChange = state, 0
	h.snapshotPolicy = snapshotPolicy{lastSnapshotBytes: len(stored.Snapshot.Data)}
	h.minPublishCommit = stored.Snapshot.Index
	if n := len(stored.Entries); n > 0 {
		h.minPublishCommit = stored.Entries[n-1].Index
	}
	identity := h.storage.Identity()
	h.node = consensus.New(consensus.Options{
		ID:             h.options.ID,
		Address:        h.options.Address,
		Disk:           identity.Disk,
		Epoch:          identity.Starts<<consensus.EpochNonceBits | cmp.Or(h.options.nonce, nonce()),
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

// nonce returns a random number that distinguishes this start from starts with copies of the same
// data folder.
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

// Run runs the node until ctx is done or the storage fails. It must be called only once.
func (h *Host) Run(ctx context.Context) error {
	defer close(h.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	h.clock.start(h.now())
	// What the data folder holds as committed is published before anything is received.
	if err := h.process(); err != nil {
		return err
	}
	if h.node.Group() != 0 {
		h.log.Info("applied what the data folder holds as committed", "commit", h.node.Commit(), "stored", h.minPublishCommit,
			"snapshot", h.node.Status().Snapshot, "routing", h.state.Routing.Version)
	}
	for {
		var first *input
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case in := <-h.inputQueue.Items():
			first = &in
		}
		if err := h.pass(first); err != nil {
			return err
		}
	}
}

// pass advances the clock, handles the input, unless it is nil, and what else is queued, and processes what follows.
func (h *Host) pass(first *input) error {
	now := h.now()
	h.delays.beginPass(now)
	// The clock is advanced first, so that no input is handled as if no time had passed. The timers run last, so that
	// no message waits here while its sender counts as silent.
	before := h.clock.last
	if pause := h.clock.advanceTo(h.node, now); pause > 0 {
		h.log.Info("the process was paused", "ms", pause.Milliseconds())
	}
	h.handleInputs(first)
	if h.clock.last > before {
		h.node.RunTimers()
	}
	if err := h.raiseLevel(); err != nil {
		h.log.Error(err, "the level of entries was not raised")
	}
	if err := h.process(); err != nil {
		return err
	}
	h.answerReads()
	return nil
}

// Receive queues a message from another replica. The message is dropped if the queue is full.
func (h *Host) Receive(m consensus.Message) {
	h.inputQueue.Offer(input{message: &m, queuedAt: h.now()})
}

// ReportLost queues the report that a message will not arrive at another replica. The report is dropped if the queue
// is full.
func (h *Host) ReportLost(m consensus.Message) {
	h.inputQueue.Offer(input{lost: &m})
}

// Query runs f while no command is being applied. f must not retain its arguments. It doesn't run after Query has
// returned.
func (h *Host) Query(ctx context.Context, f func(*replica.State, *consensus.Node)) error {
	done := make(chan struct{})
	var isTaken atomic.Bool // by the loop, or by a caller that has given up
	in := input{query: func(s *replica.State, n *consensus.Node) {
		if !isTaken.Swap(true) {
			f(s, n)
			close(done)
		}
	}}
	if err := h.inputQueue.Push(ctx, in); err != nil {
		return eris.Wrap(err, "control: queue query")
	}
	select {
	case <-done:
		return nil
	case <-h.stopped:
		return ErrStopped
	case <-ctx.Done():
		if isTaken.Swap(true) {
			<-done
			return nil
		}
		return eris.Wrap(ctx.Err(), "control: wait for query")
	}
}

// handleInputs handles the input, unless it is nil, and what is queued.
func (h *Host) handleInputs(first *input) {
	inputs := h.inputQueue.Drain(maxBatchInputs)
	if first != nil {
		h.recordWait(*first)
		h.handleInput(*first)
	} else if len(inputs) > 0 {
		h.recordWait(inputs[0])
	}
	for _, in := range inputs {
		h.handleInput(in)
	}
}

// recordWait records how long the first of the queued inputs has waited.
func (h *Host) recordWait(in input) {
	if in.queuedAt > 0 {
		now := h.now()
		observe(h.delays.observers.InputWait, &h.delays.inputWait, now, now-in.queuedAt)
	}
}

func (h *Host) handleInput(in input) {
	switch {
	case in.message != nil:
		h.handleMessage(*in.message)
	case in.lost != nil:
		h.node.ReportLost(*in.lost)
	case in.query != nil:
		in.query(h.state, h.node)
	case in.read != nil:
		h.reads = append(h.reads, in.read)
	case in.proposal != nil:
		h.propose(in.proposal)
	}
}

// handleMessage passes the message to the node and the addresses in it to the sender.
func (h *Host) handleMessage(m consensus.Message) {
	if m.Address != "" {
		h.sender.Reach(m.From, m.Address)
	}
	if m.Membership != nil {
		h.updateAddresses(*m.Membership)
	}
	h.levels.tracker.Hear(h.clock.last, formlevel.Replica{Name: m.From, Disk: m.Disk}, formlevel.Level(m.FormLevel))
	h.node.Step(m)
}

func (h *Host) updateAddresses(m consensus.Membership) {
	for _, v := range m.Voters {
		if v.ID != h.options.ID {
			h.sender.Reach(v.ID, v.Address)
		}
	}
}

// process saves the node's new state, sends its messages and applies its committed entries, until
// the node has nothing left to process.
func (h *Host) process() error {
	for {
		if h.node.IsRolledBack() {
			return h.resetStorage()
		}
		r := h.node.Ready()
		if r.IsEmpty() {
			break
		}
		if err := h.levels.checkReady(r); err != nil {
			return err
		}
		if err := h.save(r); err != nil {
			return eris.Wrap(err, "control: save log entries, hard state or snapshot")
		}
		for _, m := range r.Messages {
			h.send(m)
		}
		if err := h.applyReady(r); err != nil {
			return err
		}
		h.node.Advance(r)
		h.spreadCommits()
	}
	if h.node.Role() != consensus.RoleLeader {
		h.failWaiters()
	}
	h.publishView()
	h.logChanges()
	h.logLevel()
	return h.compact()
}

func (h *Host) save(r consensus.Ready) error {
	if r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	if r.Snapshot != nil {
		return h.saveSnapshot(*r.Snapshot, h.node.HardState(), r.Entries)
	}
	return h.whileSaving(func() error { return h.storage.Save(r.HardState, r.Entries) })
}

func (h *Host) saveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error {
	return h.whileSaving(func() error { return h.storage.SaveSnapshot(s, hard, rest) })
}

// whileSaving calls save and returns its error. A leader goes on sending heartbeats meanwhile, so that a slow disk does
// not look like a lost leader, but only for a time, so that one whose disk hangs is replaced.
func (h *Host) whileSaving(save func() error) error {
	began := h.now()
	beats := 0
	err := h.runSave(save, func() {
		if beats++; beats <= maxBeatsWhileSaving {
			h.sendHeartbeats()
		}
	})
	now := h.now()
	observe(h.delays.observers.Sync, &h.delays.sync, now, now-began)
	return err
}

// runSave calls save in another goroutine, and beat at each heartbeat interval until save returns.
func runSave(save func() error, beat func()) error {
	done := make(chan error, 1)
	go func() { done <- save() }()
	ticker := time.NewTicker(heartbeatTicks * tickInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			beat()
		}
	}
}

func (h *Host) sendHeartbeats() {
	for _, m := range h.node.HeartbeatsWhileSaving() {
		h.send(m)
	}
}

func (h *Host) send(m consensus.Message) {
	m.FormLevel = uint32(h.levels.own)
	h.sender.Send(m)
}

// resetStorage replaces the data folder with an empty one. It is called if the folder is older than
// what other replicas have seen of it. The group then admits this replica like one with a new data
// folder.
func (h *Host) resetStorage() error {
	err := errors.New("the data folder was rolled back or has lost writes")
	h.log.Error(err, "set the folder aside and began an empty one", "disk", h.storage.Identity().Disk)
	h.failWaiters()
	if err := h.storage.Reset(); err != nil {
		return eris.Wrap(err, "control: reset the data folder")
	}
	return h.initialize(storage.Stored{})
}

func (h *Host) publishView() {
	h.publishRouting()
	if h.state.ViewIndex() <= h.publishedView || h.node.Commit() < h.minPublishCommit {
		return
	}
	h.publishedView = h.state.ViewIndex()
	h.options.OnView(h.state.View())
}

// publishRouting publishes the routing document if it is newer than the last published one.
func (h *Host) publishRouting() {
	if h.options.OnRouting == nil || h.state.Routing.Version <= h.publishedRouting {
		return
	}
	h.publishedRouting = h.state.Routing.Version
	h.options.OnRouting(h.state.Routing)
}
