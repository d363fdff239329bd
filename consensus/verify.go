package consensus

import "slices"

// EpochNonceBits is the number of random bits in an epoch.
const EpochNonceBits = 24

// verificationTimeouts is the number of election timeouts that a restarted voter waits for
// confirmations from all other voters. After that, confirmations from a quorum suffice.
const verificationTimeouts = 2

// verification is the state of the check that a replica makes after a restart. A replica can't
// detect by itself that its data folder was replaced with an older copy or that acknowledged
// writes were lost. The other voters have records of what it had stored.
type verification struct {
	done       bool
	rolledBack bool
	// confirmed holds the voters that have confirmed this replica's state.
	confirmed map[string]bool
	// electorate is the membership of the most up-to-date replica that has confirmed, and
	// position is the end of that replica's log.
	electorate Membership
	position   Position
}

func newVerification(done bool) verification {
	return verification{done: done, confirmed: make(map[string]bool)}
}

// memory is a node's record of another voter.
type memory struct {
	disk  uint64
	epoch uint64
	// term is the highest term that the voter has been in, and stored the last position that it
	// is known to have stored.
	term   uint64
	stored Position
}

// IsRolledBack reports whether the data folder of this replica is older than what other voters
// know the replica to have stored. The node then does nothing; the caller must start again with
// an empty data folder.
func (n *Node) IsRolledBack() bool { return n.verification.rolledBack }

// tickVerification asks the other voters to confirm this replica's state until enough of them
// have. The list of voters is that of the most up-to-date replica, since this replica may have
// missed that a lost voter was replaced.
func (n *Node) tickVerification() {
	v := &n.verification
	if v.done || !n.isFounded() {
		return
	}
	electorate := n.membership()
	if n.log.lastPosition().less(v.position) {
		electorate = v.electorate
	}
	missing, confirmed := 0, 0
	for _, voter := range electorate.Voters {
		switch {
		case voter.ID == n.opts.ID:
		case v.confirmed[voter.ID]:
			confirmed++
		default:
			missing++
		}
	}
	waited := n.now >= uint64(verificationTimeouts*n.opts.ElectionTicks)
	v.done = missing == 0 || (waited && confirmed+1 >= electorate.Quorum())
	if !v.done && n.now%uint64(n.opts.HeartbeatTicks) == 0 {
		n.askToVerify(electorate)
	}
}

func (n *Node) askToVerify(electorate Membership) {
	ids := n.acquaintances()
	for _, voter := range electorate.Voters {
		if voter.ID != n.opts.ID && !slices.Contains(ids, voter.ID) {
			ids = append(ids, voter.ID)
		}
	}
	last := n.log.lastPosition()
	for _, id := range ids {
		if !n.verification.confirmed[id] {
			n.send(Message{Kind: KindVerify, To: id, PrevIndex: last.Index, PrevTerm: last.Term})
		}
	}
}

// stepVerification handles verification requests and replies. It returns false for all other
// messages.
func (n *Node) stepVerification(m Message) bool {
	switch m.Kind {
	case KindVerify:
		if !n.canJudge(m) {
			return true
		}
		denied := n.denies(m)
		last := n.log.lastPosition()
		membership := n.membership()
		n.send(Message{
			Kind: KindVerifyReply, To: m.From, Reject: denied, Hint: m.Epoch,
			Membership: &membership, PrevIndex: last.Index, PrevTerm: last.Term,
		})
		if _, ok := membership.Voter(m.From); ok && !denied {
			n.recall(m)
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
		v.rolledBack = true
		return
	}
	v.confirmed[m.From] = true
	if p := (Position{Term: m.PrevTerm, Index: m.PrevIndex}); v.position.less(p) {
		v.position = p
		v.electorate = *m.Membership
	}
}

// canJudge reports whether this node can verify the sender. If the sender is a voter that
// runs on another data folder and its log is more up to date, it may have been added again in
// a membership that this node has not received.
func (n *Node) canJudge(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	if !ok || v.Disk == m.Disk {
		return true
	}
	return !n.log.lastPosition().less(Position{Term: m.PrevTerm, Index: m.PrevIndex})
}

// denies reports whether this node's records of a voter are ahead of the voter's own state.
func (n *Node) denies(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	if !ok {
		return false
	}
	if v.Disk != m.Disk || isOlderStart(m.Epoch, v.Epoch) {
		return true
	}
	k := n.memories[m.From]
	if k == nil || k.disk != m.Disk {
		return false
	}
	return isOlderStart(m.Epoch, k.epoch) || m.Term < k.term || Position{Term: m.PrevTerm, Index: m.PrevIndex}.less(k.stored)
}

// isOlderStart reports whether a start precedes the known one, or has the same count and another
// nonce. The latter happens only if the data folder was copied.
func isOlderStart(epoch, known uint64) bool {
	a, b := epoch>>EpochNonceBits, known>>EpochNonceBits
	return a < b || (a == b && epoch != known)
}

// remember records the sender's term and epoch if it is a voter. It returns false if the message
// is from an older start of the voter and must be dropped.
func (n *Node) remember(m Message) bool {
	if m.Kind == KindVerify || m.Kind == KindVerifyReply || !n.isVoter(m) {
		return true
	}
	if k := n.memories[m.From]; k != nil && k.disk == m.Disk && isOlderStart(m.Epoch, k.epoch) {
		return false
	}
	k := n.recall(m)
	// A pre-vote carries a term that the sender has not entered.
	if m.Kind != KindPreVote && m.Kind != KindPreVoteReply {
		k.term = max(k.term, m.Term)
	}
	return true
}

// recall returns the record of the sender, which must be a voter, and updates its epoch.
func (n *Node) recall(m Message) *memory {
	k := n.memories[m.From]
	if k == nil || k.disk != m.Disk {
		k = &memory{disk: m.Disk}
		n.memories[m.From] = k
	}
	k.epoch = m.Epoch
	return k
}

// rememberStored records the positions that the voters are known to have stored.
func (n *Node) rememberStored(stored []StoredPosition) {
	for _, s := range stored {
		v, ok := n.membership().Voter(s.ID)
		if !ok || s.ID == n.opts.ID {
			continue
		}
		k := n.memories[s.ID]
		if k == nil || k.disk != v.Disk {
			k = &memory{disk: v.Disk, epoch: v.Epoch}
			n.memories[s.ID] = k
		}
		if k.stored.less(s.Position) {
			k.stored = s.Position
		}
	}
}

// forget deletes the records of replicas that are no longer voters.
func (n *Node) forget() {
	for id := range n.memories {
		if _, ok := n.membership().Voter(id); !ok {
			delete(n.memories, id)
		}
	}
}
