package admission

import (
	"cmp"
	"slices"
)

// WorkspaceUsage is the demand of one workspace in one pool at one instance.
type WorkspaceUsage struct {
	Pool      string
	Workspace string
	// Share is the weight that the receiving instance assigns to the workspace.
	Share   int
	Running int
	Waiting int
}

// Usage is the demand that one instance reports to the others.
type Usage []WorkspaceUsage

// maxPeers bounds the number of instances whose reports are kept.
const maxPeers = 1024

// SetPeerUsage replaces the report of another instance. An empty report removes the instance: it
// has no demand, or its reports are missing.
func (c *Controller) SetPeerUsage(instance string, u Usage) {
	if len(u) == 0 {
		delete(c.peers, instance)
		return
	}
	if _, known := c.peers[instance]; !known && len(c.peers) >= maxPeers {
		return
	}
	c.peers[instance] = u
}

// Usage returns this instance's report of at most limit entries, largest demand first.
func (c *Controller) Usage(limit int) Usage {
	var u Usage
	for _, name := range sortedKeys(c.pools) {
		p := c.pools[name]
		for _, ws := range sortedKeys(p.workspaces) {
			w := p.workspaces[ws]
			if w.demand() == 0 {
				continue
			}
			u = append(u, WorkspaceUsage{Pool: name, Workspace: ws, Share: w.share, Running: w.running, Waiting: len(w.waiting)})
		}
	}
	slices.SortStableFunc(u, func(a, b WorkspaceUsage) int {
		return cmp.Compare(b.Running+b.Waiting, a.Running+a.Waiting)
	})
	return u[:min(len(u), limit)]
}

// workspaceDemand is the demand of one workspace over all instances, and the capacity that it is
// granted.
type claim struct {
	workspace string
	share     float64
	demand    float64
	granted   float64
}

// allocate divides the pool's capacity: first among workspaces, then each workspace's part among
// the instances, in proportion to their demand.
func (c *Controller) allocate(p *pool) {
	claims := c.claims(p)
	divide(float64(p.forecast.Slots), claims)
	p.allowed = 0
	for _, cl := range claims {
		w, ok := p.workspaces[cl.workspace]
		if !ok || cl.demand == 0 {
			continue
		}
		w.limit = cl.granted * float64(w.demand()) / cl.demand
		p.allowed += w.limit
	}
}

// totalDemand adds up the demand of this instance and the others, by workspace.
func (c *Controller) claims(p *pool) []claim {
	byName := make(map[string]*claim, len(p.workspaces))
	add := func(name string, share, demand int) {
		cl, ok := byName[name]
		if !ok {
			cl = &claim{workspace: name}
			byName[name] = cl
		}
		cl.share = max(cl.share, float64(max(1, share)))
		cl.demand += float64(demand)
	}
	for name, w := range p.workspaces {
		add(name, w.share, w.demand())
	}
	for _, o := range c.peers {
		for _, u := range o {
			if u.Pool == p.name {
				add(u.Workspace, u.Share, u.Running+u.Waiting)
			}
		}
	}
	claims := make([]claim, 0, len(byName))
	for _, name := range sortedKeys(byName) {
		claims = append(claims, *byName[name])
	}
	return claims
}

// divideCapacity grants each workspace its demand or its weighted part of the capacity, whichever
// is less, and divides the rest among the others (weighted max-min fairness).
func divide(room float64, claims []claim) {
	slices.SortStableFunc(claims, func(a, b claim) int {
		return cmp.Compare(a.demand/a.share, b.demand/b.share)
	})
	shares := 0.0
	for _, cl := range claims {
		shares += cl.share
	}
	for i := range claims {
		cl := &claims[i]
		cl.granted = min(cl.demand, room*cl.share/shares)
		room -= cl.granted
		shares -= cl.share
	}
}
