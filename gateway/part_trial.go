package gateway

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

// trialTurn is the part of a cycle of trials for each gateway.
const trialTurn = 2 * time.Second

// trial is the state of a request that may run once though a part of its prompt is in quarantine. It
// is safe for concurrent use.
type trial struct {
	mu        sync.Mutex
	isAllowed bool
	isSent    bool
	part      quarantine.Part
}

// isTrial reports whether a request that is held back because of a part of its prompt may be sent, to
// show whether the right part is in quarantine. It may be sent once.
func (g *Gateway) isTrial(now time.Time, j *job) bool {
	j.trial.mu.Lock()
	defer j.trial.mu.Unlock()
	if j.trial.isSent || j.trial.isAllowed {
		return !j.trial.isSent
	}
	j.trial.part, j.trial.isAllowed = g.evidence.TryPart(now, j.sharedParts, g.trials())
	if j.trial.isAllowed {
		g.options.Log.Info("tries a part in quarantine", "request", j.header.ID, "part", j.trial.part.String())
	}
	return j.trial.isAllowed
}

// markSent records that the request is sent to a server.
func (t *trial) markSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isSent = true
}

// trials returns when it is this gateway's turn.
func (g *Gateway) trials() quarantine.Trials {
	cycle := time.Duration(max(2, g.options.Mesh.Gateways())) * trialTurn
	h := fnv.New64a()
	_, _ = h.Write([]byte(g.options.Name))
	return quarantine.Trials{Cycle: cycle, Phase: time.Duration(h.Sum64() % uint64(cycle))}
}

// endTrial lets another request try the part if this one has not run.
func (g *Gateway) endTrial(j *job) {
	j.trial.mu.Lock()
	defer j.trial.mu.Unlock()
	if j.trial.isAllowed && !j.mayHaveRun.Load() {
		g.evidence.ReturnTrial(j.trial.part)
	}
}
