package pipeline

import (
	"errors"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func server(name string, from, to int, partial bool) fleet.BackendServer {
	return fleet.BackendServer{Name: name, Layers: fleet.Range{From: from, To: to}, PartialRange: partial, Slots: 1}
}

func costByLayers(st Stage) time.Duration { return time.Duration(st.Layers.Len()+3) * time.Millisecond }

func TestPlanCoversEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []fleet.BackendServer
		for range rapid.IntRange(1, 8).Draw(t, "servers") {
			from := rapid.IntRange(0, 11).Draw(t, "from")
			to := rapid.IntRange(from+1, 12).Draw(t, "to")
			servers = append(servers, server("s", from, to, rapid.Bool().Draw(t, "partial")))
		}
		chain, err := Plan(servers, 12, costByLayers)
		if err != nil {
			return
		}
		at := 0
		for _, st := range chain {
			if st.Layers.From != at || st.Layers.To <= at {
				t.Fatalf("stage %+v does not start at layer %d", st.Layers, at)
			}
			at = st.Layers.To
		}
		if at != 12 {
			t.Fatalf("the chain ends at layer %d", at)
		}
	})
}

func TestPlanFailsIfALayerIsUncovered(t *testing.T) {
	is := is.New(t)
	_, err := Plan([]fleet.BackendServer{server("a", 0, 5, true), server("b", 6, 12, true)}, 12, costByLayers)
	is.True(errors.Is(err, ErrNoChain))
}

func token(index int, passed ...Pass) Token {
	return Token{Request: "r", Attempt: 1, Index: index, Passed: passed}
}

func fullPass() []Pass { return []Pass{{Server: "a", Layers: fleet.Range{From: 0, To: 4}}} }

func TestReassemblerOrdersTokens(t *testing.T) {
	is := is.New(t)
	s := NewReassembler("r", 4)
	out, err := s.Add(token(1, fullPass()...))
	is.NoErr(err)
	is.Equal(len(out), 0)
	out, err = s.Add(token(0, fullPass()...))
	is.NoErr(err)
	is.Equal(len(out), 2)
	out, err = s.Add(token(0, fullPass()...))
	is.NoErr(err)
	is.Equal(len(out), 0) // already emitted
}

func TestReassemblerRejectsSkippedOrRepeatedLayers(t *testing.T) {
	for name, passed := range map[string][]Pass{
		"gap":      {{Layers: fleet.Range{From: 0, To: 2}}, {Layers: fleet.Range{From: 3, To: 4}}},
		"overlap":  {{Layers: fleet.Range{From: 0, To: 3}}, {Layers: fleet.Range{From: 2, To: 4}}},
		"too few":  {{Layers: fleet.Range{From: 0, To: 3}}},
		"disorder": {{Layers: fleet.Range{From: 2, To: 4}}, {Layers: fleet.Range{From: 0, To: 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewReassembler("r", 4).Add(token(0, passed...))
			var ce *CoverageError
			is.True(errors.As(err, &ce))
		})
	}
}
