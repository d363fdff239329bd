package consensus

import "slices"

// EpochNonceBits is the number of random bits in an epoch.
const EpochNonceBits = 24

// verificationTimeouts is the number of election timeouts that a restarted voter waits for
// confirmations from all other voters. After that, confirmations from a quorum suffice.
const verificationTimeouts = 2

// verification is the state of the check that a replica makes after a restart. A replica can't
// detect by itself that its data folder was replaced with an older copy or that acknowledged
// writes were lost. It therefore asks the other voters, which have records of what it had stored.
type verification struct {
	done       bool
	rolledBack bool
	// confirmed holds the voters that have confirmed this replica's state.
	confirmed map[string]bool
	// latestMembership is the membership of the most up-to-date replica that has confirmed this
	// replica's state, and latestPosition is the end of that other replica's log.
	latestMembership Membership
	latestPosition   Position
}

func newVerification(done bool) verification {
	return verification{done: done, confirmed: make(map[string]bool)}
}

// folderKey identifies a data folder of a voter, or of a replica of a voter's name.
type folderKey struct {
	id   string
	disk uint64
}

// voterRecord is a node's record of another voter with one of its data folders.
type voterRecord struct {
	epoch uint64
	// term is the highest term that the voter is known to have been in, earlierTerm that of its starts before
	// the one of epoch, and stored is the last position that the voter is known to have stored.
	term        uint64
	earlierTerm uint64
	stored      Position
}

// IsRolledBack reports whether the data folder of this replica is older than the records that
// another voter has of the replica. The node then does nothing; the caller must start again with
// an empty data folder.
func (n *Node) IsRolledBack() bool { return n.verification.rolledBack }

// tickVerification asks the other voters to confirm this replica's state until enough of them have
// confirmed it. It takes the list of voters from the most up-to-date replica, because this replica
// may not know that a lost voter was replaced.
func (n *Node) tickVerification() {
	v := &n.verification
	if v.done || !n.hasGroup() {
		return
	}
	membership := n.membership()
	if n.log.lastPosition().less(v.latestPosition) {
		membership = v.latestMembership
	}
	missing, confirmed := 0, 0
	for _, voter := range membership.Voters {
		switch {
		case voter.ID == n.opts.ID:
		case v.confirmed[voter.ID]:
			confirmed++
		default:
			missing++
		}
	}
	waited := n.now >= uint64(verificationTimeouts*n.opts.ElectionTicks)
	v.done = missing == 0 || (waited && confirmed+1 >= membership.Quorum())
	if !v.done && n.isDue(n.opts.HeartbeatTicks) {
		n.requestVerification(membership)
	}
}

func (n *Node) requestVerification(membership Membership) {
	ids := n.knownReplicas()
	for _, voter := range membership.Voters {
		if voter.ID != n.opts.ID && !slices.Contains(ids, voter.ID) {
			ids = append(ids, voter.ID)
		}
	}
	last := n.log.lastPosition()
	var own *Membership
	if n.isVoting() {
		m := n.membership()
		own = &m
	}
	for _, id := range ids {
		if !n.verification.confirmed[id] {
			n.send(Message{Kind: KindVerify, To: id, PrevIndex: last.Index, PrevTerm: last.Term, Membership: own})
		}
	}
}

// stepVerification handles verification requests and replies. It returns false for all other
// messages.
func (n *Node) stepVerification(m Message) bool {
	switch m.Kind {
	case KindVerify:
		if !n.canVerify(m) {
			return true
		}
		outdated, record := n.compareWithRecord(m)
		last := n.log.lastPosition()
		membership := n.membership()
		reply := Message{
			Kind: KindVerifyReply, To: m.From, Reject: outdated, Hint: m.Epoch,
			Membership: &membership, PrevIndex: last.Index, PrevTerm: last.Term,
		}
		if record != nil {
			reply.RecordedTerm = record.term
			reply.Stored = []StoredPosition{{ID: m.From, Position: record.stored}}
		}
		n.send(reply)
		if _, ok := membership.Voter(m.From); ok && !outdated {
			n.updateRecord(m)
		}
	case KindVerifyReply:
		n.handleVerifyReply(m)
	default:
		return false
	}
	return true
}

func (n *Node) handleVerifyReply(m Message) {
	v := &n.verification
	if m.Hint != n.opts.Epoch || v.done || m.Membership == nil {
		return
	}
	if m.Reject {
		v.rolledBack = !n.explainsRecord(m)
		return
	}
	v.confirmed[m.From] = true
	if p := (Position{Term: m.PrevTerm, Index: m.PrevIndex}); v.latestPosition.less(p) {
		v.latestPosition = p
		v.latestMembership = *m.Membership
	}
}

// canVerify reports whether this node can verify the sender. It can't if the sender is a voter,
// does not run on the data folder registered for it, and has a more up-to-date log than this node:
// the group may have added the sender again with this data folder, in a membership that this node
// has not received. The exception is a sender whose log lists it with its data folder.
func (n *Node) canVerify(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	if !ok || v.Disk == m.Disk || !n.log.lastPosition().less(verifiedPosition(m)) {
		return true
	}
	return n.hasNewerFolder(m)
}

// hasNewerFolder reports whether the sender of a verification is a voter with a data folder that was registered after
// the one in this node's membership, and this node remembers nothing that the sender lacks.
//
// The sender's log is more up to date, so it holds all that was committed of this node's log. The folder that this node
// knows was added after the removal of the one before was committed. So the sender's log holds that removal, and a
// membership in it that lists the sender's folder is a later one. This node then answers as it would with that log.
// What leaders told it of the voter's position counts whatever folder it knew then, since it may concern this one.
func (n *Node) hasNewerFolder(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	if !ok || v.Disk == m.Disk || m.Membership == nil || !n.log.lastPosition().less(verifiedPosition(m)) {
		return false
	}
	listed, ok := m.Membership.Voter(m.From)
	if !ok || listed.Disk != m.Disk {
		return false
	}
	for key, record := range n.voterRecords {
		if key.id == m.From && verifiedPosition(m).less(record.stored) {
			return false
		}
	}
	return true
}

// verifiedPosition returns the end of the log of a verification's sender.
func verifiedPosition(m Message) Position { return Position{Term: m.PrevTerm, Index: m.PrevIndex} }

// compareWithRecord reports whether this node's records of a voter are ahead of the state in the voter's
// request. It returns the record if that is so because of the term or the stored position, which the voter may
// have reached after it sent the request.
func (n *Node) compareWithRecord(m Message) (outdated bool, record *voterRecord) {
	v, ok := n.membership().Voter(m.From)
	if !ok {
		return false, nil
	}
	if (v.Disk != m.Disk && !n.hasNewerFolder(m)) || (v.Disk == m.Disk && isOlderEpoch(m.Epoch, v.Epoch)) {
		return true, nil
	}
	record = n.voterRecords[folderKey{m.From, m.Disk}]
	if record == nil {
		return false, nil
	}
	// A term of an earlier start may be one in which the voter has voted, which nothing stored since makes good.
	if isOlderEpoch(m.Epoch, record.epoch) || m.Term < record.termBefore(m.Epoch) {
		return true, nil
	}
	if m.Term < record.term || verifiedPosition(m).less(record.stored) {
		return true, record
	}
	return false, nil
}

// termBefore returns the highest term that the voter is known to have been in before its start of the epoch.
func (r *voterRecord) termBefore(epoch uint64) uint64 {
	if r.epoch == epoch {
		return r.earlierTerm
	}
	return r.term
}

// explainsRecord reports whether this replica's state is not older than the record in a rejection. The request
// was then overtaken by what this replica has stored since, and a later one is confirmed.
func (n *Node) explainsRecord(m Message) bool {
	if len(m.Stored) != 1 || m.Stored[0].ID != n.opts.ID {
		return false
	}
	return n.hardState.Term >= m.RecordedTerm && !n.log.lastPosition().less(m.Stored[0].Position)
}

// isOlderEpoch reports whether epoch has a lower count of starts than known, or the same count and
// other random bits. The same count with other random bits occurs only if the data folder was
// copied.
func isOlderEpoch(epoch, known uint64) bool {
	a, b := epoch>>EpochNonceBits, known>>EpochNonceBits
	return a < b || (a == b && epoch != known)
}

// recordSender records the sender's term and epoch if it has the name of a voter. Its folder may be one that this node
// does not know yet. It returns false if the message is from an older start of a voter and must be dropped.
func (n *Node) recordSender(m Message) bool {
	if m.Kind == KindVerify || m.Kind == KindVerifyReply {
		return true
	}
	if _, ok := n.membership().Voter(m.From); !ok {
		return true
	}
	record := n.voterRecords[folderKey{m.From, m.Disk}]
	if record != nil && isOlderEpoch(m.Epoch, record.epoch) {
		return !n.isVoter(m)
	}
	record = n.updateRecord(m)
	// A pre-vote carries a term that the sender has not entered.
	if m.Kind != KindPreVote && m.Kind != KindPreVoteReply {
		record.term = max(record.term, m.Term)
	}
	return true
}

// updateRecord updates the epoch in the record of the sender and returns the record.
func (n *Node) updateRecord(m Message) *voterRecord {
	key := folderKey{m.From, m.Disk}
	record := n.voterRecords[key]
	if record == nil {
		record = &voterRecord{}
		n.voterRecords[key] = record
	}
	record.earlierTerm = record.termBefore(m.Epoch)
	record.epoch = m.Epoch
	return record
}

// recordStored records the positions that the voters are known to have stored.
func (n *Node) recordStored(stored []StoredPosition) {
	for _, s := range stored {
		v, ok := n.membership().Voter(s.ID)
		if !ok || s.ID == n.opts.ID {
			continue
		}
		key := folderKey{s.ID, v.Disk}
		record := n.voterRecords[key]
		if record == nil {
			record = &voterRecord{epoch: v.Epoch}
			n.voterRecords[key] = record
		}
		if record.stored.less(s.Position) {
			record.stored = s.Position
		}
	}
}

// maxRecords is the number of records beyond which those of folders that are not registered are dropped.
const maxRecords = 2 * maxVoters

// dropFormerVoters deletes the records of replicas that are no longer voters. It keeps those of other folders of a voter,
// because this node may not have received the membership that lists them.
func (n *Node) dropFormerVoters() {
	isFull := len(n.voterRecords) > maxRecords
	for key := range n.voterRecords {
		if v, ok := n.membership().Voter(key.id); !ok || (isFull && v.Disk != key.disk) {
			delete(n.voterRecords, key)
		}
	}
}
