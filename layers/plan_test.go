package layers

import (
	"fmt"
	"testing"

	"github.com/balsamlb/balsamlb/routing"
	"github.com/matryer/is"
)

// mixedEngine returns a model of 80 layers that runs on three kinds of accelerators.
func mixedEngine() *routing.Engine {
	return &routing.Engine{
		Slots: 192, Layers: 80, LayerMB: 1750, TokenBytes: 590_000,
		StepMS: 1.02, StepPerRequestMS: 0.00459, StepPerThousandMS: 0.00615,
		PrefillTokensPerSecond: 164_000, ActivationBytes: 29_500, LinkMbps: 16_000,
		MeanPromptTokens: 775, MeanAnswerTokens: 220,
		Accelerators: map[string]routing.Accelerator{
			"large": {MemoryMB: 72_000, StepFactor: 2.4, PrefillFactor: 3.2},
			"small": {MemoryMB: 14_400, StepFactor: 5.3, PrefillFactor: 7.9},
			"slow":  {MemoryMB: 21_600, StepFactor: 16, PrefillFactor: 8.2},
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

// applyPlan sets the layers of the servers to those in the plan.
func applyPlan(servers []Server, plan []Placement) {
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
		applyPlan(g, plan)
		_, _, hasGap := firstGap(e, g)
		is.True(!hasGap)
		is.Equal(len(Plan(e, g)), 0) // the plan is complete
		for _, s := range g {
			is.True(float64(s.To-s.From)*e.LayerMB < e.Accelerators[s.Accelerator].MemoryMB)
		}
	}
}

// without returns the servers except the one with the given ID.
func without(servers []Server, id string) []Server {
	var out []Server
	for _, s := range servers {
		if s.ID != id {
			out = append(out, s)
		}
	}
	return out
}

func TestCrashOfASmallServerMovesASlowSpareNotALargeOne(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	g := group("c", 1, 10, 4)
	applyPlan(g, Plan(e, g))
	g = without(g, "c-small-3")
	plan := Plan(e, g)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Server[:6], "c-slow")
	applyPlan(g, plan)
	_, _, hasGap := firstGap(e, g)
	is.True(!hasGap)
}

func TestEmptyFastServerTakesTheLayersOfASlowOne(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	g := group("c", 1, 10, 4)
	applyPlan(g, Plan(e, g))
	var lost Server
	for _, s := range g {
		if s.ID == "c-small-3" {
			lost = s
		}
	}
	g = without(g, lost.ID)
	applyPlan(g, Plan(e, g))
	g = append(g, Server{ID: "c-small-new", DataCentre: "c", Accelerator: "small"})
	plan := Plan(e, g)
	is.Equal(len(plan), 1)
	is.True(plan[0].From <= lost.From && plan[0].To >= lost.To)
}

func TestSecondCrashDuringTheFirstLoadIsRepaired(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	g := group("b", 1, 6, 6)
	applyPlan(g, Plan(e, g))
	g = without(g, "b-small-1")
	first := Plan(e, g)
	applyPlan(g, first)
	for i := range g {
		g[i].IsBusy = g[i].ID == first[0].Server
	}
	g = without(g, "b-small-4")
	second := Plan(e, g)
	is.Equal(len(second), 1)
	is.True(second[0].Server != first[0].Server)
}

func TestPlanIsEmptyWhileEveryLayerHasAHolder(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	g := group("a", 2, 4, 4)
	applyPlan(g, Plan(e, g))
	is.Equal(len(Plan(e, without(g, "a-slow-1"))), 0) // a large server also holds the layers of a-slow-1
}

func TestTheLastHolderOfALayerIsNotMoved(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	g := group("a", 2, 4, 0) // every layer has a single holder
	applyPlan(g, Plan(e, g))
	is.Equal(len(Plan(e, without(g, "a-small-1"))), 0)
}

// A fast server that restarts and gets more layers than before has memory for fewer drafts than
// the rest of its chain, so the whole chain refuses drafts that the other servers could accept.
func TestRestartedServerGetsTheCapacityOfItsChain(t *testing.T) {
	e := mixedEngine()
	for _, c := range []struct {
		group []Server
		lost  string
	}{
		{group("b", 3, 8, 8), "b-large-1"},
		{group("b", 1, 6, 6), "b-small-1"},
		{group("c", 1, 10, 4), "c-large-0"},
		{group("d", 2, 24, 9), "d-small-7"},
	} {
		is := is.New(t)
		applyPlan(c.group, Plan(e, c.group))
		var before Server
		for i := range c.group {
			if c.group[i].ID == c.lost {
				before = c.group[i]
				c.group[i].From, c.group[i].To = 0, 0
			}
		}
		applyPlan(c.group, Plan(e, c.group)) // the first plan only closes the gap
		applyPlan(c.group, Plan(e, c.group))
		for _, s := range c.group {
			if s.ID == c.lost {
				is.Equal(s.To-s.From, before.To-before.From)
			}
		}
		is.Equal(len(Plan(e, c.group)), 0)
	}
}

func TestServerThatGrowsKeepsItsLayers(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	g := group("c", 1, 10, 4)
	applyPlan(g, Plan(e, g))
	for i := range g {
		if g[i].ID == "c-large-0" {
			g[i].From, g[i].To = 21, 25 // the range of a server that has closed a small gap
		}
	}
	plan := Plan(e, g)
	is.Equal(len(plan), 1)
	is.Equal(plan[0].Server, "c-large-0")
	is.True(plan[0].From <= 21 && plan[0].To >= 25)
}

// BenchmarkPlanOf93 measures a plan for 93 servers of which none has to change. The leader makes
// such a plan ten times a second.
func BenchmarkPlanOf93(b *testing.B) {
	e := mixedEngine()
	servers := append(append(group("a", 4, 10, 11), group("b", 3, 14, 16)...), group("c", 2, 24, 9)...)
	applyPlan(servers, Plan(e, servers))
	b.ReportAllocs()
	for b.Loop() {
		Plan(e, servers)
	}
}
