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
	return run.tryReplace(a)
}

// tryReplace chooses servers, or holds the stage of a suspect until it can run apart. The
// draft's deadline bounds the wait.
func (run *draftRun) tryReplace(a pipeline.Replace) []pipeline.Action {
	verdict := run.d.guard.check(run.r.fingerprint())
	if verdict == quarantine.Quarantined {
		run.last = &DraftEvent{Err: errQuarantined(outcome.Failed)}
		return nil
	}
	if len(run.held) > 0 && run.d.guard.isShared(run.r.fingerprint(), a.Chain) {
		return run.hold(a)
	}
	stages, err := run.d.chooseStages(run.r, a)
	if err != nil && run.mayWait(a, verdict) {
		return run.hold(a)
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

// heldReplace is a stage of a suspect that waits for a server on which no other suspect runs.
type heldReplace struct {
	replace pipeline.Replace
	// at is the time of the next look.
	at time.Time
}

func (run *draftRun) hold(a pipeline.Replace) []pipeline.Action {
	run.held = append(run.held, heldReplace{replace: a, at: time.Now().Add(suspectPause)})
	run.d.guard.hold(run.r.ID, true)
	return nil
}

// retryHeld looks again for servers for the stages that wait.
func (run *draftRun) retryHeld(now time.Time) {
	if len(run.held) == 0 || now.Before(run.held[0].at) {
		return
	}
	held := run.held
	for _, h := range held {
		run.carryOut(run.tryReplace(h.replace))
	}
	run.held = run.held[len(held):]
	if len(run.held) == 0 {
		run.d.guard.hold(run.r.ID, false)
	}
}
