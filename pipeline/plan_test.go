package pipeline

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"pgregory.net/rapid"
)

// planCost depends on the server and on the length of its part.
func planCost(st Stage) time.Duration {
	return time.Duration(st.Server.StepMicros*st.Layers.Len()+st.Server.PrefillMicros) * time.Microsecond
}

// cheapest searches all chains from layer at on.
func cheapest(servers []fleet.BackendServer, at, layers int) time.Duration {
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
			if rest := cheapest(servers, to, layers); rest < math.MaxInt64 {
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

// TestPlanIsAsCheapAsAnExhaustiveSearch compares Plan with the naive search. Costs grow with
// the layers at the same rate everywhere in a server's range, so a cut at a boundary of some
// server is as good as any.
func TestPlanIsAsCheapAsAnExhaustiveSearch(t *testing.T) {
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
		want := cheapest(servers, 0, layers)
		chain, err := Plan(servers, layers, planCost)
		if want == math.MaxInt64 {
			if !errors.Is(err, ErrNoChain) {
				t.Fatalf("found %v where there is no chain", chain)
			}
			return
		}
		if err != nil {
			t.Fatalf("found none of cost %v: %v", want, err)
		}
		var got time.Duration
		for _, st := range chain {
			got += planCost(st)
			if !canRunStage(st) {
				t.Fatalf("%+v can't run", st)
			}
		}
		if got != want {
			t.Fatalf("cost %v, the cheapest is %v: %v", got, want, chain)
		}
	})
}
