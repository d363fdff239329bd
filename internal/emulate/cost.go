package emulate

import (
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
)

// The time of one step of a batch of b tokens is
//
//	factor * (prefill + decode * (1 + batchSlowdown*(b-1)))
//
// where prefill is the sum over the tokens at index 0 of
//
//	PrefillMicros * share * (prompt tokens that are not in the prefix cache),
//
// decode is the longest StepMicros * share in the batch, share is the fraction of the server's
// layers that the stage runs, and factor is 1 without a fault. A server with S slots thus
// runs at most
//
//	S / (StepMicros * (1 + batchSlowdown*(S-1)))
//
// tokens per microsecond; prefills reduce that. Rebuilding a KV cache takes
// PrefillMicros * share for each token of the prompt and of the answer, concurrently with the
// batches. Importing a KV cache takes the time to transfer KVBytes * layers * tokens over the link.
//
// A hop takes the sum of the delay of the link between the two data centres, the delays that both
// kinds of accelerator add, and the size of the hop divided by the lowest bandwidth of the link and
// both kinds of accelerator.

// batchSlowdown is the fraction by which each request after the first in a batch slows a step.
const batchSlowdown = 0.03

// tokenBytes is the size of a sampled token that the last stage sends to the first one.
const tokenBytes = 16

// layerShare returns the fraction of the server's layers that a stage with the range runs.
func (e *engine) layerShare(r fleet.Range) float64 {
	return float64(r.Len()) / float64(max(1, e.server.Layers.Len()))
}

// batchCost returns the time that one step of the batch takes.
func (e *engine) batchCost(batch []*work) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var decode, prefill float64
	for _, w := range batch {
		share := e.layerShare(w.session.open.Chain[w.session.open.Stage].Layers)
		decode = max(decode, float64(e.server.StepMicros)*share)
		if w.hop.Index == 0 {
			missing := w.session.open.PromptTokens - e.prefixes.cachedTokens(w.session.open.Prompt)
			prefill += float64(e.server.PrefillMicros*max(0, missing)) * share
		}
	}
	micros := prefill + decode*(1+batchSlowdown*float64(len(batch)-1))
	return time.Duration(micros * e.faults.stepFactor() * float64(time.Microsecond))
}

// rebuildCost returns the time to rebuild the KV cache of count tokens of the answer, and of the
// prompt too if withPrompt is true.
func (e *engine) rebuildCost(open backend.OpenStageRequest, count int, withPrompt bool) time.Duration {
	if withPrompt {
		count += open.PromptTokens
	}
	micros := float64(e.server.PrefillMicros*count) * e.layerShare(open.Chain[open.Stage].Layers)
	return time.Duration(micros * e.faults.stepFactor() * float64(time.Microsecond))
}

// hopBytes returns the size of a token's activations. Those of the first token include the
// prompt's.
func (s *session) hopBytes(o Options, index int) int {
	if index == 0 {
		return o.ActivationBytes * max(1, s.open.PromptTokens)
	}
	return o.ActivationBytes
}

// transferTime returns the time to transfer a number of bytes between two servers.
func (o Options) transferTime(from, to fleet.BackendServer, bytes int) time.Duration {
	var delay time.Duration
	bandwidth := 0
	for _, l := range o.linksBetween(from, to) {
		delay += l.Delay
		if l.BytesPerSecond > 0 && (bandwidth == 0 || l.BytesPerSecond < bandwidth) {
			bandwidth = l.BytesPerSecond
		}
	}
	if bandwidth > 0 {
		delay += time.Duration(float64(bytes) / float64(bandwidth) * float64(time.Second))
	}
	return delay
}

// linksBetween returns the links between two servers: the links of both kinds of accelerator and,
// if the servers are in different data centres, the link between the data centres.
func (o Options) linksBetween(from, to fleet.BackendServer) []Link {
	if from.Name == to.Name {
		return nil
	}
	links := []Link{o.Accelerators[from.Accelerator], o.Accelerators[to.Accelerator]}
	if from.DataCentre == to.DataCentre {
		return links
	}
	for _, p := range []DataCentrePair{{from.DataCentre, to.DataCentre}, {to.DataCentre, from.DataCentre}} {
		if l, ok := o.Links[p]; ok {
			return append(links, l)
		}
	}
	return append(links, Link{Delay: defaultRemoteDelay})
}
