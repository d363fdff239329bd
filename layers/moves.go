package layers

import "slices"

// movedPartCostMS is added for each part that a moved draft could have kept: the longest pause between two
// events that callers accept.
const movedPartCostMS = 250.0

// minReadQueueMS is the time in milliseconds below which prompts that are read hold up nobody: a tenth of that
// pause.
const minReadQueueMS = movedPartCostMS / 10

// keeps reports whether the running path has the part. Such a part reads nothing and needs no further memory.
func (q *Query) keeps(id string, from, to int) bool {
	return slices.ContainsFunc(q.Running, func(p Part) bool { return p.ID == id && p.From == from && p.To == to })
}

// prefillTime returns how long a holder takes to read the given tokens times layers, in milliseconds.
func (s *Search) prefillTime(holder int, tokenLayers float64) float64 {
	if s.engine.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return tokenLayers / float64(s.engine.Layers) * s.rates[holder].prefill * 1000 / s.engine.PrefillTokensPerSecond
}

// rereadCost returns the delay in milliseconds by the prompts that moved drafts read again on a holder.
func (s *Search) rereadCost(holder int) float64 {
	if queue := s.prefillTime(holder, s.holders[holder].Rereading); queue >= minReadQueueMS {
		return contentionFactor * queue
	}
	return 0
}

// moveCost returns what it costs in milliseconds that a running draft is read again by a holder that doesn't
// run these layers for it yet. The drafts that pass through the holder wait meanwhile. Instances that lose the
// same server move their drafts at the same moment, so the draft's place among those of all instances that
// would choose the same holder is drawn from its key.
func (s *Search) moveCost(holder int, layers float64, q *Query) float64 {
	cost, peers := 0.0, 0.0
	if len(q.Running) > 0 {
		cost = movedPartCostMS
	}
	if q.Claim != nil {
		peers = contentionFactor * (q.Claim.sharers(&s.holders[holder], q.Home) - 1)
	}
	read, drafts := s.prefillTime(holder, q.Draft.PromptTokens*layers), float64(s.holders[holder].Drafts)
	if read*(drafts+peers) < minReadQueueMS {
		return cost
	}
	return cost + read*(drafts+peers*unitInterval(q.Claim.key()^s.rates[holder].hash))
}

// hashString returns the FNV-1a hash of a string.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
