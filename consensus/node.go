package consensus

import (
	"math/rand/v2"
	"slices"
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

// maxAppendEntries bounds the entries of one append message.
const maxAppendEntries = 256

// Options describe a node.
type Options struct {
	ID     string
	Voters []string
	// ElectionTicks is the shortest election timeout; the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's appends.
	HeartbeatTicks int
	// Seed makes the election timeouts repeatable.
	Seed uint64
}

// progress is what a leader knows of one follower.
type progress struct {
	match  uint64
	next   uint64
	active bool
}

// Node is one replica of the log.
type Node struct {
	opts     Options
	role     Role
	hard     HardState
	saved    HardState
	leader   string
	entries  []Entry // entries[i].Index == i+1
	stable   uint64
	commit   uint64
	applied  uint64
	elapsed  int
	timeout  int
	quiet    int
	votes    map[string]bool
	peers    map[string]*progress
	messages []Message
	rng      *rand.Rand
}

// New returns a follower with the state that was saved before.
func New(opts Options, hard HardState, entries []Entry) *Node {
	n := &Node{
		opts:    opts,
		hard:    hard,
		saved:   hard,
		entries: entries,
		stable:  uint64(len(entries)),
		rng:     rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	n.resetTimer()
	return n
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the node's term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the term, or "" when it is not known.
func (n *Node) Leader() string { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.commit }

// Tick advances the node's logical clock by one.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout {
		n.becomePreCandidate()
	}
}

// tickLeader sends heartbeats and steps down when no quorum was heard for an election timeout.
func (n *Node) tickLeader() {
	n.quiet++
	if n.quiet >= n.opts.ElectionTicks {
		n.quiet = 0
		if !n.quorumActive() {
			n.becomeFollower(n.hard.Term, "")
			return
		}
	}
	if n.elapsed >= n.opts.HeartbeatTicks {
		n.elapsed = 0
		n.broadcastAppend()
	}
}

// Propose appends data to the leader's log and returns the entry's index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	e := Entry{Term: n.hard.Term, Index: n.lastIndex() + 1, Data: data}
	n.entries = append(n.entries, e)
	n.broadcastAppend()
	n.maybeCommit()
	return e.Index, e.Term, nil
}

// Step handles a message from another node.
func (n *Node) Step(m Message) {
	if !slices.Contains(n.opts.Voters, m.From) {
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
		if n.hearsLeader() {
			return false
		}
		n.becomeFollower(m.Term, "")
	case KindAppend:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// rejectOldTerm tells a sender with an older term about the newer one.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case KindAppend:
		n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Hint: n.lastIndex()})
	case KindPreVote:
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	case KindVote:
		n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true})
	}
}

// Ready returns the work that has accumulated since the last Advance.
func (n *Node) Ready() Ready {
	var r Ready
	if n.hard != n.saved {
		hs := n.hard
		r.HardState = &hs
	}
	if n.stable < n.lastIndex() {
		r.Entries = slices.Clone(n.entries[n.stable:])
	}
	r.Messages = n.messages
	if durable := min(n.commit, n.lastIndex()); durable > n.applied {
		r.Committed = slices.Clone(n.entries[n.applied:durable])
	}
	return r
}

// Advance tells the node that the work of r is done.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if k := len(r.Entries); k > 0 {
		n.stable = r.Entries[k-1].Index
	}
	n.messages = n.messages[len(r.Messages):]
	if len(n.messages) == 0 {
		n.messages = nil
	}
	if k := len(r.Committed); k > 0 {
		n.applied = r.Committed[k-1].Index
	}
	// The leader counts its own entries only once they are durable.
	if n.role == RoleLeader {
		n.maybeCommit()
	}
}

func (n *Node) lastIndex() uint64 { return uint64(len(n.entries)) }

func (n *Node) termAt(index uint64) uint64 {
	if index == 0 || index > n.lastIndex() {
		return 0
	}
	return n.entries[index-1].Term
}

func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.opts.ElectionTicks + n.rng.IntN(n.opts.ElectionTicks)
}

func (n *Node) send(m Message) {
	m.From = n.opts.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) quorum() int { return len(n.opts.Voters)/2 + 1 }
