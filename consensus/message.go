// Package consensus is a replicated log for the few instances that have a disk.
//
// A Node is a pure state machine: the caller ticks it, steps messages into it and takes
// batches of work from Ready. It reads no clock, starts no goroutine and does no I/O. For
// each Ready the caller must, in this order: save the snapshot, the hard state and the
// entries durably; send the messages; restore the state from the snapshot and apply the
// committed entries; call Advance.
//
// A group is founded once, when all the founders have answered with empty folders. From
// then on a voter is a name together with the data folder that it had when it was admitted.
package consensus

import "errors"

// Errors of Propose.
var (
	// ErrNotLeader means that the node is not the leader, or has no lease.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrBusy means that too much waits for its commit; nothing was appended.
	ErrBusy = errors.New("consensus: too many entries wait for their commit")
)

// Kind names a step of the protocol.
type Kind uint8

// The steps of the protocol.
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
	// KindHello is said by a replica that no leader serves.
	KindHello
	KindHelloReply
	// KindFound tells a founder the first membership.
	KindFound
	// KindVerify asks what the other voters remember of a voter that has restarted.
	KindVerify
	KindVerifyReply
	// KindTimeoutNow asks a voter to take the leadership over.
	KindTimeoutNow
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command of the replicated state, or nothing.
	EntryCommand EntryKind = iota
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Data is the encoded state; empty before the first command.
	Data []byte
}

// Position is a place in the log.
type Position struct {
	Term  uint64
	Index uint64
}

// less reports whether p is less up to date than q.
func (p Position) less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// Stored is how far the log of a voter was known to reach.
type Stored struct {
	ID       string
	Position Position
}

// Message is exchanged between nodes.
type Message struct {
	Kind Kind
	From string
	To   string
	// Group, Disk and Epoch tell which group and which start of which folder is speaking.
	Group uint64
	Disk  uint64
	Epoch uint64
	Term  uint64
	// PrevIndex and PrevTerm name the entry before Entries in an append, the last entry of
	// the sender in a vote or a verification, and a snapshot's place in its chunks.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Reject    bool
	// Hint is the last index known to match in a reply to an append, and the number of bytes
	// received in a reply to a chunk.
	Hint uint64
	// Round is the leader's number of the message that a reply answers.
	Round uint64
	// Force marks a vote that the leader itself asked for.
	Force bool
	// Unverified marks replies of a replica that may not be counted.
	Unverified bool
	// Address is where the sender of a hello is reached.
	Address string
	// Membership is set in KindFound and KindSnapshot.
	Membership *Membership
	// Chunk, Offset and Size carry a part of a snapshot's data.
	Chunk  []byte
	Offset uint64
	Size   uint64
	// Stored is what the leader knows of the voters' logs, in heartbeats.
	Stored []Stored
}

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term uint64
	Vote string
}

// Ready is a batch of work for the caller.
type Ready struct {
	// Snapshot is to be saved and takes the place of the whole log and state; nil: none.
	Snapshot *Snapshot
	// HardState is nil when it has not changed.
	HardState *HardState
	// Entries are to be saved. They replace whatever is stored at and after their first index.
	Entries []Entry
	// Messages are to be sent once all of the above is durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}

// IsEmpty reports whether there is nothing to do.
func (r Ready) IsEmpty() bool {
	return r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}
