package dispatch

import (
	"context"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/route"
)

func (r Draft) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(r.Workspace.Name, r.Service.Name, []byte(r.Prompt))
}

// chooseForDraft chooses a chain, leaving out servers that failed lately and those that run a
// suspect. A suspect waits for a chain that it can have apart.
func (d *Dispatcher) chooseForDraft(ctx context.Context, r Draft) (route.ChainChoice, *outcome.Error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := r.fingerprint()
	for {
		verdict := d.guard.check(f)
		if verdict == quarantine.Quarantined {
			return route.ChainChoice{}, errQuarantined(outcome.NotRun)
		}
		var err error
		for _, exclude := range d.exclusions(f) {
			var c route.ChainChoice
			if c, err = d.chooseChain(r, exclude); err == nil {
				d.guard.started(r.ID, f, serversOf(c.Chain)...)
				return c, nil
			}
		}
		if verdict == quarantine.Clear {
			return route.ChainChoice{}, asOutcome(err)
		}
		if !sleep(ctx, suspectPause) {
			return route.ChainChoice{}, errDeadline(outcome.NotRun)
		}
	}
}

func serversOf(chain pipeline.Chain) []fleet.BackendServer {
	out := make([]fleet.BackendServer, len(chain))
	for i, st := range chain {
		out[i] = st.Server
	}
	return out
}

// noteStageFailure notes why a stage is replaced.
func (d *Dispatcher) noteStageFailure(run *draftRun, a pipeline.Replace) {
	switch a.Reason {
	case pipeline.ReasonClosed, pipeline.ReasonDial:
		d.guard.failed(run.ctx, run.r.ID, a.Chain[a.Stage].Server, run.wasConnected(a.Server))
	default:
		d.guard.stopped(run.r.ID, a.Server)
	}
}

// noteDraft tells the guard how a draft went.
func (d *Dispatcher) noteDraft(run *draftRun, last DraftEvent) {
	if !last.Done {
		d.guard.stopped(run.r.ID, run.inUse...)
		return
	}
	d.guard.answered(run.r.ID, run.inUse...)
}
