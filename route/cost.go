package route

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// cost is a predicted time, split into its parts.
type cost struct {
	queue time.Duration
	speed time.Duration
	link  time.Duration
	// slowdown is the additional time because the server is slower than announced.
	slowdown time.Duration
	// prefix is the time that a cached prefix saves.
	prefix time.Duration
}

func (c cost) total() time.Duration { return c.queue + c.speed + c.link + c.slowdown - c.prefix }

// decidingReason returns the part of the cost in which c is the most below other, or ReasonRandom
// if no part of c is below that of other.
func (c cost) decidingReason(other cost) Reason {
	parts := []struct {
		saved  time.Duration
		reason Reason
	}{
		{other.queue - c.queue, ReasonQueue},
		{other.speed - c.speed, ReasonSpeed},
		{other.link - c.link, ReasonLink},
		{other.slowdown - c.slowdown, ReasonSlowdown},
		{c.prefix - other.prefix, ReasonPrefix},
	}
	best := ReasonRandom
	var most time.Duration
	for _, p := range parts {
		if p.saved > most {
			best = p.reason
			most = p.saved
		}
	}
	return best
}

type candidate struct {
	server *fleet.BackendServer
	cost   cost
}

const (
	// nearlyEqualFactor is the multiple of the lowest cost up to which servers count as nearly equal.
	nearlyEqualFactor = 1.1
	// nearlyEqualMargin is the difference from the lowest cost up to which servers always count as
	// nearly equal.
	nearlyEqualMargin = 200 * time.Microsecond
)

// pick draws two of the nearly equal candidates at random and chooses the cheaper one ("power of
// two choices"). There must be at least one candidate.
func (r *Router) pick(all []candidate) Choice {
	lowest := all[0].cost.total()
	for _, c := range all[1:] {
		lowest = min(lowest, c.cost.total())
	}
	if r.roundRobin {
		return r.pickRoundRobin(all)
	}
	limit := max(time.Duration(float64(lowest)*nearlyEqualFactor), lowest+nearlyEqualMargin)
	var nearlyEqual []int
	for i, c := range all {
		if c.cost.total() <= limit {
			nearlyEqual = append(nearlyEqual, i)
		}
	}
	chosen := nearlyEqual[r.random.IntN(len(nearlyEqual))]
	other := nearlyEqual[r.random.IntN(len(nearlyEqual))]
	if all[other].cost.total() < all[chosen].cost.total() {
		chosen = other
	}
	c := Choice{Chosen: *all[chosen].server, Cost: all[chosen].cost.total(), Reason: ReasonOnly}
	second := runnerUp(all, chosen)
	if second < 0 {
		return c
	}
	c.RunnerUp = all[second].server.Name
	c.RunnerUpCost = all[second].cost.total()
	c.Reason = all[chosen].cost.decidingReason(all[second].cost)
	return c
}

// pickRoundRobin chooses the candidates in round-robin order.
func (r *Router) pickRoundRobin(all []candidate) Choice {
	first := all[0].server.Name
	r.roundRobinTurns[first]++
	c := all[r.roundRobinTurns[first]%len(all)]
	return Choice{Chosen: *c.server, Cost: c.cost.total(), Reason: ReasonOnly}
}

// runnerUp returns the index of the cheapest candidate except the chosen one, or -1.
func runnerUp(all []candidate, chosen int) int {
	second := -1
	for i := range all {
		if i == chosen {
			continue
		}
		if second < 0 || all[i].cost.total() < all[second].cost.total() {
			second = i
		}
	}
	return second
}
