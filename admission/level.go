package admission

import "time"

// Level says which requests of a pool are admitted now.
type Level struct {
	// Rank is the least urgent rank that is granted its whole demand, together with all more urgent ones. It is
	// MaxRank without shortage, and -1 if not even rank 0 is granted its demand.
	Rank int
	// Capacity is the number of requests that all servers can run, as far as it is known, and Local this
	// instance's part of it.
	Capacity float64
	Local    float64
	// Demand is the demand of all instances by rank, most urgent first; late requests are of LateRank.
	Demand []RankDemand
}

// RankDemand is the demand of one rank in a pool over all instances, in requests, and what it is granted.
type RankDemand struct {
	Rank    int
	Demand  float64
	Granted float64
}

// Level returns the level of a pool as of the latest event. It returns false if the pool is not known.
func (c *Controller) Level(name string) (Level, bool) {
	p, ok := c.pools[name]
	if !ok {
		return Level{}, false
	}
	demands, _ := c.rankDemands(c.now, p)
	l := Level{Rank: MaxRank, Capacity: p.capacity(c.now), Local: p.localCapacity}
	divideRanks(l.Capacity, demands)
	for _, d := range demands {
		if d.demand == 0 {
			continue
		}
		l.Demand = append(l.Demand, RankDemand{Rank: d.rank, Demand: d.demand, Granted: d.granted})
		if d.granted < d.demand-roundingError {
			l.Rank = min(l.Rank, d.rank-1)
		}
	}
	return l, true
}

// minArriving is the least number of expected arrivals that is reported.
const minArriving = 0.01

// RankUsage returns this instance's demand in a pool by rank, all workspaces together, and the arrivals that are
// expected until others hear of them. Late requests are of LateRank.
func (c *Controller) RankUsage(name string) []WorkspaceUsage {
	p, ok := c.pools[name]
	if !ok {
		return nil
	}
	var usage []WorkspaceUsage
	for _, k := range p.classes {
		u := WorkspaceUsage{Pool: name, Rank: k.rank, Running: k.running}
		for _, w := range k.workspaces {
			u.Waiting += p.startable(k, w) - w.running
		}
		if !k.isLate() {
			u.Arriving = k.arrivalRate(c.now) * c.options.ReportLag.Seconds()
		}
		if u.Running+u.Waiting > 0 || u.Arriving >= minArriving {
			usage = append(usage, u)
		}
	}
	return usage
}

// Held returns how many running requests of a pool at this instance have begun or can begin to be answered by their
// objective, or have none, and how many haven't.
func (c *Controller) Held(name string) (inTime, late int) {
	for _, e := range c.requests {
		switch {
		case !e.running || e.Pool != name:
		case e.missedObjective(c.now):
			late++
		default:
			inTime++
		}
	}
	return inTime, late
}

// missedObjective reports whether the answer of a running request has begun too late, or would if it began now.
func (e *entry) missedObjective(now time.Time) bool {
	if e.InTimeUntil.IsZero() {
		return false
	}
	if e.begun {
		now = e.begunAt
	}
	return now.After(e.InTimeUntil)
}
