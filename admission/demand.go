package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// otherDemand is the demand of the other instances in one pool, by rank.
type otherDemand struct {
	running int
	ranks   map[int]*otherRank
}

// otherRank is the demand of the other instances in one rank of a pool.
type otherRank struct {
	// workspaces holds the demand that is known by workspace; unnamed is the rest.
	workspaces map[string]workspaceDemand
	unnamed    float64
	arriving   float64
}

// otherDemand adds up the reports of the peers for a pool.
func (c *Controller) otherDemand(pool string) otherDemand {
	if c.others == nil {
		c.others = make(map[string]otherDemand)
		for _, name := range sortedKeys(c.peers) {
			for _, u := range c.peers[name] {
				c.addOther(u)
			}
		}
	}
	return c.others[pool]
}

func (c *Controller) addOther(u WorkspaceUsage) {
	o := c.others[u.Pool]
	if o.ranks == nil {
		o.ranks = make(map[int]*otherRank)
	}
	o.running += u.Running
	c.others[u.Pool] = o
	rank := min(LateRank, max(0, u.Rank))
	r, ok := o.ranks[rank]
	if !ok {
		r = &otherRank{workspaces: make(map[string]workspaceDemand)}
		o.ranks[rank] = r
	}
	r.arriving += u.Arriving
	if u.Workspace == "" {
		r.unnamed += float64(u.Running + u.Waiting)
		return
	}
	d := r.workspaces[u.Workspace]
	d.add(u.Share, u.Running+u.Waiting)
	r.workspaces[u.Workspace] = d
}

// rankDemand is the demand of one rank in a pool over all instances, and the capacity that it is granted.
type rankDemand struct {
	rank int
	// class is that of this instance; nil if it has none.
	class *class
	// named holds the demand by workspace; unnamed is that of others whose workspace isn't known.
	named   []workspaceDemand
	unnamed float64
	// demand is the whole demand.
	demand float64
	// arriving is the number of requests that are expected before all have heard of them, and ownArriving that
	// of this instance.
	arriving, ownArriving float64
	// offered is the demand with the requests that were refused, if it is known; 0 for late ones.
	offered float64
	// granted is the part of the capacity, and reserve what is held beside it for those that arrive.
	granted, reserve float64
}

// rankDemands returns the demand of all instances in a pool, most urgent rank first, and whether ranks compete or
// some demand isn't known by workspace.
func (c *Controller) rankDemands(now time.Time, p *pool) (demands []rankDemand, isRanked bool) {
	others := c.otherDemand(p.name)
	p.othersRunning = others.running
	demands = make([]rankDemand, 0, len(p.classes)+len(others.ranks))
	for _, k := range p.classes {
		demands = append(demands, c.rankDemand(now, p, k, others.ranks[k.rank]))
	}
	for rank, o := range others.ranks {
		if !slices.ContainsFunc(p.classes, func(k *class) bool { return k.rank == rank }) {
			demands = append(demands, c.rankDemand(now, p, &class{rank: rank}, o))
		}
	}
	slices.SortFunc(demands, func(a, b rankDemand) int { return cmp.Compare(a.rank, b.rank) })
	withDemand := 0
	for i := range demands {
		if demands[i].demand > 0 {
			withDemand++
		}
		isRanked = isRanked || demands[i].unnamed > 0
	}
	return demands, isRanked || withDemand > 1
}

// rankDemand adds up the demand of a class of this instance and that of the others in its rank.
func (c *Controller) rankDemand(now time.Time, p *pool, k *class, others *otherRank) rankDemand {
	d := rankDemand{rank: k.rank, class: k}
	named := make(map[string]workspaceDemand, len(k.workspaces))
	if others != nil {
		maps.Copy(named, others.workspaces)
		d.unnamed, d.arriving = others.unnamed, others.arriving
	}
	if k.isLate() {
		// The late requests of all workspaces are in one queue, so their workspaces don't count here either.
		for name, w := range named {
			d.unnamed += w.demand
			delete(named, name)
		}
	}
	for name, w := range k.workspaces {
		n := named[name]
		n.add(w.share, p.startable(k, w))
		named[name] = n
	}
	d.demand = d.unnamed
	d.named = make([]workspaceDemand, 0, len(named))
	for _, name := range sortedKeys(named) {
		n := named[name]
		n.workspace = name
		d.named = append(d.named, n)
		d.demand += n.demand
	}
	if !k.isLate() {
		c.addArrivals(now, p, &d)
	}
	return d
}

// addArrivals adds what is known of the arrivals of a rank.
func (c *Controller) addArrivals(now time.Time, p *pool, d *rankDemand) {
	rate := d.class.arrivalRate(now)
	if lag := c.options.ReportLag.Seconds(); lag > 0 {
		d.ownArriving = rate * lag
		d.arriving += d.ownArriving
		rate = d.arriving / lag
	}
	d.offered = max(d.demand, rate*p.usualTime(now).Seconds())
}

// startable returns a workspace's demand without the late requests that LateReaders keeps from starting.
func (p *pool) startable(k *class, w *workspace) int {
	waiting := len(w.waiting)
	if k.isLate() && p.forecast.LateReaders > 0 {
		waiting = min(waiting, max(0, p.forecast.LateReaders-p.lateReading))
	}
	return w.running + waiting
}
