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
	// offset is that of the chunk that is on its way, firstAt and sentAt the ticks at which it was first and last
	// sent, and isLost is set if it will not arrive.
	offset  uint64
	firstAt uint64
	sentAt  uint64
	isLost  bool
}

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	// leaderTerm is the term of the leader that sends it.
	leaderTerm uint64
	index      uint64
	term       uint64
	data       []byte
}

func (n *Node) startSnapshot(id string, p *progress) {
	p.snapshot = &outgoingSnapshot{snapshot: n.log.snapshot}
	p.sent = nil
	p.snapshot.firstAt = n.now
	n.sendChunk(id, p)
}

// tickSnapshot sends a replica that receives a snapshot a heartbeat, or the chunk again if it is overdue. A replica
// that has answered nothing at all since then must first answer a heartbeat.
func (n *Node) tickSnapshot(id string, p *progress) {
	switch {
	case n.isSilentSince(p, p.snapshot.sentAt):
		p.snapshot.isLost = true
	case p.isOverdue(p.snapshot.sentAt, n.now, n.opts):
		n.sendChunk(id, p)
		return
	}
	n.sendPart(id, p, p.snapshot.offset)
}

// sendChunk sends the next chunk that the replica lacks.
func (n *Node) sendChunk(id string, p *progress) {
	p.snapshot.sentAt, p.snapshot.isLost = n.now, false
	n.sendPart(id, p, min(uint64(len(p.snapshot.snapshot.Data)), p.snapshot.offset+chunkBytes))
}

// sendPart sends the snapshot's data from the offset up to end. Without data, it is a heartbeat to which the replica
// replies how much it has received.
func (n *Node) sendPart(id string, p *progress, end uint64) {
	s := p.snapshot.snapshot
	size := uint64(len(s.Data))
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
	n.hearLeader(m)
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
	if m.Term == in.leaderTerm && m.PrevIndex < in.index {
		// A late chunk of an earlier snapshot of the same leader.
		n.send(Message{Kind: KindSnapshotReply, To: m.From, PrevIndex: in.index, Hint: uint64(len(in.data)), Round: m.Round})
		return
	}
	if in.index != m.PrevIndex || in.term != m.PrevTerm {
		*in = incomingSnapshot{index: m.PrevIndex, term: m.PrevTerm}
	}
	in.leaderTerm = m.Term
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
	s := p.snapshot
	if m.Hint < s.offset || m.Hint > uint64(len(s.snapshot.Data)) || m.Hint == s.offset && !s.isLost {
		return
	}
	if m.Hint > s.offset {
		p.recordArrival(s.firstAt, n.now, n.opts)
		s.firstAt = n.now
	}
	s.offset = m.Hint
	n.sendChunk(m.From, p)
}
