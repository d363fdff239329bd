package consensus

import (
	"fmt"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"pgregory.net/rapid"
)

// history runs a cluster through random faults. A data folder is emptied or rolled back only while
// all voters are intact, so that at most one voter's data is lost at a time. All other faults are
// combined at random.
type history struct {
	*cluster
	t        *rapid.T
	proposed int
	pausedAt map[string]int
	ticks    int
}

func (h *history) sampleReplica(label string) (string, *testReplica) {
	id := rapid.SampledFrom(h.ids).Draw(h.t, label)
	return id, h.replicas[id]
}

// isIntact reports whether the newest membership is committed and complete, and all its voters
// have their data folders and are verified.
func (h *history) isIntact() bool {
	id := h.leader()
	if id == "" {
		return false
	}
	s := h.replicas[id].node.Status()
	log := &h.replicas[id].node.log
	if len(s.Membership.Voters) != s.Membership.Size || log.memberships[len(log.memberships)-1].position.Index > s.Commit {
		return false
	}
	for _, v := range s.Membership.Voters {
		r := h.replicas[v.ID]
		if r.saved.folderID != v.Disk || (!r.down && !r.node.Status().Voting) {
			return false
		}
	}
	return true
}

func (h *history) run(count int) {
	h.ticks += count
	h.tick(count)
}

func (h *history) proposeNext() {
	id := h.leader()
	if id == "" {
		return
	}
	h.proposed++
	_, _, _ = h.replicas[id].node.Propose(fmt.Append(nil, h.proposed))
}

func (h *history) crashOrStart() {
	id, r := h.sampleReplica("crash or start")
	if r.down {
		h.start(id)
		return
	}
	delete(h.pausedAt, id)
	h.crash(id)
}

func (h *history) pauseOrResume() {
	id, r := h.sampleReplica("pause or resume")
	if r.down {
		return
	}
	if !r.paused {
		r.paused = true
		h.pausedAt[id] = h.ticks
		return
	}
	h.resume(id)
}

func (h *history) resume(id string) {
	h.replicas[id].paused = false
	if gap := h.ticks - h.pausedAt[id] + h.replicas[id].late; gap > 0 {
		h.replicas[id].node.ResumeAfterPause(gap)
	}
	h.replicas[id].late = 0
	h.inFlight = append(h.inFlight, h.queued[id]...)
	delete(h.queued, id)
}

// emptyFolder crashes a replica and starts it again with an empty data folder, if all voters are
// intact.
func (h *history) emptyFolder() {
	id, r := h.sampleReplica("empty")
	if !h.isIntact() {
		return
	}
	h.crash(id)
	r.saved = h.newSavedState()
	h.start(id)
}

// rollBack replaces a data folder with an older copy, which also simulates the loss of the last
// writes. It first ends all faults, so that the restarted replica can ask all other voters to
// confirm its state.
func (h *history) rollBack() {
	id, r := h.sampleReplica("roll back")
	if len(r.savedCopies) == 0 || !h.isIntact() {
		return
	}
	older := r.savedCopies[rapid.IntRange(0, len(r.savedCopies)-1).Draw(h.t, "copy")]
	if older.folderID != r.saved.folderID {
		return
	}
	h.heal()
	h.run(10)
	h.crash(id)
	r.saved = older.copy()
	h.start(id)
	h.run(40)
}

func (h *history) copyFolder() {
	_, r := h.sampleReplica("copy")
	r.savedCopies = append(r.savedCopies, r.saved.copy())
}

func (h *history) blockOrUnblock() {
	a, _ := h.sampleReplica("from")
	b, _ := h.sampleReplica("to")
	key := [2]string{a, b}
	h.blocked[key] = !h.blocked[key]
}

func (h *history) transferLeadership() {
	if id := h.leader(); id != "" {
		h.replicas[id].node.Transfer()
	}
}

// heal ends all faults.
func (h *history) heal() {
	h.blocked = map[[2]string]bool{}
	h.loss, h.maxDelay, h.lateness, h.beatsWhileSaving = 0, 0, 0, false
	for _, id := range h.ids {
		if h.replicas[id].down {
			h.start(id)
		}
		if h.replicas[id].paused {
			h.resume(id)
		}
	}
}

func (h *history) step() {
	switch rapid.IntRange(0, 14).Draw(h.t, "action") {
	case 0:
		h.blockOrUnblock()
	case 1:
		h.crashOrStart()
	case 2:
		h.pauseOrResume()
	case 3:
		h.emptyFolder()
	case 4:
		h.rollBack()
	case 5:
		h.copyFolder()
	case 6:
		id, _ := h.sampleReplica("compact")
		h.compact(id)
	case 7:
		h.transferLeadership()
	case 8:
		h.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(h.t, "loss")
	case 9, 10, 11:
		h.proposeNext()
	default:
		h.run(rapid.IntRange(1, 40).Draw(h.t, "ticks"))
	}
}

func newHistory(t *rapid.T) *history {
	initialVoters := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "initial voters")
	standbys := rapid.IntRange(0, 1).Draw(t, "standbys")
	h := &history{
		cluster:  newCluster(t, initialVoters, standbys, rapid.Uint64().Draw(t, "seed")),
		t:        t,
		pausedAt: map[string]int{},
	}
	h.replaceTicks = 60
	h.beatsWhileSaving = rapid.Bool().Draw(t, "beats while saving")
	h.lateness = rapid.SampledFrom([]float64{0, 0, 0.02, 0.1}).Draw(t, "lateness")
	for _, id := range h.ids {
		h.start(id)
	}
	return h
}

func TestCommittedEntriesSurviveRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.run(30)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			h.step()
		}
		h.heal()
		h.run(200)
		leader := h.awaitLeader()
		if _, _, err := h.replicas[leader].node.Propose([]byte("last")); err != nil {
			t.Fatalf("the group rejects a proposal after all faults have ended: %v", err)
		}
		h.run(40)
		for _, id := range h.ids {
			if state := h.replicas[id].state; len(state) == 0 || state[len(state)-1] != "last" {
				t.Fatalf("%s has not applied the last command: %v", id, h.statuses())
			}
		}
	})
}
