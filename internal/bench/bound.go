package bench

import (
	"math"
	"slices"

	"github.com/balsamlb/balsamlb/fleet"
)

// batchSlowdown is the fraction by which each request after the first in a batch slows a step.
// internal/emulate uses the same value.
const batchSlowdown = 0.03

// capacity returns the highest rate, in tokens per second, that a server reaches with prompts and
// answers of the given numbers of tokens. The first token of an answer also costs the prefill,
// whose time is averaged over the tokens of the answer.
func capacity(s fleet.BackendServer, prompt, tokens float64) float64 {
	step := float64(s.StepMicros) * (1 + batchSlowdown*float64(s.Slots-1)) / float64(s.Slots)
	prefill := float64(s.PrefillMicros) * prompt / tokens
	return 1e6 / (step + prefill)
}

// edge is a server in the flow network. It leads from the server's first layer to the layer
// after its last.
type edge struct {
	from, to        int
	residual        float64
	reverseResidual float64
}

// throughputBound returns the highest rate in tokens per second that the servers can run
// together: the maximum flow from layer 0 to the last layer, by the Edmonds-Karp algorithm,
// where each server carries at most its capacity.
func throughputBound(servers []fleet.BackendServer, layers int, prompt, tokens float64) float64 {
	var edges []edge
	for _, s := range servers {
		if s.Model == benchModel {
			edges = append(edges, edge{from: s.Layers.From, to: s.Layers.To, residual: capacity(s, prompt, tokens)})
		}
	}
	total := 0.0
	for {
		path := augmentingPath(edges, layers)
		if path == nil {
			return total
		}
		bottleneck := math.Inf(1)
		for _, p := range path {
			bottleneck = min(bottleneck, p.residual(edges))
		}
		for _, p := range path {
			p.push(edges, bottleneck)
		}
		total += bottleneck
	}
}

// hop is one edge of a path, used forwards or, to undo flow, backwards.
type hop struct {
	edge    int
	forward bool
}

func (h hop) residual(edges []edge) float64 {
	if h.forward {
		return edges[h.edge].residual
	}
	return edges[h.edge].reverseResidual
}

func (h hop) push(edges []edge, flow float64) {
	if !h.forward {
		flow = -flow
	}
	edges[h.edge].residual -= flow
	edges[h.edge].reverseResidual += flow
}

// minFlow is the residual capacity below which an edge counts as full.
const minFlow = 1e-9

// augmentingPath returns a shortest path with residual capacity from layer 0 to the last
// layer, or nil if there is none.
func augmentingPath(edges []edge, layers int) []hop {
	via := map[int]hop{}
	queue := []int{0}
	for len(queue) > 0 {
		layer := queue[0]
		queue = queue[1:]
		for i, e := range edges {
			for _, h := range []hop{{i, true}, {i, false}} {
				from, to := e.from, e.to
				if !h.forward {
					from, to = to, from
				}
				if _, seen := via[to]; from != layer || seen || to == 0 || h.residual(edges) < minFlow {
					continue
				}
				via[to] = h
				queue = append(queue, to)
			}
		}
	}
	if _, ok := via[layers]; !ok {
		return nil
	}
	var path []hop
	for layer := layers; layer != 0; {
		h := via[layer]
		path = append(path, h)
		layer = edges[h.edge].from
		if !h.forward {
			layer = edges[h.edge].to
		}
	}
	slices.Reverse(path)
	return path
}
