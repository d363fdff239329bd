// Package consensus is a replicated log for the few instances that have a disk.
//
// A Node is a pure state machine: the caller ticks it, steps messages into it and takes
// batches of work from Ready. It reads no clock, starts no goroutine and does no I/O. The
// caller must save a Ready's hard state and entries durably before it sends the Ready's
// messages, and then call Advance.
package consensus

import "errors"

// ErrNotLeader is returned by Propose on a node that is not the leader.
var ErrNotLeader = errors.New("consensus: not the leader")

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
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Data  []byte
}

// Message is exchanged between nodes.
type Message struct {
	Kind Kind
	From string
	To   string
	Term uint64
	// PrevIndex and PrevTerm name the entry before Entries in an append, and the
	// candidate's last entry in a vote.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Reject    bool
	// Hint is the last index known to match in a reply to an append.
	Hint uint64
}

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term uint64
	Vote string
}

// Ready is a batch of work for the caller.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *HardState
	// Entries are to be saved. They replace whatever is stored at and after their first index.
	Entries []Entry
	// Messages are to be sent once HardState and Entries are durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}
