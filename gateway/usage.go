package gateway

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
)

// usage tracks the work that this instance has on each server, and the load that servers report. It
// is safe for concurrent use, except for utilization, whose caller holds mu.
type usage struct {
	mu    sync.Mutex
	local map[string]mesh.Usage
	// running counts the plain requests of this instance by server; load holds the load that each
	// server reported last.
	running map[string]int
	load    map[string]serverLoad
	// fill holds what servers have refused, claims the demand by service, and rereads the prompts that
	// moved drafts read again.
	fill *layers.Fill
	// refusedBy holds the incarnations of the servers in fill.
	refusedBy map[string]int64
	claims    map[string]*layers.Claims
	rereads   map[*attempt]reread
}

// serverLoad is the load that a server reported, and when.
type serverLoad struct {
	running, waiting, slots int
	at                      time.Time
}

func newUsage() *usage {
	return &usage{
		local: make(map[string]mesh.Usage), running: make(map[string]int), load: make(map[string]serverLoad),
		fill: layers.NewFill(), refusedBy: make(map[string]int64), claims: make(map[string]*layers.Claims), rereads: make(map[*attempt]reread),
	}
}

// add adds a draft to each server of its path, or removes it if sign is -1.
func (u *usage) add(p layers.Path, tokens, sign int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, part := range p {
		x := u.local[part.ID]
		x.Server = part.ID
		x.TokenLayers += sign * tokens * (part.To - part.From)
		x.Drafts += sign
		if i == 0 {
			x.Heads += sign
		}
		if x.Drafts == 0 && x.TokenLayers == 0 {
			delete(u.local, part.ID)
			continue
		}
		u.local[part.ID] = x
	}
}

// addTokens adds tokens that a draft has generated to the usage of each server of its path.
func (u *usage) addTokens(p layers.Path, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, part := range p {
		x := u.local[part.ID]
		x.TokenLayers += tokens * (part.To - part.From)
		u.local[part.ID] = x
	}
}

// list returns the usage of each server by this instance's drafts.
func (u *usage) list() []mesh.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]mesh.Usage, 0, len(u.local))
	for _, x := range u.local {
		out = append(out, x)
	}
	return out
}

// apply sets the usage of each holder in a search to the sum of the local usage and that of other
// instances, and what is known beside that.
func (u *usage) apply(s *layers.Search, others map[string]mesh.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	rereading := u.rereading(now)
	s.Update(func(h *layers.Holder) {
		local, other := u.local[h.ID], others[h.ID]
		h.Used = float64(local.TokenLayers + other.TokenLayers)
		h.Drafts = local.Drafts + other.Drafts
		h.Heads = local.Heads + other.Heads
		h.Unaccounted, h.UnaccountedHeads = u.fill.At(now, h.ID)
		h.Rereading = rereading[h.ID]
	})
}

// servers returns the servers at which this instance has requests.
func (u *usage) servers() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]string, 0, len(u.local)+len(u.running))
	for id := range u.local {
		out = append(out, id)
	}
	for id := range u.running {
		out = append(out, id)
	}
	return out
}

// begin counts a plain request, which runs on a single server without a path, as running on the
// server; the returned function subtracts it from the count again.
func (u *usage) begin(id string) func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[id]++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.running[id]--; u.running[id] <= 0 {
			delete(u.running, id)
		}
	}
}

// requests returns the number of this instance's requests on a server: plain ones, and drafts of whose
// paths it is the first server.
func (u *usage) requests(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running[id] + u.local[id].Heads
}

// recordLoad records the load that a server reported.
func (u *usage) recordLoad(id string, rh ResponseHeader, now time.Time) {
	if !rh.HasLoad {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load[id] = serverLoad{running: rh.Running, waiting: rh.Waiting, slots: rh.Slots, at: now}
}

// maxLoadAge is how long a reported load is used; a plain request takes about 60 ms.
const maxLoadAge = 300 * time.Millisecond

// removeExpired removes reported loads that are too old to be used.
func (u *usage) removeExpired(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, l := range u.load {
		if now.Sub(l.at) > maxLoadAge {
			delete(u.load, id)
		}
	}
}

// utilization estimates the fraction of a server's slots that are taken. The caller holds mu.
func (u *usage) utilization(a *discovery.Announcement, now time.Time) float64 {
	n := u.running[a.ID]
	if l, ok := u.load[a.ID]; ok && now.Sub(l.at) < maxLoadAge {
		n = max(n, l.running+l.waiting)
	}
	return float64(n) / float64(max(1, a.Slots))
}
