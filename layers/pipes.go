package layers

import (
	"time"

	"github.com/balsamlb/balsamlb/routing"
)

const (
	// pipeShare is the share of the bandwidth between data centres that is available to new drafts.
	// The rest is for the tokens of running drafts.
	pipeShare = 0.6
	// maxPipeWait is the longest pipe queue that a draft may join: half of the shortest latency
	// objective for drafts in known deployments.
	maxPipeWait = 250 * time.Millisecond
)

// pipe is the link from one data centre to another. It carries one transfer at a time.
type pipe struct{ from, to string }

// Pipes tracks what one instance sends over the links between data centres. Instances that
// share a link don't coordinate: each limits itself to an equal share, since a queue on the link
// delays every draft that uses the link. Pipes is not safe for concurrent use.
type Pipes struct {
	// freeAt is the time at which this instance's share of a pipe will have carried all transfers
	// that Begin has recorded.
	freeAt map[pipe]time.Time
}

// NewPipes returns idle pipes.
func NewPipes() *Pipes { return &Pipes{freeAt: make(map[pipe]time.Time)} }

// Wait returns how long a transfer that starts now waits for earlier transfers.
func (p *Pipes) Wait(now time.Time, from, to string) time.Duration {
	return max(0, p.freeAt[pipe{from, to}].Sub(now))
}

// Begin records the transfers of a draft that starts on a path. instances is the number of
// instances that share each pipe.
func (p *Pipes) Begin(now time.Time, e *routing.Engine, d Draft, path Path, instances int) {
	duration := time.Duration(float64(transferTime(e, d.tokens())) * float64(max(1, instances)) / pipeShare)
	for i := 1; i < len(path); i++ {
		from, to := path[i-1].DataCentre, path[i].DataCentre
		if from != to {
			p.freeAt[pipe{from, to}] = now.Add(p.Wait(now, from, to) + duration)
		}
	}
}

// transferTime returns how long an idle pipe takes to transfer the activations of tokens.
func transferTime(e *routing.Engine, tokens float64) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	seconds := tokens * e.ActivationBytes * 8 / (e.LinkMbps * 1e6)
	return time.Duration(seconds * float64(time.Second))
}
