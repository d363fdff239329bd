package consensus

import (
	"maps"
	"slices"
)

const (
	// maxInFlight and maxInFlightBytes limit the unanswered appends with entries to one replica. One is always sent.
	maxInFlight      = 32
	maxInFlightBytes = 1 << 20
	// retryTimeouts is the number of election timeouts after which entries or a chunk without an answer are sent
	// again, and maxRetryTimeouts the most that it is where those before took long. The sender drops what is still
	// on its way.
	retryTimeouts    = 4
	maxRetryTimeouts = 16
)

// progress is the leader's view of one replica.
type progress struct {
	// match is the highest index at which the replica's log is known to match the leader's, and next
	// is the index of the next entry to send.
	match uint64
	next  uint64
	// disk and epoch identify the data folder and the start of the replica; epoch is 0 before the
	// first reply.
	disk  uint64
	epoch uint64
	// address is the one in the membership until the replica has said its own in a hello. A replica with a new data
	// folder gets the log of a new leader as the voter of its name does, and needs to send no hello.
	address string
	// lastSeen is the tick at which a message of the replica was last received, later by what Elapse has not counted as
	// silence since then, and ackedRound is
	// the latest round that it has answered.
	lastSeen   uint64
	ackedRound uint64
	// ackedBefore is ackedRound when the current round began.
	ackedBefore uint64
	// unverified means that the saved state of the replica is not verified yet. The leader sends it
	// the log, but its replies do not count towards a quorum.
	unverified bool
	// probing means that the leader is searching for the last index at which the logs match,
	// with appends without entries.
	probing bool
	// sent are the unanswered appends with entries, in the order of their entries and without a gap.
	sent []sentAppend
	// advancedAt is the tick of the latest answer that showed that entries or a chunk had arrived, and retryTicks
	// the time without such an answer after which they are sent again; 0 means retryTimeouts.
	advancedAt uint64
	retryTicks uint64
	snapshot   *outgoingSnapshot
}

// sentAppend is an append with entries that the replica has not answered.
type sentAppend struct {
	// prev is the index before its entries, and last that of its last entry.
	prev, last uint64
	bytes      int
	at         uint64 // tick
	// againAt and againRound are the tick and the round in which it was last sent again; 0 means never.
	againAt, againRound uint64
}

// inFlightBytes returns the size of the unanswered entries.
func (p *progress) inFlightBytes() int {
	size := 0
	for _, s := range p.sent {
		size += s.bytes
	}
	return size
}

// recordMatch records up to which index the replica's log matches.
func (p *progress) recordMatch(index, now uint64, opts Options) {
	if index <= p.match {
		return
	}
	p.match = index
	for len(p.sent) > 0 && p.sent[0].last <= index {
		p.recordArrival(p.sent[0].at, now, opts)
		p.sent = p.sent[1:]
	}
	if p.next <= index+1 {
		p.next = index + 1
		p.sent = nil
	}
}

// recordArrival records that what was sent at a tick has arrived. The time that it took since then, or since
// what was sent before it had arrived, is what the next ones may take.
func (p *progress) recordArrival(sentAt, now uint64, opts Options) {
	took := now - max(sentAt, p.advancedAt)
	p.advancedAt = now
	p.retryTicks = min(max(3*took, firstRetryTicks(opts)), maxRetryTicks(opts))
}

// isOverdue reports whether what was sent at a tick has been without an answer for too long.
func (p *progress) isOverdue(sentAt, now uint64, opts Options) bool {
	return now-max(sentAt, p.advancedAt) >= max(p.retryTicks, firstRetryTicks(opts))
}

// stepBack makes the replica's next entry the one after the index, once the replica has shown that it matches up
// to there.
func (p *progress) stepBack(index uint64) {
	p.probing = true
	p.next = index + 1
	for len(p.sent) > 0 && p.sent[len(p.sent)-1].last > index {
		p.sent = p.sent[:len(p.sent)-1]
	}
}

func firstRetryTicks(o Options) uint64 { return uint64(retryTimeouts * o.ElectionTicks) }

func maxRetryTicks(o Options) uint64 { return uint64(maxRetryTimeouts * o.ElectionTicks) }

// reset discards the progress when the replica has restarted, since the replica may have lost
// entries that it had stored.
func (p *progress) reset(m Message, last uint64) {
	*p = progress{next: last + 1, disk: m.Disk, epoch: m.Epoch, address: p.address, probing: true}
}

// peerIDs returns the replicas that the leader sends the log to, in sorted order.
func (n *Node) peerIDs() []string { return slices.Sorted(maps.Keys(n.peers)) }

// countsTowardsQuorum reports whether the replica's replies count towards a quorum.
func (n *Node) countsTowardsQuorum(id string, p *progress) bool {
	v, ok := n.membership().Voter(id)
	return ok && v.Disk == p.disk && !p.unverified
}

// recordReply records that a replica has replied, and returns its progress. It returns nil if this
// node is not the leader or sends no log to the replica.
func (n *Node) recordReply(m Message) *progress {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return nil
	}
	if p.disk != m.Disk || (p.epoch != 0 && p.epoch != m.Epoch) {
		p.reset(m, n.log.last())
	}
	p.epoch = m.Epoch
	p.unverified = m.Unverified
	p.lastSeen = n.now
	p.ackedRound = max(p.ackedRound, min(m.Round, n.lease.round))
	return p
}
