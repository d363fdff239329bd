// Package pipeline plans chains of backend servers, drives a draft over a chain and checks the
// tokens that the servers send.
//
// A chain covers every layer of a model exactly once, in order.
package pipeline

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// ErrNoChain means that the available servers don't cover all layers.
var ErrNoChain = errors.New("pipeline: the available backend servers don't cover all layers")

// Stage is one server's part of a chain.
type Stage struct {
	Server fleet.BackendServer
	Layers fleet.Range
}

// Chain covers the layers of a model in order.
type Chain []Stage

// Cost returns the predicted time that a stage adds to a request.
type Cost func(s Stage) time.Duration

// Plan returns the chain of least cost over the layers [0, layers).
//
// This is a shortest-path search over the layer boundaries, from low to high. Every stage ends
// at a higher boundary than it starts at, so the cost of a boundary is final when it is visited.
func Plan(servers []fleet.BackendServer, layers int, cost Cost) (Chain, error) {
	best := make([]time.Duration, layers+1)
	via := make([]Stage, layers+1)
	for i := range best[1:] {
		best[i+1] = math.MaxInt64
	}
	ends := boundaries(servers, layers)
	for _, p := range ends {
		if best[p] == math.MaxInt64 {
			continue
		}
		for _, s := range servers {
			for _, st := range stagesFrom(s, p, ends) {
				q := st.Layers.To
				if c := best[p] + cost(st); c < best[q] {
					best[q] = c
					via[q] = st
				}
			}
		}
	}
	if best[layers] == math.MaxInt64 {
		return nil, ErrNoChain
	}
	var chain Chain
	for p := layers; p > 0; p = via[p].Layers.From {
		chain = append(chain, via[p])
	}
	slices.Reverse(chain)
	return chain, nil
}

// boundaries returns the layers at which a stage can start or end.
func boundaries(servers []fleet.BackendServer, layers int) []int {
	ends := []int{0, layers}
	for _, s := range servers {
		for _, b := range []int{s.Layers.From, s.Layers.To} {
			if b >= 0 && b <= layers {
				ends = append(ends, b)
			}
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// stagesFrom returns the stages that the server can run and that start at layer p. A server
// runs its whole range unless it reports that it can run a part of it.
func stagesFrom(s fleet.BackendServer, p int, ends []int) []Stage {
	layers := ends[len(ends)-1]
	if !s.PartialRange {
		if s.Layers.From != p || s.Layers.To > layers || s.Layers.To <= p {
			return nil
		}
		return []Stage{{Server: s, Layers: s.Layers}}
	}
	if p < s.Layers.From {
		return nil
	}
	var stages []Stage
	for _, q := range ends {
		if q > p && q <= s.Layers.To {
			stages = append(stages, Stage{Server: s, Layers: fleet.Range{From: p, To: q}})
		}
	}
	return stages
}
