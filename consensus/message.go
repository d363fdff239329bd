// Package consensus implements a replicated log, based on Raft, for the few instances that have
// a disk.
//
// A Node is a pure state machine. It reads no clock, starts no goroutine and does no I/O. The
// caller drives it with Tick, passes received messages to Step and takes batches of work from
// Ready. For each Ready the caller must do the following, in this order:
//
//  1. save the snapshot, the hard state and the entries durably;
//  2. send the messages;
//  3. restore the state from the snapshot and apply the committed entries;
//  4. call Advance.
//
// A group is bootstrapped once, when all initial voters have replied with empty data folders.
// From then on a voter is identified by its name and by the data folder that it had when it
// became a voter.
package consensus

import "errors"

// Errors of Propose.
var (
	// ErrNotLeader means that the node is not the leader, or has no lease and none of its followers would wait for it.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrBusy means that too many proposals are uncommitted. Nothing was appended.
	ErrBusy = errors.New("consensus: too many uncommitted entries")
)

// Kind is the type of a message.
type Kind uint8

// The types of messages.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	// KindSnapshot carries one chunk of a snapshot.
	KindSnapshot
	KindSnapshotReply
	// KindHello is sent by a replica that receives no log from a leader.
	KindHello
	KindHelloReply
	// KindBootstrap sends the initial membership to an initial voter.
	KindBootstrap
	// KindVerify is sent by a restarted voter. It asks the receiver to check the state of the sender
	// against the records that the receiver has of it.
	KindVerify
	KindVerifyReply
	// KindTimeoutNow asks a voter to start an election at once, to take over the leadership.
	KindTimeoutNow
)

// EntryKind is the type of an entry's data.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command for the replicated state. Its data is empty in the entry that
	// a new leader appends.
	EntryCommand EntryKind = iota
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Data is the encoded state. It is empty before the first command.
	Data []byte
}

// Position identifies an entry in the log. Positions are ordered by term, then by index.
type Position struct {
	Term  uint64
	Index uint64
}

// less reports whether a log that ends at p is less up to date than one that ends at q.
func (p Position) less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// StoredPosition is the last position that a voter is known to have stored.
type StoredPosition struct {
	ID       string
	Position Position
}

// Message is exchanged between nodes.
type Message struct {
	Kind Kind
	From string
	To   string
	// Group, Disk and Epoch identify the sender's group, its data folder and its start.
	Group uint64
	Disk  uint64
	Epoch uint64
	Term  uint64
	// PrevIndex and PrevTerm identify an entry: in an append, the entry before Entries; in a vote or
	// verification, the last entry of the sender; in a snapshot chunk, the last entry that the
	// snapshot covers.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Reject    bool
	// Hint depends on the kind: in a reply to an append, it is the last index known to match; in a
	// reply to a snapshot chunk, the number of bytes received; in a reply to a verification, the
	// epoch that was checked.
	Hint uint64
	// Round is the number of the leader's heartbeat round. A reply repeats the round of the
	// message that it answers.
	Round uint64
	// AckedRound is the latest round to which the leader had a reply of the receiver when Round began, and
	// AckedEpoch is the epoch of the receiver that replied. ConfirmedRound is the latest round to which a quorum
	// has replied. Only appends carry them; 0 means none.
	AckedRound     uint64
	AckedEpoch     uint64
	ConfirmedRound uint64
	// RecordedTerm is the highest term that the sender knows the receiver to have been in. It is set, with the
	// receiver's position in Stored, in a reply that rejects a verification because of them.
	RecordedTerm uint64
	// Force marks a vote request of a leadership transfer. Voters handle it even while a leader
	// is active.
	Force bool
	// Unverified marks messages of a replica whose saved state is not verified yet. The replies of
	// such a replica do not count towards a quorum.
	Unverified bool
	// Address is the sender's network address in a hello and in its reply.
	Address string
	// FormLevel is the highest level of commands that the sender applies; 0 means that it names none. The
	// caller of the node sets and reads it.
	FormLevel uint32
	// Membership is set in KindBootstrap and KindSnapshot, in a KindVerifyReply that answers a
	// KindVerify, and in a KindHelloReply of a replica that belongs to a group.
	Membership *Membership
	// Chunk is the part of a snapshot's data that begins at Offset. Size is the length of all data.
	Chunk  []byte
	Offset uint64
	Size   uint64
	// Stored lists the positions that the leader knows the voters to have stored. It is set in
	// heartbeats.
	Stored []StoredPosition
}

// HardState is the current term of a node, its vote in that term, and the end of its log that it knows
// to be committed. Term and Vote must be durable before any message of the same Ready is sent.
//
// Commit needs no sync, and an older one may be saved: it only lets a restarted replica apply its log
// again before it has contact to others. This is safe because a committed entry never changes, whether
// or not this replica is verified and whoever leads, and because an entry's term and index determine it
// and all entries before it. So a replica whose folder was rolled back or has lost writes applies an
// older state, which the group has had, and never one that it has not had. A replica that isn't
// verified still grants no vote, and its replies count towards no quorum.
type HardState struct {
	Term   uint64
	Vote   string
	Commit Position
}

// Ready is a batch of work for the caller.
type Ready struct {
	// Snapshot must be saved. It replaces the whole log and state; nil means none.
	Snapshot *Snapshot
	// HardState is nil when it has not changed.
	HardState *HardState
	// Entries must be saved. They replace all stored entries from their first index on.
	Entries []Entry
	// Messages must be sent once all of the above is durable.
	Messages []Message
	// Committed entries must be applied in order.
	Committed []Entry
}

// IsEmpty reports whether the batch contains no work.
func (r Ready) IsEmpty() bool {
	return r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}
