package consensus

import (
	"maps"
	"slices"
)

// maxInFlight bounds the appends to one replica that were not answered.
const maxInFlight = 32

// progress is what a leader knows of one replica.
type progress struct {
	match uint64
	next  uint64
	// disk and epoch tell which start of which folder answers; epoch is 0 before the first answer.
	disk    uint64
	epoch   uint64
	address string
	// heard is the tick of the last answer, round the last round that was answered.
	heard uint64
	round uint64
	// unverified replicas get the log and are not counted.
	unverified bool
	// probing means that the place where the logs agree is being looked for, with one append
	// at a time.
	probing  bool
	inFlight int
	snapshot *outgoingSnapshot
}

// restart forgets what an earlier start of the replica has stored.
func (p *progress) restart(m Message, last uint64) {
	*p = progress{next: last + 1, disk: m.Disk, epoch: m.Epoch, address: p.address, probing: true}
}

// peerIDs returns the replicas that the leader serves, in a fixed order.
func (n *Node) peerIDs() []string { return slices.Sorted(maps.Keys(n.peers)) }

// counts reports whether the replica's answers count towards a quorum.
func (n *Node) counts(id string, p *progress) bool {
	v, ok := n.membership().Voter(id)
	return ok && v.Disk == p.disk && !p.unverified
}

// answered finds the progress of a replica that answers the leader; nil means that the
// leader does not serve it.
func (n *Node) answered(m Message) *progress {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return nil
	}
	if p.disk != m.Disk || (p.epoch != 0 && p.epoch != m.Epoch) {
		p.restart(m, n.log.last())
	}
	p.epoch = m.Epoch
	p.unverified = m.Unverified
	p.heard = n.now
	p.round = max(p.round, min(m.Round, n.lease.round))
	return p
}
