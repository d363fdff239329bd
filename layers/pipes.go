package layers

import (
	"time"

	"github.com/balsamlb/balsamlb/routing"
)

const (
	// pipeUse is the share of the links between data centres that is given to new drafts; the
	// rest is for the tokens that running ones write.
	pipeUse = 0.6
	// maxPipeWait is the longest queue of a pipe that a draft may join: half of the shortest
	// latency objective of known deployments for drafts.
	maxPipeWait = 250 * time.Millisecond
)

// pipe is the link from one data centre to another, which carries one transfer after another.
type pipe struct{ from, to string }

// Pipes accounts for what one instance sends over the links between data centres. The instances
// that use a link don't tell each other: each keeps to an equal share of it, since a queue there
// holds up all drafts that pass. It is not safe for concurrent use.
type Pipes struct {
	// freeAt is when this instance's share of a pipe has carried what was begun.
	freeAt map[pipe]time.Time
}

// NewPipes returns pipes that carry nothing.
func NewPipes() *Pipes { return &Pipes{freeAt: make(map[pipe]time.Time)} }

// Wait returns how long a transfer that begins now waits for those before it.
func (p *Pipes) Wait(now time.Time, from, to string) time.Duration {
	return max(0, p.freeAt[pipe{from, to}].Sub(now))
}

// Begin accounts for a draft that takes a path; sharers is how many instances use each pipe.
func (p *Pipes) Begin(now time.Time, e *routing.Engine, d Draft, path Path, sharers int) {
	took := time.Duration(float64(transferTime(e, d.tokens())) * float64(max(1, sharers)) / pipeUse)
	for i := 1; i < len(path); i++ {
		from, to := path[i-1].DataCentre, path[i].DataCentre
		if from != to {
			p.freeAt[pipe{from, to}] = now.Add(p.Wait(now, from, to) + took)
		}
	}
}

// transferTime is how long the activations of tokens take on a pipe that is free.
func transferTime(e *routing.Engine, tokens float64) time.Duration {
	if e.PipeMbps <= 0 {
		return 0
	}
	seconds := tokens * e.ActivationBytes * 8 / (e.PipeMbps * 1e6)
	return time.Duration(seconds * float64(time.Second))
}
