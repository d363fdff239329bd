package consensus

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

const (
	// leaderBound is how long a group may be without a leader once all replicas run and reach each other: 40 election
	// timeouts.
	leaderBound = 400
	// repairBound is how long a group with a leader may take to have all its voters again.
	repairBound = 1000
)

// recovery plays losses of data folders, power failures and restarts of a group that may lose fewer than half of
// its voters' folders between two moments at which it is whole.
type recovery struct {
	*cluster
	standbys int
	proposed int
}

func newRecovery(t *testing.T, seed uint64) *recovery {
	fail := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("seed %d: "+format, append([]any{seed}, args...)...)
	}
	voters, standbys := 3+2*int(seed%2), int(seed/2%2)
	r := &recovery{cluster: newCluster(failer(fail), voters, standbys, seed), standbys: standbys}
	r.delayed = map[uint64][]Message{}
	r.replaceTicks = []int{0, 60}[seed/4%2]
	for _, id := range r.ids {
		r.start(id)
	}
	return r
}

// failer is a function that ends the test.
type failer func(format string, args ...any)

func (f failer) Fatalf(format string, args ...any) { f(format, args...) }

// isWhole reports whether a leader knows a committed, complete membership whose voters have their data folders.
func (r *recovery) isWhole() bool {
	return (&history{cluster: r.cluster}).isIntact()
}

// awaitWhole ends all faults and waits until all voters are restored and all that was committed is applied.
func (r *recovery) awaitWhole() {
	r.powerFailsAfter = 0
	r.blocked, r.loss, r.maxDelay = map[[2]string]bool{}, 0, 0
	for _, id := range r.ids {
		if r.replicas[id].down {
			r.start(id)
		}
	}
	r.await(leaderBound, "leader", func() bool { return r.leader() != "" })
	r.proposeNext()
	r.await(repairBound, "whole group", r.isWhole)
	r.await(repairBound, "replica with all that was acknowledged", func() bool {
		for _, id := range r.ids {
			if int(r.replicas[id].node.Applied())-1 < len(r.committed) {
				return false
			}
		}
		return true
	})
}

func (r *recovery) await(bound int, what string, isDone func() bool) {
	for range bound {
		if isDone() {
			return
		}
		r.tick(1)
	}
	r.fail("no %s after %d ticks: %s", what, bound, r.statuses())
}

func (r *recovery) proposeNext() {
	if id := r.leader(); id != "" {
		r.proposed++
		_, _, _ = r.replicas[id].node.Propose(fmt.Append(nil, r.proposed))
	}
}

// disturb loses or delays messages, cuts links, and crashes or starts replicas.
func (r *recovery) disturb() {
	a, b := r.ids[r.rng.IntN(len(r.ids))], r.ids[r.rng.IntN(len(r.ids))]
	switch r.rng.IntN(8) {
	case 0:
		r.loss = []float64{0, 0.1, 0.4}[r.rng.IntN(3)]
	case 1:
		r.maxDelay = []int{0, 2, 8}[r.rng.IntN(3)]
	case 2, 3:
		r.blocked[[2]string{a, b}] = !r.blocked[[2]string{a, b}]
	case 4:
		r.setIsolated(a, r.rng.IntN(2) == 0)
	case 5:
		r.compact(a)
	case 6:
		if r.replicas[a].down {
			r.start(a)
		} else {
			r.crash(a)
		}
	default:
		r.proposeNext()
	}
	r.tick(r.rng.IntN(12))
}

// loseFolder crashes a voter and empties its data folder. It returns false if the voter's folder was not one that the
// group counts on.
func (r *recovery) loseFolder(whole Membership, id string) bool {
	v, ok := whole.Voter(id)
	if !ok || r.replicas[id].saved.folderID != v.Disk {
		return false
	}
	r.crash(id)
	r.replicas[id].saved = r.newSavedState()
	return true
}

// play loses folders and the power between two moments at which the group is whole.
func (r *recovery) play() {
	whole := r.replicas[r.leader()].node.Status().Membership
	losses := r.rng.IntN(len(whole.Voters)-whole.Quorum()+1) + r.rng.IntN(2)
	losses = min(losses, len(whole.Voters)-whole.Quorum())
	for range 1 + r.rng.IntN(3) {
		if r.rng.IntN(2) == 0 {
			r.powerFailsAfter = 1 + r.rng.IntN(60)
		}
		for range r.rng.IntN(6) {
			r.disturb()
			if r.isWhole() { // the folders that were lost are replaced
				whole = r.replicas[r.leader()].node.Status().Membership
				losses = len(whole.Voters) - whole.Quorum()
			}
		}
		if id := r.ids[r.rng.IntN(len(r.ids))]; losses > 0 && r.loseFolder(whole, id) {
			losses--
		}
		for _, id := range r.ids {
			if r.replicas[id].down && r.rng.IntN(3) > 0 {
				r.start(id)
				r.tick(r.rng.IntN(15))
			}
		}
	}
}

// Guards against a group that elects nobody, or never restores a voter, although it has lost no more data folders than it
// may. BALSAMLB_RECOVERY_FIRST and BALSAMLB_RECOVERY_SEEDS play other and more seeds.
func TestGroupRecoversFromLossesOfFolders(t *testing.T) {
	number := func(name string, otherwise uint64) uint64 {
		if n, err := strconv.ParseUint(os.Getenv("BALSAMLB_RECOVERY_"+name), 10, 64); err == nil {
			return n
		}
		return otherwise
	}
	first := number("FIRST", 0)
	for seed := first; seed < first+number("SEEDS", 200); seed++ {
		playRecovery(t, seed)
	}
	// A voter without the membership that lists a folder did not confirm it, though it alone held the newest log.
	playRecovery(t, 911)
}

func playRecovery(t *testing.T, seed uint64) {
	r := newRecovery(t, seed)
	r.awaitWhole()
	for range 6 {
		r.play()
		r.awaitWhole()
	}
}

// Guards against a confirmation of a folder that the asked voter does not know, where the folder's log does not prove that
// it was registered later, or where the voter remembers more of it than it shows.
func TestUnknownFolderIsConfirmedOnlyIfItsLogIsNewerAndWhole(t *testing.T) {
	known := Membership{Group: 1, Size: 3, Voters: []Voter{{ID: "a", Disk: 1}, {ID: "b", Disk: 2}, {ID: "c", Disk: 3}}}
	listed := known.with(Voter{ID: "b", Disk: 5})
	const none, confirmed, rejected = "no answer", "confirmed", "rejected"
	ask := func(starts, term uint64, end Position, m *Membership) Message {
		return Message{Kind: KindVerify, From: "b", To: "a", Group: 1, Disk: 5, Epoch: starts << EpochNonceBits, Term: term,
			PrevIndex: end.Index, PrevTerm: end.Term, Membership: m}
	}
	end := Position{Term: 2, Index: 9}
	for _, test := range []struct {
		name     string
		before   []Message // that the voter got before
		question Message
		want     string
	}{
		{"listed in a newer log", nil, ask(2, 2, end, &listed), confirmed},
		{"an earlier build, which sends no membership", nil, ask(2, 2, end, nil), none},
		{"not listed", nil, ask(2, 2, end, &known), none},
		{"log not newer", nil, ask(2, 2, Position{Term: 1, Index: 4}, &listed), rejected},
		{"has stored more", []Message{{Kind: KindAppend, From: "c", To: "a", Group: 1, Disk: 3, Epoch: 1 << EpochNonceBits, Term: 2,
			PrevIndex: 9, PrevTerm: 2, Stored: []StoredPosition{{ID: "b", Position: Position{Term: 2, Index: 10}}}}}, ask(2, 2, end, &listed), none},
		{"was in a later term", []Message{{Kind: KindVoteReply, From: "b", To: "a", Group: 1, Disk: 5, Epoch: 1 << EpochNonceBits, Term: 3}},
			ask(2, 2, end, &listed), rejected},
		{"a later start is known", []Message{{Kind: KindVoteReply, From: "b", To: "a", Group: 1, Disk: 5, Epoch: 3 << EpochNonceBits, Term: 2}},
			ask(2, 2, end, &listed), rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := New(Options{ID: "a", Disk: 1, Epoch: 1 << EpochNonceBits, InitialVoters: []string{"a", "b", "c"}, ElectionTicks: 10, HeartbeatTicks: 2},
				HardState{Term: 1}, Snapshot{Index: 4, Term: 1, Membership: known}, nil)
			for _, m := range test.before {
				n.Step(m)
			}
			n.messages = nil
			n.Step(test.question)
			got := none
			if reply := lastMessage(n, KindVerifyReply); reply.Kind != 0 {
				got = map[bool]string{true: rejected, false: confirmed}[reply.Reject]
			}
			if got != test.want {
				t.Fatalf("%s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a replaced data folder that is never registered: its replica hears from a new leader at once, so it
// never sends that leader its address. The loss of one more folder then stops a group of three for good.
func TestReplacedFolderIsRegisteredThoughTheLeaderChanges(t *testing.T) {
	c := newCluster(t, 3, 0, 7)
	c.propose(t, "a")
	leader := c.awaitLeader()
	replaced := c.others(leader)[0]
	c.crash(replaced)
	c.replicas[replaced].saved = c.newSavedState()
	c.start(replaced)
	for range 100 {
		if c.replicas[replaced].node.hasGroup() {
			break
		}
		c.tick(1)
	}
	if !c.replicas[leader].node.Transfer() { // before it registers the folder
		t.Fatal("no transfer")
	}
	c.tick(20)
	next := c.awaitLeader()
	c.propose(t, "b")
	c.tick(100)

	for _, id := range c.ids {
		c.crash(id)
	}
	c.replicas[next].saved = c.newSavedState()
	for _, id := range c.ids {
		c.start(id)
	}
	c.propose(t, "c")
}

// Guards against a replica with a new data folder that never joins its group, because the leader changed while it received a
// snapshot: its hello said that it had a log, so the next leader sent it entries, which it can't take.
func TestReplicaWhoseLeaderChangesDuringASnapshotJoins(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "a")
	leader := c.leader()
	lost := c.others(leader)[0]
	c.setIsolated(lost, true)
	c.replicas[lost].saved = c.newSavedState()
	c.start(lost)
	n, membership := c.replicas[lost].node, c.replicas[leader].node.membership()
	n.Step(Message{
		Kind: KindSnapshot, From: leader, To: lost, Group: membership.Group, Term: c.replicas[leader].node.Term() - 1, PrevIndex: 2,
		PrevTerm: 1, Membership: &membership, Chunk: []byte("part"), Size: 9,
	})
	is.True(!n.hasGroup() && n.joiningGroup != 0)
	c.setIsolated(lost, false)
	c.tick(100)
	is.True(n.Status().Voting)
}
