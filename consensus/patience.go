package consensus

const (
	// maxPatienceTimeouts bounds the least time for which a replica waits for a leader, in Options.ElectionTicks, and
	// maxTimeouts the time that is drawn from it.
	maxPatienceTimeouts = 6
	maxTimeouts         = 8
	// patienceFactor is how many times as long as the longest gap between two messages of a leader a replica waits.
	patienceFactor = 3
	// singleGapTicks is the time for which a single gap counts.
	singleGapTicks = 150
	// patienceHoldTicks is the time for which what an irregular leader has added stays. Then it falls by a tick in each
	// patienceDecayTicks.
	patienceHoldTicks  = 500
	patienceDecayTicks = 15
	// maxLateTimeouts is the number of Options.ElectionTicks above which this process was frozen rather than late, which
	// says nothing about the next time.
	maxLateTimeouts = 4
	// maxBackoff is the number of times that the election timeout doubles while campaigns get answers and elect no
	// leader.
	maxBackoff = 2
	// stepDownTimeouts is how many times as long as a replica waits for a leader at least a leader waits for new answers
	// of a quorum before it steps down, up to maxTimeouts. It has lost its lease long before.
	stepDownTimeouts = 4
)

// patience adapts the election timeout to how irregularly this replica runs, hears leaders that live and, as a leader,
// gets answers, because a process, a disk or the network is late. It changes when this replica campaigns and whether it
// encourages others to, and never what it promises to a leader.
type patience struct {
	// extra is what was added to the least election timeout at the tick raisedAt, after gaps in turn.
	extra    int
	raisedAt uint64
	// latest is what the latest gap adds for singleGapTicks from latestAt on, and what another one confirms.
	latest   int
	latestAt uint64
}

// observe records that, though nothing had failed, nothing was heard for a number of ticks. A single gap is soon forgotten,
// so that a leader that is lost after a halt is not missed for long.
func (p *patience) observe(gap int, now uint64, o Options) {
	extra := min(patienceFactor*gap, maxPatienceTimeouts*o.ElectionTicks) - o.ElectionTicks
	if extra <= 0 {
		return
	}
	age := now - p.latestAt
	switch {
	case p.latest == 0 || age > patienceHoldTicks:
		p.latest, p.latestAt = extra, now
		return
	case age < uint64(o.ElectionTicks): // of the same halt
		p.latest = max(p.latest, extra)
		return
	}
	confirmed := min(extra, p.latest)
	if extra >= p.latest || age > patienceHoldTicks/2 {
		p.latest, p.latestAt = extra, now
	}
	if confirmed >= p.heldAt(now) {
		p.extra, p.raisedAt = confirmed, now
	}
}

// heldAt returns what gaps in turn have added to the least election timeout at a tick.
func (p patience) heldAt(now uint64) int {
	age := now - p.raisedAt
	return max(0, p.extra-int((max(age, patienceHoldTicks)-patienceHoldTicks)/patienceDecayTicks))
}

// extraAt returns what is added to the least election timeout at a tick.
func (p patience) extraAt(now uint64) int {
	if now-p.latestAt < singleGapTicks {
		return max(p.latest, p.heldAt(now))
	}
	return p.heldAt(now)
}

// heardLeader is the start of a replica that was last heard as a leader.
type heardLeader struct {
	id    string
	epoch uint64
	term  uint64
}

// patienceTicks returns the least time without a leader after which this node may campaign.
func (n *Node) patienceTicks() int { return n.opts.ElectionTicks + n.patience.extraAt(n.now) }

// drawElectionTimeout returns an election timeout.
func (n *Node) drawElectionTimeout() int {
	e := n.opts.ElectionTicks
	least := min(n.patienceTicks()<<min(max(n.answeredCampaigns-1, 0), maxBackoff), maxPatienceTimeouts*e)
	return least + n.rng.IntN(min(least, (maxTimeouts-maxPatienceTimeouts)*e))
}

// stepDownTicks returns the time without new answers of a quorum after which this node, a leader, steps down. One that
// has committed nothing in its term does so before followers take it for a leader of an older build (canConfirm).
func (n *Node) stepDownTicks() int {
	if !n.hasCommittedInTerm() {
		return (maxSilentRounds - 1) * n.opts.HeartbeatTicks
	}
	return min(stepDownTimeouts*n.patienceTicks(), maxTimeouts*n.opts.ElectionTicks)
}

// hearLeader records that a message of the term's leader has arrived.
func (n *Node) hearLeader(m Message) {
	from := heardLeader{id: m.From, epoch: m.Epoch, term: m.Term}
	if from == n.heard {
		n.patience.observe(n.leaderSilence, n.now, n.opts)
	}
	n.heard, n.leaderSilence, n.answeredCampaigns = from, 0, 0
	n.lost = heardLeader{}
}

// giveUpLeader records that this replica has waited for the leader in vain.
func (n *Node) giveUpLeader() {
	if n.leader != "" && n.leader == n.heard.id {
		n.lost, n.lostAt = n.heard, n.leaderLastSeen
	}
}

// recognizeLost records that a leader for which this replica has waited in vain lives. One that is heard only after
// the greatest patience was paused or cut off, for which no patience would have been enough.
func (n *Node) recognizeLost(m Message) {
	if n.lost.id == "" || m.From != n.lost.id || m.Epoch != n.lost.epoch {
		return
	}
	if gap := n.now - n.lostAt; gap <= uint64(maxPatienceTimeouts*n.opts.ElectionTicks) {
		n.patience.observe(int(gap), n.now, n.opts)
	}
	n.lost = heardLeader{}
}
