package gateway

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
)

// use is the work of this instance and of the others that passes through the servers.
type use struct {
	mu  sync.Mutex
	own map[string]mesh.Use
	// running counts the requests of plain services by server, load what the servers said.
	running map[string]int
	load    map[string]serverLoad
}

// serverLoad is what a server said of its load, and when.
type serverLoad struct {
	running, waiting, slots int
	at                      time.Time
}

func newUse() *use {
	return &use{own: make(map[string]mesh.Use), running: make(map[string]int), load: make(map[string]serverLoad)}
}

// add counts a draft on each server of its path, or takes it off with sign -1.
func (u *use) add(p layers.Path, tokens, sign int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, part := range p {
		x := u.own[part.ID]
		x.Server = part.ID
		x.TokenLayers += sign * tokens * (part.To - part.From)
		x.Drafts += sign
		if i == 0 {
			x.Heads += sign
		}
		if x.Drafts == 0 && x.TokenLayers == 0 {
			delete(u.own, part.ID)
			continue
		}
		u.own[part.ID] = x
	}
}

// grow counts tokens that a draft has written on each server of its path.
func (u *use) grow(p layers.Path, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, part := range p {
		x := u.own[part.ID]
		x.TokenLayers += tokens * (part.To - part.From)
		u.own[part.ID] = x
	}
}

// list returns this instance's use.
func (u *use) list() []mesh.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]mesh.Use, 0, len(u.own))
	for _, x := range u.own {
		out = append(out, x)
	}
	return out
}

// apply sets the use of the holders in a search, own work and that of the others.
func (u *use) apply(s *layers.Search, others map[string]mesh.Use) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s.Update(func(h *layers.Holder) {
		own, other := u.own[h.ID], others[h.ID]
		h.Used = float64(own.TokenLayers + other.TokenLayers)
		h.Drafts = own.Drafts + other.Drafts
		h.Heads = own.Heads + other.Heads
	})
}

// begin counts a plain request at a server; the returned function takes it off.
func (u *use) begin(id string) func() {
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

// told notes the load that a server has stated.
func (u *use) told(id string, a Answer, now time.Time) {
	if !a.HasLoad {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load[id] = serverLoad{running: a.Running, waiting: a.Waiting, slots: a.Slots, at: now}
}

// loadAge is for how long a stated load says something; a plain request takes about 60 ms.
const loadAge = 300 * time.Millisecond

// forget drops stated loads that say nothing any more.
func (u *use) forget(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, l := range u.load {
		if now.Sub(l.at) > loadAge {
			delete(u.load, id)
		}
	}
}

// busy estimates the share of a server's places that are taken.
func (u *use) busy(a *discovery.Announcement, now time.Time) float64 {
	n := u.running[a.ID]
	if l, ok := u.load[a.ID]; ok && now.Sub(l.at) < loadAge {
		n = max(n, l.running+l.waiting)
	}
	return float64(n) / float64(max(1, a.Slots))
}
