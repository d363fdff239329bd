package control

import (
	"fmt"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/internal/build"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

// raiseInterval is the time between two checks whether the level can be raised.
const raiseInterval = time.Second

// levels is what a host knows of the levels of the replicas.
type levels struct {
	// own is the highest level that this build applies.
	own     formlevel.Level
	tracker formlevel.Tracker
	// checkedAt is the time of the last check whether the level can be raised.
	checkedAt time.Duration
	// logged is the last level in force that was logged.
	logged formlevel.Level
}

// checkReady returns a formlevel.Error if the batch has a snapshot or entries that this build can't apply.
// It is called before anything of the batch is saved.
func (l *levels) checkReady(r consensus.Ready) error {
	if r.Snapshot != nil {
		if err := checkSnapshot(r.Snapshot.Data, l.own); err != nil {
			return err
		}
	}
	if err := checkEntries(r.Entries, l.own); err != nil {
		return err
	}
	return checkEntries(r.Committed, l.own)
}

// checkEntries returns a formlevel.Error if this build can't apply one of the entries. An entry that is no
// command at all is passed over: each build skips it.
func checkEntries(entries []consensus.Entry, own formlevel.Level) error {
	for _, e := range entries {
		if e.Kind > consensus.EntryMembership {
			return &formlevel.Error{What: fmt.Sprintf("entry %d of kind %d", e.Index, e.Kind), Level: formlevel.Unknown, Supported: own}
		}
		if e.Kind != consensus.EntryCommand {
			continue
		}
		if level, err := replica.CommandLevel(e.Data); err == nil && level > own {
			return &formlevel.Error{What: fmt.Sprintf("entry %d", e.Index), Level: level, Supported: own}
		}
	}
	return nil
}

// checkProposal returns an error if the command is invalid or its level is not in force.
func checkProposal(data []byte, inForce formlevel.Level) error {
	level, err := replica.CommandLevel(data)
	if err != nil {
		return err
	}
	if level > inForce {
		return &formlevel.Error{What: "a proposed command", Level: level, Supported: inForce}
	}
	return nil
}

// raiseLevel proposes the next level if this host leads and nothing holds the level back.
func (h *Host) raiseLevel() error {
	now := h.clock.last
	if h.levels.own <= h.state.Level() || !h.node.HasLease() || now-h.levels.checkedAt < raiseInterval {
		return nil
	}
	h.levels.checkedAt = now
	next, holds := h.nextLevel()
	if len(holds) > 0 {
		return nil
	}
	data, err := replica.Command{RaiseLevel: next, Level: next}.Encode()
	if err != nil {
		return err
	}
	if _, _, err := h.node.Propose(data); err != nil {
		return eris.Wrapf(err, "control: propose level %d", next)
	}
	h.log.Info("proposed to raise the level of entries", "level", next)
	return nil
}

func (h *Host) nextLevel() (formlevel.Level, []formlevel.Hold) {
	return h.levels.tracker.Next(h.clock.last, h.state.Level(), h.options.ID, h.levels.own, h.otherReplicas())
}

// otherReplicas returns the replicas that need the log: the voters and those that may become voters.
func (h *Host) otherReplicas() []formlevel.Replica {
	var out []formlevel.Replica
	s := h.node.Status()
	for _, v := range s.Membership.Voters {
		if v.ID != h.options.ID {
			out = append(out, formlevel.Replica{Name: v.ID, Disk: v.Disk})
		}
	}
	for _, l := range s.Learners {
		out = append(out, formlevel.Replica{Name: l.ID, Disk: l.Disk})
	}
	return out
}

func (h *Host) logLevel() {
	if level := h.state.Level(); level != h.levels.logged {
		h.levels.logged = level
		h.log.Info("level of entries in force", "level", level, "supported", h.levels.own)
	}
}

func (h *Host) levelStatus() LevelStatus {
	s := LevelStatus{Build: build.Name(), InForce: h.state.Level(), Supported: h.levels.own}
	if h.node.HasLease() {
		_, s.Holds = h.nextLevel()
	}
	return s
}
