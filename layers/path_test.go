package layers

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func avoidNone(string) bool { return false }

// holdersOf returns a holder for each server that holds layers.
func holdersOf(servers []Server) []Holder {
	var out []Holder
	for _, s := range servers {
		if s.To > s.From {
			out = append(out, Holder{ID: s.ID, Address: s.ID + ":1", DataCentre: s.DataCentre, Accelerator: s.Accelerator, From: s.From, To: s.To})
		}
	}
	return out
}

// threeDataCentres returns servers with the layers that the planner gives them.
func threeDataCentres() []Server {
	servers := append(append(group("a", 2, 4, 4), group("b", 1, 6, 6)...), group("c", 1, 10, 4)...)
	applyPlan(servers, Plan(mixedEngine(), servers))
	return servers
}

var usualDraft = Draft{PromptTokens: 740, AnswerTokens: 240}

func TestEveryPathPassesEachLayerOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := mixedEngine()
		kinds := []string{"large", "small", "slow"}
		byID := map[string]Holder{}
		var holders []Holder
		for i := range rapid.IntRange(1, 30).Draw(t, "servers") {
			from := rapid.IntRange(0, e.Layers-1).Draw(t, "from")
			h := Holder{
				ID: fmt.Sprint("s", i), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre"),
				Accelerator: rapid.SampledFrom(kinds).Draw(t, "kind"),
				From:        from, To: min(e.Layers, from+rapid.IntRange(1, 30).Draw(t, "count")),
				Drafts: rapid.IntRange(0, 50).Draw(t, "drafts"),
			}
			byID[h.ID] = h
			holders = append(holders, h)
		}
		avoided := rapid.SampledFrom([]string{"s0", "s1", "none"}).Draw(t, "avoided")
		path, _, ok := NewSearch(e, holders).Find(Query{
			Draft: usualDraft, Home: "a", Avoid: func(id string) bool { return id == avoided },
		})
		if !ok {
			return
		}
		next := 0
		seen := map[string]bool{}
		for _, p := range path {
			h := byID[p.ID]
			if p.From != next || p.To <= p.From || p.From < h.From || p.To > h.To || seen[p.ID] || p.ID == avoided {
				t.Fatalf("part %v of path %v; the server holds %d to %d", p, path, h.From, h.To)
			}
			seen[p.ID] = true
			next = p.To
		}
		if next != e.Layers || len(path) > maxParts {
			t.Fatalf("path %v", path)
		}
	})
}

func TestDraftsStayInTheirDataCentreUntilItIsCrowded(t *testing.T) {
	is := is.New(t)
	s := NewSearch(mixedEngine(), holdersOf(threeDataCentres()))
	centres := func() map[byte]bool {
		path, _, ok := s.Find(Query{Draft: usualDraft, Home: "b", Avoid: avoidNone})
		is.True(ok)
		out := map[byte]bool{}
		for _, p := range path {
			out[p.ID[0]] = true
		}
		return out
	}
	is.Equal(centres(), map[byte]bool{'b': true})
	s.Update(func(h *Holder) {
		if h.DataCentre == "b" {
			h.Drafts = 150
		}
	})
	is.Equal(centres()['b'] && len(centres()) == 1, false)
}

func TestPathAvoidsLostServer(t *testing.T) {
	is := is.New(t)
	s := NewSearch(mixedEngine(), holdersOf(threeDataCentres()))
	// The layers of the first server in b have a second holder in b. The second holders of later
	// layers are in other data centres.
	for _, lost := range []string{"b-large-0", "b-small-2"} {
		path, _, ok := s.Find(Query{
			Draft: usualDraft, Home: "b",
			Avoid: func(id string) bool { return id == lost || id[0] == 'a' },
		})
		is.True(ok)
		is.True(!path.Contains(lost))
	}
}

// A server accepts a changed path only if the first part of the path stays the same, including the
// range of layers. The path must then switch servers at the end of that part, even if no remaining
// server's range starts or ends there.
func TestChangedPathKeepsItsFirstPart(t *testing.T) {
	s := NewSearch(mixedEngine(), holdersOf(threeDataCentres()))
	for _, to := range []int{30, 24, 7} {
		is := is.New(t)
		head := Part{ID: "b-large-0", Address: "b-large-0:1", DataCentre: "b", From: 0, To: to}
		path, _, ok := s.Find(Query{
			Draft: usualDraft, Home: "b", Head: head,
			Avoid: func(id string) bool { return id == "b-small-2" },
		})
		is.True(ok)
		is.Equal(path[0], head)
		is.Equal(path[1].From, to)
	}
}

func TestFullServersTakeNoDrafts(t *testing.T) {
	is := is.New(t)
	s := NewSearch(mixedEngine(), holdersOf(threeDataCentres()))
	s.Update(func(h *Holder) { h.Used = math.MaxFloat32 })
	_, _, ok := s.Find(Query{Draft: usualDraft, Home: "a", Avoid: avoidNone})
	is.True(!ok)
}

func TestStartedDraftsMayUseReservedCapacity(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	s := NewSearch(e, holdersOf(threeDataCentres()))
	s.Update(func(h *Holder) { h.Used = (admissionLimit - 0.01) * Capacity(e, h) })
	small := Draft{PromptTokens: 1500, AnswerTokens: 220}
	_, _, ok := s.Find(Query{Draft: small, Home: "a", Avoid: avoidNone})
	is.True(!ok)
	_, _, ok = s.Find(Query{Draft: small, Home: "a", Avoid: avoidNone, Started: true})
	is.True(ok)
}

func TestHeadIsLimitedToItsSlots(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	s := NewSearch(e, holdersOf(oneDataCentre()))
	s.Update(func(h *Holder) { h.Heads = e.Slots })
	_, _, ok := s.Find(Query{Draft: usualDraft, Home: "a", Avoid: avoidNone})
	is.True(!ok)
}

func oneDataCentre() []Server {
	g := group("a", 2, 4, 4)
	applyPlan(g, Plan(mixedEngine(), g))
	return g
}

func BenchmarkFindAmong38(b *testing.B) {
	s := NewSearch(mixedEngine(), holdersOf(threeDataCentres()))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := s.Find(Query{Draft: usualDraft, Home: "b", Avoid: avoidNone}); !ok {
			b.Fatal("no path")
		}
	}
}
