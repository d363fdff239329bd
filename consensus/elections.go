package consensus

// StepDownReason says why a leader stopped leading.
type StepDownReason uint8

// The reasons of a step-down.
const (
	// StepDownNoAnswers means that no quorum answered for too long.
	StepDownNoAnswers StepDownReason = iota + 1
	// StepDownPause means that the process was paused for too long.
	StepDownPause
	// StepDownNewerTerm means that another replica has started a newer term.
	StepDownNewerTerm
	// StepDownTransfer means that the leader handed the leadership over, or gave that up by a new election.
	StepDownTransfer
)

// StepDownReasons lists all reasons.
var StepDownReasons = []StepDownReason{StepDownNoAnswers, StepDownPause, StepDownNewerTerm, StepDownTransfer}

// String returns the reason as it is shown in logs and metrics.
func (r StepDownReason) String() string {
	return [...]string{"", "no_answers", "pause", "newer_term", "transfer"}[r]
}

// ElectionCounts counts what a node has done in elections since it was created.
type ElectionCounts struct {
	// Campaigns are the times that it asked whether it could win an election, and Elections the terms that it
	// has started.
	Campaigns, Elections uint64
	// StepDowns is indexed by reason.
	StepDowns [StepDownTransfer + 1]uint64
}

// ElectionEvent is a campaign or the end of a leadership.
type ElectionEvent struct {
	Term uint64
	// StepDown is 0 for a campaign.
	StepDown StepDownReason
	// SilentTicks is the time since this node last heard a leader or, for a step-down, since the start of the
	// latest round that a quorum has answered.
	SilentTicks uint64
}

// maxElectionEvents bounds the events that wait for ElectionEvents. Later ones are only counted.
const maxElectionEvents = 16

// ElectionCounts returns the counts since the node was created.
func (n *Node) ElectionCounts() ElectionCounts { return n.electionCounts }

// ElectionEvents returns the events since the last call.
func (n *Node) ElectionEvents() []ElectionEvent {
	events := n.electionEvents
	n.electionEvents = nil
	return events
}

func (n *Node) recordElectionEvent(e ElectionEvent) {
	e.Term = n.hardState.Term
	if len(n.electionEvents) < maxElectionEvents {
		n.electionEvents = append(n.electionEvents, e)
	}
}

// recordCampaign records that the node is about to ask for votes.
func (n *Node) recordCampaign() {
	n.electionCounts.Campaigns++
	n.recordElectionEvent(ElectionEvent{SilentTicks: n.now - n.leaderLastSeen})
}

// recordStepDown records that the node, if it is the leader, is about to stop leading.
func (n *Node) recordStepDown(reason StepDownReason) {
	if n.role != RoleLeader {
		return
	}
	if reason == StepDownNewerTerm && n.transferee != "" {
		reason = StepDownTransfer
	}
	n.electionCounts.StepDowns[reason]++
	n.recordElectionEvent(ElectionEvent{StepDown: reason, SilentTicks: n.now - n.quorumAckTick()})
}
