package consensus

import "slices"

// EpochNonceBits is the size of the random part of an epoch.
const EpochNonceBits = 24

// verificationTimeouts is how many election timeouts a restarted voter waits for the answers
// of all other voters before those of a quorum are enough.
const verificationTimeouts = 2

// verification is how far a restarted replica is trusted. A folder can't tell by itself
// that it was replaced by an older copy, or that writes it had confirmed were lost; the
// other voters remember what it had.
type verification struct {
	done       bool
	rolledBack bool
	confirmed  map[string]bool
	// electorate is the membership of the replica whose log reaches furthest, to position.
	electorate Membership
	position   Position
}

func newVerification(done bool) verification {
	return verification{done: done, confirmed: make(map[string]bool)}
}

// memory is what a node remembers of a voter.
type memory struct {
	disk  uint64
	epoch uint64
	// term is the highest that the voter was in, and stored how far its log reached.
	term   uint64
	stored Position
}

// IsRolledBack reports that other voters remember more of this replica than its folder does.
// The node then does nothing any more; the caller must begin anew with an empty folder.
func (n *Node) IsRolledBack() bool { return n.verification.rolledBack }

// tickVerification asks the other voters until they have confirmed this replica's memory.
// Who they are is taken from the replica whose log reaches furthest, since this one may have
// missed that a voter was admitted in the place of one that is lost.
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

// stepVerification handles questions and answers about memories.
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

// canJudge reports whether this node's membership can be held against another folder of the
// voter: one whose log reaches further may know of a later admission.
func (n *Node) canJudge(m Message) bool {
	v, ok := n.membership().Voter(m.From)
	if !ok || v.Disk == m.Disk {
		return true
	}
	return !n.log.lastPosition().less(Position{Term: m.PrevTerm, Index: m.PrevIndex})
}

// denies reports whether this node remembers more of a voter than the voter does.
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

// isOlderStart reports whether a start came before the known one, or is another one with
// the same count, as only a copy of the folder can have.
func isOlderStart(epoch, known uint64) bool {
	a, b := epoch>>EpochNonceBits, known>>EpochNonceBits
	return a < b || (a == b && epoch != known)
}

// remember notes the sender's term and start. Messages of an older start are not taken.
func (n *Node) remember(m Message) bool {
	if m.Kind == KindVerify || m.Kind == KindVerifyReply || !n.isVoter(m) {
		return true
	}
	if k := n.memories[m.From]; k != nil && k.disk == m.Disk && isOlderStart(m.Epoch, k.epoch) {
		return false
	}
	k := n.recall(m)
	// A pre-vote speaks of a term that the sender has not entered.
	if m.Kind != KindPreVote && m.Kind != KindPreVoteReply {
		k.term = max(k.term, m.Term)
	}
	return true
}

// recall returns the memory of the sender, who is a voter.
func (n *Node) recall(m Message) *memory {
	k := n.memories[m.From]
	if k == nil || k.disk != m.Disk {
		k = &memory{disk: m.Disk}
		n.memories[m.From] = k
	}
	k.epoch = m.Epoch
	return k
}

// rememberStored notes how far the leader knows the voters' logs to reach.
func (n *Node) rememberStored(stored []Stored) {
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

// forget drops what is remembered of replicas that are no voters any more.
func (n *Node) forget() {
	for id := range n.memories {
		if _, ok := n.membership().Voter(id); !ok {
			delete(n.memories, id)
		}
	}
}
