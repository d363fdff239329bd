package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/quarantine"
)

// replace chooses servers for the layers of a stage.
func (run *draftRun) replace(a pipeline.Replace) []pipeline.Action {
	run.d.noteStageFailure(run, a)
	return run.tryReplace(heldReplace{replace: a, until: time.Now().Add(suspectWait)})
}

func (run *draftRun) tryReplace(h heldReplace) []pipeline.Action {
	verdict := run.d.guard.check(run.r.fingerprint())
	if verdict == quarantine.Quarantined {
		run.last = &DraftEvent{Err: errQuarantined(outcome.Failed)}
		return nil
	}
	a := h.replace
	stages, err := run.d.chooseStages(run.r, a)
	if now := time.Now(); err != nil && run.mayWait(a, verdict) && now.Before(h.until) {
		h.at = now.Add(suspectPause)
		run.held = append(run.held, h)
		return nil
	}
	if err != nil {
		run.log.Info("found no replacement", "server", a.Server, "reason", string(a.Reason), "err", err.Error())
		return run.stream.NoReplacement(time.Now(), a.Stage)
	}
	names := make([]string, len(stages))
	for i, st := range stages {
		names[i] = st.Server.Name
	}
	run.inUse = append(run.inUse, names...)
	run.d.guard.started(run.r.ID, run.r.fingerprint(), serversOf(stages)...)
	run.unproved = names
	run.provedAt = run.stream.Next() + provingTokens
	run.log.Info("replaces a stage", "server", a.Server, "reason", string(a.Reason), "by", names, "next", run.stream.Next())
	return run.stream.Replaced(time.Now(), a.Stage, stages)
}

// mayWait reports whether a stage can wait for a server on which a suspect runs now.
func (run *draftRun) mayWait(a pipeline.Replace, v quarantine.Verdict) bool {
	return v == quarantine.Suspect && !a.IsMove() && run.d.isHeld(run.r, a)
}

// prove ends the isolation of a suspect once its new servers have run some tokens of it.
func (run *draftRun) prove() {
	if len(run.unproved) == 0 || run.stream.Next() < run.provedAt {
		return
	}
	run.d.guard.proved(run.r.ID, run.unproved...)
	run.unproved = nil
}

// suspectWait bounds the wait of a suspect for a server of its own. Two suspects that each hold
// the server that the other one waits for would otherwise wait until their deadlines.
const suspectWait = 2 * time.Second

// heldReplace is a stage of a suspect that waits for a server on which no other suspect runs.
type heldReplace struct {
	replace pipeline.Replace
	// at is the time of the next look, until that of the last.
	at    time.Time
	until time.Time
}

// retryHeld looks again for servers for the stages that wait.
func (run *draftRun) retryHeld(now time.Time) {
	held := run.held
	run.held = nil
	for _, h := range held {
		if now.Before(h.at) {
			run.held = append(run.held, h)
			continue
		}
		run.carryOut(run.tryReplace(h))
	}
}
