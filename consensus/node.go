package consensus

import (
	"cmp"
	"math/rand/v2"
)

// Role is what a node does in its term.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

const (
	// maxUncommittedBytes and maxUncommittedEntries bound what waits for its commit.
	maxUncommittedBytes   = 16 << 20
	maxUncommittedEntries = 16 << 10
	// keptEntries stay in memory before a snapshot, for followers that are a little behind.
	keptEntries = 1024
)

// Options describe a node.
type Options struct {
	ID string
	// Address is where other nodes reach this one.
	Address string
	// Disk is the random number of the node's data folder.
	Disk uint64
	// Epoch counts the starts of the data folder in its upper 40 bits. The lower 24 bits are
	// random, so that two starts of copies of one folder are told apart.
	Epoch uint64
	// Founders are the names of the first voters, the same at every node. The first of them
	// founds the group.
	Founders []string
	// Size is the number of voters that the group grows to; less than the founders: as many.
	Size int
	// JoinsOnly keeps the node from founding a group: it waits to be admitted to one.
	JoinsOnly bool
	// ElectionTicks is the shortest election timeout; the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's appends.
	HeartbeatTicks int
	// ReplaceTicks is after how long a silent voter may be replaced; 0: never.
	ReplaceTicks int
	// Seed makes the election timeouts repeatable.
	Seed uint64
}

// Node is one replica of the log.
type Node struct {
	opts Options
	role Role
	hard HardState
	// saved is the hard state that is durable.
	saved  HardState
	leader string
	log    entryLog
	// now counts the ticks since the start.
	now      uint64
	elapsed  int
	timeout  int
	votes    map[string]bool
	peers    map[string]*progress
	messages []Message
	rng      *rand.Rand

	// heardAt is the tick at which a leader was last heard.
	heardAt uint64
	// joining is the group whose snapshot is being received; 0: none.
	joining  uint64
	incoming incomingSnapshot
	// installed is a snapshot that the caller has not saved yet.
	installed *Snapshot
	founding  map[string]helloed
	// introduced are the voters that another replica named in answer to a hello.
	introduced   []Voter
	lease        lease
	transferee   string
	transferTick uint64
	verification verification
	memories     map[string]*memory
	// uncommitted is the size of the leader's entries that wait for their commit.
	uncommitted int
}

// New returns a follower with the state that was saved before.
func New(opts Options, hard HardState, snapshot Snapshot, entries []Entry) *Node {
	n := &Node{
		opts:     opts,
		hard:     hard,
		saved:    hard,
		founding: make(map[string]helloed),
		memories: make(map[string]*memory),
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Epoch)),
	}
	n.log.restore(snapshot)
	n.log.append(entries...)
	n.log.stable = n.log.last()
	n.verification = newVerification(!n.isFounded())
	n.resetTimer()
	return n
}

// Tick advances the node's logical clock by one.
func (n *Node) Tick() {
	n.now++
	n.elapsed++
	if n.IsRolledBack() {
		return
	}
	n.tickHello()
	n.tickVerification()
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.mayCampaign() {
		n.becomePreCandidate()
	}
}

// Lapse tells the node that its clock stood still for a number of ticks. A leader has no
// lease until a quorum has answered anew, and is none after an election timeout; a follower
// waits for the leader before it campaigns.
func (n *Node) Lapse(ticks int) {
	n.now += uint64(ticks)
	n.lease.floor = n.now
	n.elapsed = max(n.elapsed, min(n.elapsed+ticks, n.timeout-n.opts.ElectionTicks/2))
	switch {
	case n.role != RoleLeader:
	case ticks >= n.opts.ElectionTicks:
		n.becomeFollower(n.hard.Term, "")
	default:
		n.heartbeat()
	}
}

// tickLeader sends heartbeats and steps down when no quorum was heard for an election timeout.
func (n *Node) tickLeader() {
	if n.now-max(n.heardQuorum(), n.lease.campaign) >= uint64(n.opts.ElectionTicks) {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	n.tickTransfer()
	n.dropSilentLearners()
	if n.elapsed >= n.opts.HeartbeatTicks {
		n.elapsed = 0
		n.heartbeat()
	}
	n.repair()
}

// Propose appends data to the leader's log and returns the entry's index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if !n.HasLease() {
		return 0, 0, ErrNotLeader
	}
	if n.uncommitted+len(data) > maxUncommittedBytes || n.log.last()-n.log.commit >= maxUncommittedEntries {
		return 0, 0, ErrBusy
	}
	n.uncommitted += len(data)
	e := n.propose(EntryCommand, data)
	return e.Index, e.Term, nil
}

func (n *Node) propose(kind EntryKind, data []byte) Entry {
	e := Entry{Term: n.hard.Term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	return e
}

// Step handles a message from another node.
func (n *Node) Step(m Message) {
	if m.To != n.opts.ID || n.IsRolledBack() || n.stepFounding(m) {
		return
	}
	if m.Group != n.Group() || !n.remember(m) || n.stepVerification(m) {
		return
	}
	if m.Term > n.hard.Term && !n.admitTerm(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.rejectOldTerm(m)
		return
	}
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
	case KindPreVoteReply:
		n.handleVoteReply(m, RolePreCandidate)
	case KindVote:
		n.handleVote(m)
	case KindVoteReply:
		n.handleVoteReply(m, RoleCandidate)
	case KindAppend:
		n.handleAppend(m)
	case KindAppendReply:
		n.handleAppendReply(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindSnapshotReply:
		n.handleSnapshotReply(m)
	case KindTimeoutNow:
		n.handleTimeoutNow()
	}
}

// admitTerm moves the node to a newer term where the message justifies it. A pre-vote
// never changes the term, and a vote is ignored while a leader is heard, so that a node
// returning from isolation can't depose a working leader.
func (n *Node) admitTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
		return false
	case KindPreVoteReply:
		if m.Reject {
			n.becomeFollower(m.Term, "")
			return false
		}
		n.handleVoteReply(m, RolePreCandidate)
		return false
	case KindVote:
		if n.hearsLeader() && !m.Force {
			return false
		}
		n.becomeFollower(m.Term, "")
	case KindAppend, KindSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// rejectOldTerm tells a sender with an older term about the newer one.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Hint: n.log.last()})
	case KindPreVote:
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	case KindVote:
		n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true})
	}
}

// Ready returns the work that has accumulated since the last Advance.
func (n *Node) Ready() Ready {
	n.flush()
	r := Ready{Snapshot: n.installed, Messages: n.messages}
	if n.hard != n.saved {
		hs := n.hard
		r.HardState = &hs
	}
	if n.log.stable < n.log.last() {
		r.Entries = n.log.between(n.log.stable, n.log.last())
	}
	if durable := min(n.log.commit, n.log.stable); durable > n.log.applied {
		r.Committed = n.log.between(n.log.applied, durable)
	}
	return r
}

// Advance tells the node that the work of r is done.
func (n *Node) Advance(r Ready) {
	if r.Snapshot != nil {
		n.installed = nil
	}
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	n.messages = n.messages[len(r.Messages):]
	if len(n.messages) == 0 {
		n.messages = nil
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	// The leader counts its own entries only once they are durable.
	if n.role == RoleLeader {
		n.maybeCommit()
	}
}

// Compact returns a snapshot of the state as it was when the entry at index had been applied,
// encoded in data, and the entries after it. It reports false when a newer snapshot has come
// meanwhile. It must be called right after Advance, with no Ready in between, and the snapshot
// saved before the next Ready.
func (n *Node) Compact(index uint64, data []byte) (s Snapshot, rest []Entry, ok bool) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return s, nil, false
	}
	s = n.log.compact(index, data, keptEntries)
	n.forget()
	return s, n.log.between(index, n.log.stable), true
}

func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.opts.ElectionTicks + n.rng.IntN(n.opts.ElectionTicks)
}

func (n *Node) send(m Message) {
	m.From = n.opts.ID
	m.Group = cmp.Or(n.Group(), n.joining)
	m.Disk = n.opts.Disk
	m.Epoch = n.opts.Epoch
	m.Unverified = !n.verification.done
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) membership() Membership { return n.log.membership() }

// isVoter reports whether the message was sent by a voter, from the folder that votes.
func (n *Node) isVoter(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	return ok && v.Disk == m.Disk
}

// isVoting reports whether this node, with its folder, is a voter.
func (n *Node) isVoting() bool {
	v, ok := n.membership().Voter(n.opts.ID)
	return ok && v.Disk == n.opts.Disk
}
