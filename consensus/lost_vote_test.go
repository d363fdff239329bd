package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a restarted voter that has lost its vote and passes, because an append of that term arrives before the
// rejection: it could vote a second time in the term.
func TestLostVoteIsFoundBesideAnAppend(t *testing.T) {
	is := is.New(t)
	m := Membership{Group: 1, Size: 3}
	for i, id := range []string{"a", "b", "c"} {
		m.Voters = append(m.Voters, Voter{ID: id, Disk: uint64(i) + 1})
	}
	s := Snapshot{Index: 1, Term: 1, Membership: m}
	start := func(id string, disk, starts uint64) *Node {
		return New(Options{ID: id, Disk: disk, Epoch: starts << EpochNonceBits, InitialVoters: []string{"a", "b", "c"}, ElectionTicks: 10, HeartbeatTicks: 2},
			HardState{Term: 1}, s, nil)
	}
	a := start("a", 1, 1)
	a.verification.done = true
	for range 20 {
		a.Tick()
	}
	a.messages = nil
	a.becomeCandidate(false) // term 2
	a.Step(Message{Kind: KindVoteReply, From: "b", To: "a", Group: 1, Disk: 2, Epoch: 1 << EpochNonceBits, Term: 2})
	is.Equal(a.Role(), RoleLeader)
	a.Advance(a.Ready())

	b := start("b", 2, 2) // with the folder of term 1
	var question Message
	for question.Kind != KindVerify {
		b.Tick()
		for _, x := range b.Ready().Messages {
			if x.Kind == KindVerify && x.To == "a" {
				question = x
			}
		}
	}
	b.Advance(b.Ready())
	// The append begins beyond b's log, so b stores nothing of it but the term.
	b.Step(Message{Kind: KindAppend, From: "a", To: "b", Group: 1, Disk: 1, Epoch: 1 << EpochNonceBits, Term: 2, PrevIndex: 2, PrevTerm: 2, Commit: 1})
	for _, x := range b.Ready().Messages {
		if x.To == "a" {
			a.Step(x) // a hears of the new start before the question comes
		}
	}
	b.Advance(b.Ready())
	a.Step(question)
	for _, x := range a.Ready().Messages {
		if x.Kind == KindVerifyReply {
			b.Step(x)
		}
	}
	is.True(b.IsRolledBack())
}

// Guards against a data folder that is confirmed although it has lost what a leader said was stored: this node heard of it
// before it knew the folder, and has learnt of another one since.
func TestStoredPositionOfALaterFolderIsKept(t *testing.T) {
	with := func(d uint64) Membership {
		return Membership{Group: 1, Size: 3, Voters: []Voter{{ID: "a", Disk: 1}, {ID: "b", Disk: d}, {ID: "c", Disk: 3}}}
	}
	m3, m4, m5 := with(2), with(4), with(5)
	without := m3.without("b")
	n := New(Options{ID: "a", Disk: 1, Epoch: 1 << EpochNonceBits, InitialVoters: []string{"a", "b", "c"}, ElectionTicks: 10, HeartbeatTicks: 2},
		HardState{Term: 2}, Snapshot{Index: 4, Term: 1, Membership: m3}, nil)
	n.Step(Message{Kind: KindAppend, From: "c", To: "a", Group: 1, Disk: 3, Epoch: 1 << EpochNonceBits, Term: 2, PrevIndex: 4, PrevTerm: 1,
		Stored: []StoredPosition{{ID: "b", Position: Position{Term: 2, Index: 20}}}})
	n.Step(Message{Kind: KindAppend, From: "c", To: "a", Group: 1, Disk: 3, Epoch: 1 << EpochNonceBits, Term: 2, PrevIndex: 4, PrevTerm: 1,
		Entries: []Entry{{Term: 2, Index: 5, Kind: EntryMembership, Data: without.Encode()}, {Term: 2, Index: 6, Kind: EntryMembership, Data: m4.Encode()}}})
	n.messages = nil
	n.Step(Message{Kind: KindVerify, From: "b", To: "a", Group: 1, Disk: 5, Epoch: 2 << EpochNonceBits, Term: 2, PrevIndex: 10, PrevTerm: 2, Membership: &m5})
	if r := lastMessage(n, KindVerifyReply); r.Kind != 0 && !r.Reject {
		t.Fatalf("confirmed %+v although a leader said that b had stored 2/20; records: %v", r, n.voterRecords)
	}
}
