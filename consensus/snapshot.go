package consensus

const (
	// chunkBytes is the maximum amount of snapshot data in one message.
	chunkBytes = 256 << 10
	// maxSnapshotBytes is the size of the largest snapshot that a replica accepts.
	maxSnapshotBytes = 512 << 20
)

// outgoingSnapshot is a snapshot that is being sent to one replica, one chunk at a time.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   uint64
}

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

func (n *Node) startSnapshot(id string, p *progress) {
	p.snapshot = &outgoingSnapshot{snapshot: n.log.snapshot}
	p.inFlight = 0
	n.sendChunk(id, p)
}

// sendChunk sends the next chunk that the replica lacks. Each chunk also serves as a heartbeat.
func (n *Node) sendChunk(id string, p *progress) {
	s := p.snapshot.snapshot
	size := uint64(len(s.Data))
	end := min(size, p.snapshot.offset+chunkBytes)
	n.send(Message{
		Kind:       KindSnapshot,
		To:         id,
		PrevIndex:  s.Index,
		PrevTerm:   s.Term,
		Membership: &s.Membership,
		Chunk:      s.Data[p.snapshot.offset:end],
		Offset:     p.snapshot.offset,
		Size:       size,
		Round:      n.lease.round,
	})
}

func (n *Node) handleSnapshot(m Message) {
	n.becomeFollower(m.Term, m.From)
	n.leaderLastSeen = n.now
	n.observeRound(m)
	if m.PrevIndex <= n.log.commit {
		n.send(Message{Kind: KindAppendReply, To: m.From, Hint: n.log.commit, Round: m.Round})
		return
	}
	if m.Membership == nil || m.Size > maxSnapshotBytes {
		return
	}
	in := &n.incoming
	if in.index != m.PrevIndex || in.term != m.PrevTerm {
		*in = incomingSnapshot{index: m.PrevIndex, term: m.PrevTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
	}
	if uint64(len(in.data)) < m.Size {
		n.send(Message{Kind: KindSnapshotReply, To: m.From, PrevIndex: m.PrevIndex, Hint: uint64(len(in.data)), Round: m.Round})
		return
	}
	n.install(Snapshot{Index: m.PrevIndex, Term: m.PrevTerm, Membership: *m.Membership, Data: in.data})
	n.incoming = incomingSnapshot{}
	n.send(Message{Kind: KindAppendReply, To: m.From, Hint: m.PrevIndex, Round: m.Round})
}

// install replaces the log with a snapshot, which the next Ready returns to the caller.
func (n *Node) install(s Snapshot) {
	n.log.restore(s)
	n.pendingSnapshot = &s
}

func (n *Node) handleSnapshotReply(m Message) {
	p := n.recordReply(m)
	if p == nil || p.snapshot == nil || p.snapshot.snapshot.Index != m.PrevIndex {
		return
	}
	if m.Hint <= p.snapshot.offset || m.Hint > uint64(len(p.snapshot.snapshot.Data)) {
		return
	}
	p.snapshot.offset = m.Hint
	n.sendChunk(m.From, p)
}
