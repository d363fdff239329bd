package gateway

import (
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
)

// claim returns what a search for a path of the draft needs to know of the other gateways. They are assumed
// to be spread evenly over the data centres.
func (g *Gateway) claim(v *view, d *draft, now time.Time) *layers.Claim {
	window := layers.ClaimWindow(now)
	gateways := float64(g.options.Mesh.Gateways())
	isNew := !d.isStarted.Load() && d.claimWindow.Swap(window) != window
	return &layers.Claim{
		Key:    layers.ClaimKey(d.header.ID, g.options.Name, window),
		Demand: g.usage.demand(d.service.Name, window, d.size, isNew),
		Local:  max(1, gateways/float64(max(1, v.dataCentres))),
		All:    gateways,
	}
}

// demand returns what this instance wants to send to the servers of a service in a window. If isNew is set, it
// counts a draft of the given size before.
func (u *usage) demand(service string, window int64, size layers.Draft, isNew bool) layers.Demand {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.claims[service]
	if c == nil {
		c = &layers.Claims{}
		u.claims[service] = c
	}
	if isNew {
		c.Record(window, size)
	}
	return c.Mean(window)
}

// recordFull records that a server has refused a draft, probably since it is full, and returns what it lacked.
// isFirst means that the server is the first one of the path. A server that says that it leaves or wants nothing
// has refused for that, and one that has failed for its failure.
func (g *Gateway) recordFull(v *view, d *draft, id string, isFirst bool, rh ResponseHeader) (lacks string) {
	a, s := v.servers[id], v.searches[d.service.Name]
	if a == nil || s == nil || !a.HasLayers || rh.IsLeaving || rh.HasPause || v.isSilent(id) || g.isUnresponsive(v, id) {
		return "unknown"
	}
	s.mu.Lock()
	lasts := s.paths.DraftTime()
	s.mu.Unlock()
	capacity := layers.Capacity(s.engine, &layers.Holder{Accelerator: a.Accelerator, From: a.LayersFrom, To: a.LayersTo})
	r := fullServer{id: id, incarnation: a.Incarnation, lasts: lasts, capacity: capacity, slots: s.engine.Slots}
	switch {
	case !isFirst || rh.HasLoad && rh.Running+rh.Waiting < rh.Slots:
		r.slots, lacks = 0, "memory"
	case rh.HasLoad:
		r.capacity, r.slots, lacks = 0, rh.Running+rh.Waiting, "slots"
	default:
		lacks = "unknown"
	}
	if memory, slots, isNew := g.usage.recordRefusal(time.Now(), r, g.options.Mesh.PeerUsage()[id]); isNew {
		g.options.Log.Info("a backend server is full beside what is counted", "server", id, "request", d.header.ID, "lacks", lacks,
			"uncounted_token_layers", int64(memory), "uncounted_slots", slots, "decays_ms", lasts.Milliseconds())
	}
	return lacks
}

// fullServer is a server that has refused a draft. capacity is its memory in tokens times layers, and slots the requests
// that it takes as a first server; 0 means that it lacked no such.
type fullServer struct {
	id          string
	incarnation int64
	lasts       time.Duration
	capacity    float64
	slots       int
}

// recordRefusal records that all memory or slots of a server are taken. It returns what wasn't counted of them,
// and whether nothing was known of that.
func (u *usage) recordRefusal(now time.Time, r fullServer, others mesh.Usage) (memory float64, slots int, isNew bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	local := u.local[r.id]
	u.refusedBy[r.id] = r.incarnation
	if r.capacity > 0 {
		memory = max(0, r.capacity-float64(local.TokenLayers+others.TokenLayers))
		isNew = u.fill.RefuseMemory(now, r.id, r.lasts, memory)
	}
	if r.slots > 0 {
		slots = max(0, r.slots-local.Heads-others.Heads)
		isNew = u.fill.RefuseSlots(now, r.id, r.lasts, slots) || isNew
	}
	return memory, slots, isNew
}

// resetFill forgets the refusals of servers that were restarted since. incarnations holds those of all servers.
func (u *usage) resetFill(incarnations map[string]int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, incarnation := range u.refusedBy {
		if incarnations[id] != incarnation {
			u.fill.Reset(id)
			delete(u.refusedBy, id)
		}
	}
}
