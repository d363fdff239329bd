package bench

import (
	"math"
	"slices"

	"github.com/balsamlb/balsamlb/fleet"
)

// batchSlowdown is that of internal/emulate: the share by which each further request slows a
// step.
const batchSlowdown = 0.03

// capacity returns the most tokens a second that a server can run, when each answer has the
// number of tokens after the prompt. The first token of an answer also takes the prefill.
func capacity(s fleet.BackendServer, prompt, tokens float64) float64 {
	step := float64(s.StepMicros) * (1 + batchSlowdown*float64(s.Slots-1)) / float64(s.Slots)
	prefill := float64(s.PrefillMicros) * prompt / tokens
	return 1e6 / (step + prefill)
}

// edge is a server's way from its first layer to the one after its last.
type edge struct {
	from, to int
	left     float64
	back     float64
}

// bound returns the most tokens a second that the servers can run together: the greatest flow
// through the layers, where each server carries at most its capacity.
func bound(servers []fleet.BackendServer, layers int, prompt, tokens float64) float64 {
	var edges []edge
	for _, s := range servers {
		if s.Model == benchModel {
			edges = append(edges, edge{from: s.Layers.From, to: s.Layers.To, left: capacity(s, prompt, tokens)})
		}
	}
	total := 0.0
	for {
		path := augment(edges, layers)
		if path == nil {
			return total
		}
		least := math.Inf(1)
		for _, p := range path {
			least = min(least, p.room(edges))
		}
		for _, p := range path {
			p.push(edges, least)
		}
		total += least
	}
}

// hop is one edge of a path, forwards or backwards.
type hop struct {
	edge    int
	forward bool
}

func (h hop) room(edges []edge) float64 {
	if h.forward {
		return edges[h.edge].left
	}
	return edges[h.edge].back
}

func (h hop) push(edges []edge, flow float64) {
	if !h.forward {
		flow = -flow
	}
	edges[h.edge].left -= flow
	edges[h.edge].back += flow
}

// leastFlow is the flow below which an edge counts as full.
const leastFlow = 1e-9

// augment returns a shortest path from layer 0 to the last that has room, or nil.
func augment(edges []edge, layers int) []hop {
	came := map[int]hop{}
	queue := []int{0}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for i, e := range edges {
			for _, h := range []hop{{i, true}, {i, false}} {
				from, to := e.from, e.to
				if !h.forward {
					from, to = to, from
				}
				if _, seen := came[to]; from != at || seen || to == 0 || h.room(edges) < leastFlow {
					continue
				}
				came[to] = h
				queue = append(queue, to)
			}
		}
	}
	if _, ok := came[layers]; !ok {
		return nil
	}
	var path []hop
	for at := layers; at != 0; {
		h := came[at]
		path = append(path, h)
		at = edges[h.edge].from
		if !h.forward {
			at = edges[h.edge].to
		}
	}
	slices.Reverse(path)
	return path
}
