package consensus

import (
	"fmt"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"pgregory.net/rapid"
)

// history runs a cluster through random faults. A data folder is emptied or rolled back only
// while all voters are intact, so that at most one is lost at a time. All other faults are
// combined at random.
type history struct {
	*cluster
	t        *rapid.T
	proposed int
	frozenAt map[string]int
	ticks    int
}

func (h *history) replica(label string) (string, *replicaUnderTest) {
	id := rapid.SampledFrom(h.ids).Draw(h.t, label)
	return id, h.replicas[id]
}

// isWhole reports whether the newest membership is committed and complete, and all its voters
// have their data folders and are verified.
func (h *history) isWhole() bool {
	id := h.leader()
	if id == "" {
		return false
	}
	s := h.replicas[id].node.Status()
	log := &h.replicas[id].node.log
	if len(s.Membership.Voters) != s.Membership.Size || log.memberships[len(log.memberships)-1].place.Index > s.Commit {
		return false
	}
	for _, v := range s.Membership.Voters {
		r := h.replicas[v.ID]
		if r.disk.number != v.Disk || (!r.down && !r.node.Status().Voting) {
			return false
		}
	}
	return true
}

func (h *history) run(count int) {
	h.ticks += count
	h.tick(count)
}

func (h *history) offer() {
	id := h.leader()
	if id == "" {
		return
	}
	h.proposed++
	_, _, _ = h.replicas[id].node.Propose(fmt.Append(nil, h.proposed))
}

func (h *history) crashOrStart() {
	id, r := h.replica("crash or start")
	if r.down {
		h.start(id)
		return
	}
	delete(h.frozenAt, id)
	h.stop(id)
}

func (h *history) freezeOrThaw() {
	id, r := h.replica("pause or resume")
	if r.down {
		return
	}
	if !r.frozen {
		r.frozen = true
		h.frozenAt[id] = h.ticks
		return
	}
	h.thaw(id)
}

func (h *history) thaw(id string) {
	h.replicas[id].frozen = false
	if gap := h.ticks - h.frozenAt[id]; gap > 0 {
		h.replicas[id].node.ResumeAfterPause(gap)
	}
}

func (h *history) empty() {
	id, r := h.replica("empty")
	if !h.isWhole() {
		return
	}
	h.stop(id)
	r.disk = h.newDisk()
	h.start(id)
}

// rollBack replaces a data folder with an older copy, which also stands for the loss of the last
// writes. It then lets the replica ask all other voters.
func (h *history) rollBack() {
	id, r := h.replica("roll back")
	if len(r.copies) == 0 || !h.isWhole() {
		return
	}
	copied := r.copies[rapid.IntRange(0, len(r.copies)-1).Draw(h.t, "copy")]
	if copied.number != r.disk.number {
		return
	}
	h.heal()
	h.run(10)
	h.stop(id)
	r.disk = copied.copy()
	h.start(id)
	h.run(40)
}

func (h *history) copyFolder() {
	_, r := h.replica("copy")
	r.copies = append(r.copies, r.disk.copy())
}

func (h *history) cutOrHeal() {
	a, _ := h.replica("from")
	b, _ := h.replica("to")
	key := [2]string{a, b}
	h.cut[key] = !h.cut[key]
}

func (h *history) handOver() {
	if id := h.leader(); id != "" {
		h.replicas[id].node.Transfer()
	}
}

// heal ends all faults.
func (h *history) heal() {
	h.cut = map[[2]string]bool{}
	h.loss = 0
	for _, id := range h.ids {
		if h.replicas[id].down {
			h.start(id)
		}
		if h.replicas[id].frozen {
			h.thaw(id)
		}
	}
}

func (h *history) step() {
	switch rapid.IntRange(0, 14).Draw(h.t, "action") {
	case 0:
		h.cutOrHeal()
	case 1:
		h.crashOrStart()
	case 2:
		h.freezeOrThaw()
	case 3:
		h.empty()
	case 4:
		h.rollBack()
	case 5:
		h.copyFolder()
	case 6:
		id, _ := h.replica("compact")
		h.compact(id)
	case 7:
		h.handOver()
	case 8:
		h.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(h.t, "loss")
	case 9, 10, 11:
		h.offer()
	default:
		h.run(rapid.IntRange(1, 40).Draw(h.t, "ticks"))
	}
}

func TestHistoriesKeepWhatWasCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		founders := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "founders")
		standbys := rapid.IntRange(0, 1).Draw(t, "standbys")
		h := &history{
			cluster:  newCluster(t, founders, standbys, rapid.Uint64().Draw(t, "seed")),
			t:        t,
			frozenAt: map[string]int{},
		}
		h.replaceIn = 60
		for _, id := range h.ids {
			h.start(id)
		}
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
