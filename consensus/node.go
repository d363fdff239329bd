package consensus

import (
	"cmp"
	"math/rand/v2"
)

// Role is the Raft role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

const (
	// maxUncommittedBytes and maxUncommittedEntries limit the proposals that are appended but
	// not yet committed.
	maxUncommittedBytes   = 16 << 20
	maxUncommittedEntries = 16 << 10
	// retainedEntries is the number of entries before a snapshot that stay in memory, so that a
	// follower that lags slightly does not need the whole snapshot.
	retainedEntries = 1024
	// maxSilentTicks is how many of the ticks that pass at once count as silence of another replica.
	maxSilentTicks = 2
)

// Options configures a node.
type Options struct {
	ID string
	// Address is the network address at which other nodes reach this node.
	Address string
	// Disk is the random ID of the node's data folder.
	Disk uint64
	// Epoch identifies one start from the data folder. Its upper 40 bits count the starts. The
	// lower 24 bits are random, so that starts from two copies of the same folder differ.
	Epoch uint64
	// InitialVoters are the names of the initial voters, identical on every node. The first one
	// bootstraps the group.
	InitialVoters []string
	// Size is the number of voters that the group grows to, or the number of initial voters if that
	// is larger.
	Size int
	// JoinOnly keeps the node from bootstrapping a group. It waits until an existing group
	// adds it.
	JoinOnly bool
	// ElectionTicks is the minimum election timeout. Timeouts are drawn at random between this
	// value and twice this value, and are up to maxTimeouts times it where leaders are heard irregularly.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// ReplaceTicks is how long a voter must be silent before it may be replaced; 0 means never.
	ReplaceTicks int
	// Seed makes the random election timeouts reproducible.
	Seed uint64
}

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	opts Options
	role Role
	// hardState holds the term and the vote; HardState adds the commit from the log.
	hardState HardState
	// savedHardState is the last hard state that the caller has saved.
	savedHardState HardState
	leader         string
	log            entryLog
	// now is the number of ticks since the start.
	now uint64
	// timersRunAt is the tick at which RunTimers was last called.
	timersRunAt uint64
	// elapsed is the number of ticks since the election timer was reset or, on a leader, since
	// the last heartbeat, as far as Elapse counts them.
	elapsed         int
	electionTimeout int
	votes           map[string]bool
	peers           map[string]*progress
	messages        []Message
	rng             *rand.Rand

	// heard is the leader that was last heard, and leaderSilence the number of ticks since then or, on a leader, since
	// quorumProgress, the start of the latest round that a quorum has answered, has last advanced; both as far as
	// Elapse counts them.
	heard          heardLeader
	leaderSilence  int
	quorumProgress uint64
	// lost is a leader for which this replica has waited in vain, and lostAt when it was last heard.
	lost     heardLeader
	lostAt   uint64
	patience patience
	// answeredCampaigns is the number of campaigns in turn that others have answered and that elected no leader.
	answeredCampaigns int
	// leaderLastSeen is the tick at which the last append or snapshot of a leader was received.
	leaderLastSeen uint64
	// joiningGroup is the group from which this node receives a snapshot while it belongs to no group
	// itself; 0 means none.
	joiningGroup uint64
	incoming     incomingSnapshot
	// pendingSnapshot is a received snapshot that the caller has not saved yet.
	pendingSnapshot *Snapshot
	// bootstrapReplies holds the replies of the other initial voters before the group is
	// bootstrapped.
	bootstrapReplies map[string]bootstrapReply
	// votersFromHello are the voters that the latest hello reply listed.
	votersFromHello []Voter
	// greetedTerm is the term whose leader has answered a hello of this replica while it belonged to the group.
	greetedTerm  uint64
	lease        lease
	confirmation confirmation
	transferee   string
	transferTick uint64
	// isTakeoverRequested means that the transferee was asked to campaign.
	isTakeoverRequested bool
	verification        verification
	voterRecords        map[folderKey]*voterRecord
	// uncommittedBytes is the total size of the leader's uncommitted entries.
	uncommittedBytes int
	electionCounts   ElectionCounts
	// electionEvents are those that ElectionEvents has not returned yet.
	electionEvents []ElectionEvent
}

// New returns a follower that starts from previously saved state. Its first Ready returns the entries
// after the snapshot that hard.Commit covers.
func New(opts Options, hard HardState, snapshot Snapshot, entries []Entry) *Node {
	n := &Node{
		opts:             opts,
		hardState:        HardState{Term: hard.Term, Vote: hard.Vote},
		bootstrapReplies: make(map[string]bootstrapReply),
		voterRecords:     make(map[folderKey]*voterRecord),
		rng:              rand.New(rand.NewPCG(opts.Seed, opts.Epoch)),
	}
	n.log.restore(snapshot)
	n.log.append(entries...)
	n.log.stable = n.log.last()
	n.log.restoreCommit(hard.Commit)
	n.savedHardState = n.HardState()
	n.verification = newVerification(!n.hasGroup())
	n.resetTimer()
	return n
}

// Tick advances the node's logical clock by one.
func (n *Node) Tick() {
	n.Elapse(1)
	n.RunTimers()
}

// Elapse advances the clock by a number of ticks and does nothing else. The caller then handles the messages that
// have arrived before it calls RunTimers, so that what waited counts before the time for which it waited.
//
// Leases and promises follow the clock. As silence of another replica count at most maxSilentTicks of them, since
// more have passed only because this process was late, and messages may wait where it has not looked yet. So the
// time for which a replica holds back votes is never shorter than by the clock.
func (n *Node) Elapse(ticks int) {
	n.elapse(ticks)
	if ticks > maxSilentTicks && ticks <= maxLateTimeouts*n.opts.ElectionTicks {
		n.patience.observe(ticks, n.now, n.opts)
	}
}

func (n *Node) elapse(ticks int) {
	n.now += uint64(ticks)
	silent := min(ticks, maxSilentTicks)
	n.leaderSilence += silent
	if n.elapsed == 0 && n.role != RoleLeader {
		// Some may have passed before the promise was made, since the clock was read before the message was handled.
		silent = min(silent, 1)
	}
	n.elapsed += silent
	if late := ticks - maxSilentTicks; late > 0 {
		for _, p := range n.peers {
			p.lastSeen += uint64(late)
		}
	}
}

// isDue reports whether a multiple of the interval has been reached since RunTimers was last called.
func (n *Node) isDue(interval int) bool {
	return n.now/uint64(interval) > n.timersRunAt/uint64(interval)
}

// RunTimers does what is due by the clock.
func (n *Node) RunTimers() {
	defer func() { n.timersRunAt = n.now }()
	if n.IsRolledBack() {
		return
	}
	n.tickHello()
	n.tickVerification()
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.electionTimeout && n.canCampaign() {
		n.becomePreCandidate()
	}
}

// ResumeAfterPause advances the clock after the process was paused for a number of ticks. A leader
// loses its lease until a quorum has answered again, and steps down if the pause lasted an
// election timeout or longer. As silence of a leader count as many ticks of the pause as Elapse would count.
func (n *Node) ResumeAfterPause(ticks int) {
	n.elapse(ticks)
	n.lease.validFrom = n.now
	switch {
	case n.role != RoleLeader:
	case ticks >= n.opts.ElectionTicks:
		n.recordStepDown(StepDownPause)
		n.becomeFollower(n.hardState.Term, "")
	default:
		n.heartbeat()
	}
}

// tickLeader sends heartbeats, and steps down when nothing has shown for long that a quorum still answers. Without a lease
// it leads nobody astray until then; if it stepped down as soon as answers are late, the group would have no leader at all.
func (n *Node) tickLeader() {
	if tick := max(n.quorumAckTick(), n.lease.campaignTick); tick > n.quorumProgress {
		n.patience.observe(n.leaderSilence, n.now, n.opts)
		// Answers that always take as long are late, too, though regular.
		if age := int(n.now - tick); age <= maxLateTimeouts*n.opts.ElectionTicks {
			n.patience.observe(age/2, n.now, n.opts)
		}
		n.quorumProgress, n.leaderSilence = tick, 0
	}
	if n.leaderSilence >= n.stepDownTicks() {
		n.recordStepDown(StepDownNoAnswers)
		n.becomeFollower(n.hardState.Term, "")
		return
	}
	n.tickTransfer()
	if n.role != RoleLeader {
		return
	}
	n.dropSilentLearners()
	if n.elapsed >= n.opts.HeartbeatTicks {
		n.elapsed = 0
		n.heartbeat()
	}
	n.repair()
}

// Propose appends data to the leader's log and returns the index and term of the new entry. The
// entry is committed once Ready returns an entry with this index and term in Committed; until
// then, a new leader may replace the entry. If Propose returns an error, it is ErrNotLeader or
// ErrBusy, and nothing was appended.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if !n.mayPropose() {
		return 0, 0, ErrNotLeader
	}
	if n.uncommittedBytes+len(data) > maxUncommittedBytes || n.log.last()-n.log.commit >= maxUncommittedEntries {
		return 0, 0, ErrBusy
	}
	n.uncommittedBytes += len(data)
	e := n.propose(EntryCommand, data)
	return e.Index, e.Term, nil
}

// mayPropose reports whether the node is a leader that has a lease or would have one if answers were not late: for as
// long as its followers wait for it. An entry needs no lease, since no quorum stores it for a leader that was replaced.
func (n *Node) mayPropose() bool {
	if n.role != RoleLeader || n.transferee != "" {
		return false
	}
	ackTick := n.quorumAckTick()
	isLate := ackTick != 0 && ackTick >= n.lease.validFrom && n.patience.extraAt(n.now) > 0 && n.now-ackTick < uint64(n.patienceTicks())
	return n.HasLease() || isLate
}

func (n *Node) propose(kind EntryKind, data []byte) Entry {
	e := Entry{Term: n.hardState.Term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	return e
}

// Step handles a message from another node.
func (n *Node) Step(m Message) {
	if m.To != n.opts.ID || n.IsRolledBack() || n.stepBootstrap(m) {
		return
	}
	if m.Group != n.Group() || !n.recordSender(m) || n.stepVerification(m) {
		return
	}
	n.recognizeLost(m)
	if m.Term > n.hardState.Term && !n.handleNewerTerm(m) {
		return
	}
	if m.Term < n.hardState.Term {
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

// handleNewerTerm handles a message with a newer term and reports whether Step continues with it.
// A pre-vote never changes the term, and a vote request is ignored while a leader is active, so
// that a node that returns from a network partition can't depose a working leader.
func (n *Node) handleNewerTerm(m Message) bool {
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
		if n.leaderMayHoldLease() && !m.Force {
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

// rejectOldTerm replies to a request with an older term. The reply carries the newer term.
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

// Ready returns the work that has accumulated since the last call of Advance.
func (n *Node) Ready() Ready {
	n.sendNewEntries()
	r := Ready{Snapshot: n.pendingSnapshot, Messages: n.messages}
	if hs := n.HardState(); hs != n.savedHardState {
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

// Advance tells the node that the caller has done the work in r.
func (n *Node) Advance(r Ready) {
	if r.Snapshot != nil {
		n.pendingSnapshot = nil
	}
	if r.HardState != nil {
		n.savedHardState = *r.HardState
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
	n.confirmation.recordApplied(n.log.applied)
	// The leader counts itself towards a quorum only for entries that it has stored durably.
	if n.role == RoleLeader {
		n.maybeCommit()
	}
}

// Compact replaces the log up to index with a snapshot and returns the snapshot and the entries
// after it. data is the encoded state after the entry at index was applied. Compact returns
// false if a newer snapshot exists by now. Call it directly after Advance, with no Ready in
// between, and save the snapshot before the next Ready.
func (n *Node) Compact(index uint64, data []byte) (s Snapshot, rest []Entry, ok bool) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return s, nil, false
	}
	s = n.log.compact(index, data, retainedEntries)
	n.dropFormerVoters()
	return s, n.log.between(index, n.log.stable), true
}

func (n *Node) resetTimer() {
	n.elapsed = 0
	n.electionTimeout = n.drawElectionTimeout()
}

func (n *Node) send(m Message) {
	m.From = n.opts.ID
	m.Group = n.Group()
	if m.Kind != KindHello {
		// A hello says that this replica has no log yet, so that also a new leader sends it a snapshot.
		m.Group = cmp.Or(m.Group, n.joiningGroup)
	}
	m.Disk = n.opts.Disk
	m.Epoch = n.opts.Epoch
	m.Unverified = !n.verification.done
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) membership() Membership { return n.log.membership() }

// isVoter reports whether the sender is a voter that runs on the data folder registered for it.
func (n *Node) isVoter(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	return ok && v.Disk == m.Disk
}

// isVoting reports whether this node is a voter and runs on the data folder registered for it.
func (n *Node) isVoting() bool {
	v, ok := n.membership().Voter(n.opts.ID)
	return ok && v.Disk == n.opts.Disk
}
