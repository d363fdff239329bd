package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// leastPart is the part of its proportional part of the capacity that each rank keeps: then no rank is served less
	// than a quarter as often as all.
	leastPart = 1.0 / 4
	// lateLeastPart bounds what late requests keep, in parts of the capacity. Their queue is long under shortage,
	// but an answer in time is worth several late ones.
	lateLeastPart = 1.0 / 20
)

// allocate divides the pool's capacity: first among ranks, then each rank's part among workspaces, then each
// workspace's part among the instances, in proportion to their demand.
func (c *Controller) allocate(now time.Time, p *pool) {
	demands, isRanked := c.rankDemands(now, p)
	p.isRanked = isRanked
	p.isUnnamed = slices.ContainsFunc(demands, func(d rankDemand) bool { return d.unnamed > 0 })
	capacity := p.capacity(now)
	isShort := divideRanks(capacity, demands)
	p.localCapacity = 0
	for i := range demands {
		d := &demands[i]
		part := d.granted
		if !isRanked || !isShort {
			part = capacity
		}
		p.divideRank(d, part)
		p.localCapacity += d.class.limit
	}
	if isRanked {
		c.setPlaces(now, p)
	}
}

// divideRanks grants capacity to ranks in order, after a least part for each, and reports whether their demand
// exceeds it. Before less urgent ranks get the rest, room is held for the usual variation of a rank's arrivals that
// others haven't heard of yet.
func divideRanks(capacity float64, demands []rankDemand) (isShort bool) {
	total, offered := 0.0, 0.0
	for i := range demands {
		total += demands[i].demand
		offered += demands[i].offered
	}
	rest := capacity
	for i := range demands {
		d := &demands[i]
		if total <= capacity {
			d.granted = d.demand
			continue
		}
		if d.rank == LateRank {
			d.granted = min(d.demand, capacity*lateLeastPart)
		} else if d.demand > 0 {
			d.granted = min(d.demand, capacity*d.offered/offered*leastPart)
		}
		rest -= d.granted
	}
	if total <= capacity {
		return false
	}
	for i := range demands {
		d := &demands[i]
		more := min(d.demand-d.granted, max(0, rest))
		d.granted += more
		rest -= more
		d.reserve = min(d.arriving, math.Sqrt(d.arriving), max(0, rest))
		rest -= d.reserve
	}
	return true
}

// divideRank divides capacity among the workspaces of a rank, and sets the limits of this instance.
func (p *pool) divideRank(d *rankDemand, capacity float64) {
	d.class.limit = 0
	if d.demand == 0 {
		return
	}
	if d.unnamed > 0 {
		capacity *= (d.demand - d.unnamed) / d.demand
	}
	divideCapacity(capacity, d.named)
	for _, n := range d.named {
		w, ok := d.class.workspaces[n.workspace]
		if !ok || n.demand == 0 {
			continue
		}
		w.limit = n.granted * float64(p.startable(d.class, w)) / n.demand
		d.class.limit += w.limit
	}
	if d.reserve > 0 {
		d.class.limit += d.reserve * d.ownArriving / d.arriving
	}
}

// setPlaces turns the limits of the classes and of this instance into whole requests.
func (c *Controller) setPlaces(now time.Time, p *pool) {
	if p.places.accruedAt.IsZero() {
		// Instances don't all start their first fraction of a place at the same time.
		p.places.credit = c.random.Float64()
	}
	usual := p.usualTime(now)
	p.places.set(now, p.localCapacity, usual)
	for _, k := range p.classes {
		k.places.set(now, k.limit, usual)
	}
}
