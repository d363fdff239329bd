package layers

import (
	"fmt"
	"testing"

	"github.com/balsamlb/balsamlb/routing"
	"github.com/matryer/is"
)

// mixedEngine is a model of 80 layers on three kinds of accelerators.
func mixedEngine() *routing.Engine {
	return &routing.Engine{
		Slots: 192, Layers: 80, LayerMB: 1750, TokenBytes: 590_000,
		StepMS: 1.02, StepPerRequestMS: 0.00459, StepPerThousandMS: 0.00615,
		TokensReadPerSecond: 164_000, ActivationBytes: 29_500, PipeMbps: 16_000,
		UsualPrompt: 775, UsualAnswer: 220,
		Accelerators: map[string]routing.Accelerator{
			"large": {MemoryMB: 72_000, Pace: 2.4, ReadFactor: 3.2},
			"small": {MemoryMB: 14_400, Pace: 5.3, ReadFactor: 7.9},
			"slow":  {MemoryMB: 21_600, Pace: 16, ReadFactor: 8.2},
		},
	}
}

func group(centre string, large, small, slow int) []Server {
	var out []Server
	add := func(kind string, n int) {
		for i := range n {
			out = append(out, Server{ID: fmt.Sprintf("%s-%s-%d", centre, kind, i), DataCentre: centre, Accelerator: kind})
		}
	}
	add("large", large)
	add("small", small)
	add("slow", slow)
	return out
}

// carryOut gives the servers what was planned.
func carryOut(servers []Server, plan []Placement) {
	for _, p := range plan {
		for i := range servers {
			if servers[i].ID == p.Server {
				servers[i].From, servers[i].To = p.From, p.To
			}
		}
	}
}

func TestFirstPlanHoldsEveryLayerInEachDataCentre(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	for _, g := range [][]Server{group("a", 2, 4, 4), group("b", 1, 6, 6), group("c", 1, 10, 4)} {
		plan := Plan(e, g)
		for _, p := range plan {
			t.Log(p)
		}
		carryOut(g, plan)
		_, _, hasGap := firstGap(e, g)
		is.True(!hasGap)
		is.Equal(len(Plan(e, g)), 0) // nothing is left to do
		for _, s := range g {
			is.True(float64(s.To-s.From)*e.LayerMB < e.Accelerators[s.Accelerator].MemoryMB)
		}
	}
}
