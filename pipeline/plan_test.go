package pipeline

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"pgregory.net/rapid"
)

// planCost depends on the server and on the number of layers in the stage.
func planCost(st Stage) time.Duration {
	return time.Duration(st.Server.StepMicros*st.Layers.Len()+st.Server.PrefillMicros) * time.Microsecond
}

// cheapestCost tries every chain over the layers [at, layers) and returns the lowest cost.
func cheapestCost(servers []fleet.BackendServer, at, layers int) time.Duration {
	if at == layers {
		return 0
	}
	best := time.Duration(math.MaxInt64)
	for _, s := range servers {
		for to := at + 1; to <= layers; to++ {
			st := Stage{Server: s, Layers: fleet.Range{From: at, To: to}}
			if !canRunStage(st) {
				continue
			}
			if rest := cheapestCost(servers, to, layers); rest < math.MaxInt64 {
				best = min(best, planCost(st)+rest)
			}
		}
	}
	return best
}

func canRunStage(st Stage) bool {
	if st.Server.PartialRange {
		return st.Server.Layers.From <= st.Layers.From && st.Layers.To <= st.Server.Layers.To
	}
	return st.Server.Layers == st.Layers
}

// TestPlanMatchesExhaustiveSearch compares Plan, which splits ranges only at boundaries of
// servers, with a search that splits them at any layer. Every layer of a server costs the same,
// so splitting at boundaries is enough to find the cheapest chain.
func TestPlanMatchesExhaustiveSearch(t *testing.T) {
	const layers = 7
	rapid.Check(t, func(t *rapid.T) {
		var servers []fleet.BackendServer
		for range rapid.IntRange(1, 6).Draw(t, "servers") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			s := server("s", from, rapid.IntRange(from+1, layers).Draw(t, "to"), rapid.Bool().Draw(t, "partial"))
			s.StepMicros = rapid.IntRange(1, 100).Draw(t, "step")
			s.PrefillMicros = rapid.IntRange(0, 300).Draw(t, "fixed")
			servers = append(servers, s)
		}
		want := cheapestCost(servers, 0, layers)
		chain, err := Plan(servers, layers, planCost)
		if want == math.MaxInt64 {
			if !errors.Is(err, ErrNoChain) {
				t.Fatalf("Plan returned %v, but no chain exists", chain)
			}
			return
		}
		if err != nil {
			t.Fatalf("Plan found no chain, but one of cost %v exists: %v", want, err)
		}
		var got time.Duration
		for _, st := range chain {
			got += planCost(st)
			if !canRunStage(st) {
				t.Fatalf("the server can't run stage %+v", st)
			}
		}
		if got != want {
			t.Fatalf("the chain costs %v, but the cheapest costs %v: %v", got, want, chain)
		}
	})
}
