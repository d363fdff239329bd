package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/quarantine"
)

// replace records why a stage is replaced, and chooses servers for the stage's layers.
func (run *draftRun) replace(a pipeline.Replace) []pipeline.Action {
	run.d.recordStageFailure(run, a)
	if a.Reason == pipeline.ReasonNoAnswer {
		run.recordSilence(a.Server)
	}
	return run.tryReplace(a)
}

// tryReplace chooses servers to replace a stage's server. If the draft is a suspect and every
// suitable server runs another suspect, tryReplace defers the replacement. The draft's deadline
// limits the wait.
func (run *draftRun) tryReplace(a pipeline.Replace) []pipeline.Action {
	verdict := run.d.resilience.check(run.r.fingerprint())
	if verdict == quarantine.Quarantined {
		run.last = &DraftEvent{Err: errQuarantined(outcome.Failed)}
		return nil
	}
	if len(run.deferred) > 0 && run.d.resilience.sharesServer(run.r.fingerprint(), a.Chain) {
		return run.deferReplace(a)
	}
	stages, err := run.d.chooseStages(run.r, a)
	if err != nil && run.mayWait(a, verdict) {
		return run.deferReplace(a)
	}
	if err != nil {
		run.log.Info("no replacement for stage", "server", a.Server, "reason", string(a.Reason), "err", err.Error())
		return run.keepStage(a)
	}
	names := make([]string, len(stages))
	for i, st := range stages {
		names[i] = st.Server.Name
	}
	run.inUse = append(run.inUse, names...)
	run.d.resilience.recordStart(run.r.ID, run.r.fingerprint(), serversOf(stages)...)
	run.onProbation = names
	run.probationEnd = run.stream.Next() + probationTokens
	run.log.Info("replacing stage", "server", a.Server, "reason", string(a.Reason), "by", names, "next", run.stream.Next())
	return run.stream.Replaced(time.Now(), a.Stage, stages)
}

// keepStage handles a stage without a replacement. If the stage's server keeps the stage, the draft
// still counts as running there.
func (run *draftRun) keepStage(a pipeline.Replace) []pipeline.Action {
	actions := run.stream.NoReplacement(time.Now(), a.Stage)
	if !run.stream.IsDone() {
		run.d.resilience.recordStart(run.r.ID, run.r.fingerprint(), a.Chain[a.Stage].Server)
	}
	return actions
}

// mayWait reports whether the stage of a suspect can wait for a server that is reserved at the
// moment.
func (run *draftRun) mayWait(a pipeline.Replace, v quarantine.Verdict) bool {
	return v == quarantine.Suspect && !a.IsMove() && run.d.hasReservedReplacement(run.r, a)
}

// endProbation ends the isolation of a suspect once its new servers have run some of its tokens.
func (run *draftRun) endProbation() {
	if len(run.onProbation) == 0 || run.stream.Next() < run.probationEnd {
		return
	}
	run.d.resilience.recordSurvival(run.r.ID, run.onProbation...)
	run.onProbation = nil
}

// deferredReplace is the postponed replacement of a suspect's stage. It waits for a server that
// runs no other suspect.
type deferredReplace struct {
	replace pipeline.Replace
	// retryAt is the time of the next try.
	retryAt time.Time
}

func (run *draftRun) deferReplace(a pipeline.Replace) []pipeline.Action {
	run.deferred = append(run.deferred, deferredReplace{replace: a, retryAt: time.Now().Add(isolationRetryInterval)})
	run.d.resilience.setWaiting(run.r.ID, true)
	return nil
}

// retryDeferred tries again to find servers for the stages that wait.
func (run *draftRun) retryDeferred(now time.Time) {
	if len(run.deferred) == 0 || now.Before(run.deferred[0].retryAt) {
		return
	}
	deferred := run.deferred
	for _, waiting := range deferred {
		run.execute(run.tryReplace(waiting.replace))
	}
	run.deferred = run.deferred[len(deferred):]
	if len(run.deferred) == 0 {
		run.d.resilience.setWaiting(run.r.ID, false)
	}
}
