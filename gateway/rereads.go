package gateway

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/layers"
)

// maxReread is how long a draft without an event counts as being read again. Later it waits for something else.
const maxReread = time.Second

// reread is the tokens that the servers of a moved draft read again, and the parts that do.
type reread struct {
	at       time.Time
	parts    layers.Path
	tokens   int
	gateways int
}

// beginReread records that servers read the prompt of the draft again if it moves to p after its first event. The
// caller holds a.mu, and the path is still the one before the move.
func (a *attempt) beginReread(p layers.Path) {
	if a.isRereading {
		a.endReread()
	}
	if len(p) == 0 || !a.draft.isStarted.Load() {
		return
	}
	g := a.gateway
	r := reread{at: time.Now(), tokens: a.heldTokens, gateways: max(1, g.options.Mesh.Gateways()/max(1, g.view.Load().dataCentres))}
	for _, part := range p {
		if !slices.Contains(a.path, part) {
			r.parts = append(r.parts, part)
		}
	}
	a.isRereading = true
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.rereads[a] = r
}

// endReread records that the servers have read the prompt. The caller holds a.mu.
func (a *attempt) endReread() {
	a.isRereading = false
	u := a.gateway.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.rereads, a)
}

// rereading returns the tokens times layers that are read again on each server now. Gateways that lose the same
// server move their drafts at the same moment, so the others are assumed to have moved as many. The caller holds mu.
func (u *usage) rereading(now time.Time) map[string]float64 {
	if len(u.rereads) == 0 {
		return nil
	}
	out := make(map[string]float64)
	for _, r := range u.rereads {
		if now.Sub(r.at) > maxReread {
			continue
		}
		for _, part := range r.parts {
			out[part.ID] += float64(r.tokens * (part.To - part.From) * r.gateways)
		}
	}
	return out
}
