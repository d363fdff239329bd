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
	return quarantine.NewFingerprint(r.Workspace.Name, r.Service.Name, []byte(r.Prompt))
}

// chooseForDraft chooses a chain. It avoids servers that failed recently and servers that run a
// suspect request, unless no other chain is left. A suspect request waits for a chain whose servers
// run no other suspect.
func (d *Dispatcher) chooseForDraft(ctx context.Context, r Draft) (route.ChainChoice, *outcome.Error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := r.fingerprint()
	for {
		verdict := d.resilience.check(f)
		if verdict == quarantine.Quarantined {
			return route.ChainChoice{}, errQuarantined(outcome.NotRun)
		}
		var err error
		for _, exclude := range d.exclusions(f) {
			var c route.ChainChoice
			if c, err = d.chooseChain(r, exclude); err == nil {
				d.resilience.recordStart(r.ID, f, serversOf(c.Chain)...)
				return c, nil
			}
		}
		if verdict == quarantine.Clear {
			return route.ChainChoice{}, d.withPause(asOutcome(err), func(s fleet.BackendServer) bool { return s.Model == r.Service.Model })
		}
		if !sleep(ctx, isolationRetryInterval) {
			return route.ChainChoice{}, errContextDone(ctx, outcome.NotRun)
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

// recordStageFailure records why a stage is replaced. Only a failed connection can be a sign of a
// crash.
func (d *Dispatcher) recordStageFailure(run *draftRun, a pipeline.Replace) {
	switch a.Reason {
	case pipeline.ReasonClosed, pipeline.ReasonDial:
		d.resilience.recordFailure(run.ctx, run.r.ID, a.Chain[a.Stage].Server, run.wasConnected(a.Server))
	default:
		d.resilience.recordStop(run.r.ID, a.Server)
	}
}

// recordDraftEnd records how a draft ended.
func (d *Dispatcher) recordDraftEnd(run *draftRun, last DraftEvent) {
	if !last.Done {
		d.resilience.recordStop(run.r.ID, run.inUse...)
		return
	}
	d.resilience.recordAnswer(run.r.ID, run.inUse...)
}
