package layers

import (
	"cmp"
	"slices"
)

const (
	// maxFirstMoves bounds the first moves for which a second one is sought, and maxPairWork their number times the
	// number of servers.
	maxFirstMoves = 20
	maxPairWork   = 1000
	// pairFloorShare replaces floorShare for the first move of two, which the second one compensates.
	pairFloorShare = 0.6
)

// prefersHeads returns the supply with the shortage of slots weighted like one of memory at all layers. Moves then add
// first servers also where memory at many layers becomes tighter by it.
func (s *supply) prefersHeads() *supply {
	out := *s
	out.slotWeight = float64(s.engine.Layers)
	return &out
}

// bestPair returns two moves that together reduce the shortages most, for a supply that no single move improves: one
// server makes room for another to move, or both together hold what one can't. loads is the number of servers that
// may load layers.
func (s *supply) bestPair(need float64, mayMove func(*Server) bool, loads int) ([]candidate, bool) {
	firsts := s.evaluate(need, pairFloorShare, mayMove, loads > 0, true).all
	slices.SortStableFunc(firsts, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	firsts = firsts[:min(len(firsts), maxFirstMoves, maxPairWork/max(1, len(s.group)))]
	floor := floorShare * min(need, s.total().Drafts)
	var best []candidate
	bestGain := minGain * s.shortages(need)
	for _, first := range firsts {
		server := &s.group[first.server]
		left := loads
		if first.loads = loadsOf(server, first.from, first.to); first.loads > 0 {
			left--
		}
		during := s.after(first)
		second, ok := during.bestMove(need, mayMove, left > 0)
		if gain := first.gain + second.gain; ok && gain > bestGain && during.with(second.server, second.from, second.to).Drafts >= floor {
			best, bestGain = []candidate{first, second}, gain
		}
	}
	return best, best != nil
}

// after returns the supply while a move takes place.
func (s *supply) after(c candidate) *supply {
	group := slices.Clone(s.group)
	group[c.server].From, group[c.server].To, group[c.server].IsBusy = c.from, c.to, true
	out := newSupply(s.engine, group)
	out.slotWeight = s.slotWeight
	return out
}
