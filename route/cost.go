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
	// pace is the additional time because the server is slower than announced.
	pace time.Duration
	// prefix is the time that a cached prefix saves.
	prefix time.Duration
}

func (c cost) total() time.Duration { return c.queue + c.speed + c.link + c.pace - c.prefix }

// why returns the part by which c is most below the other cost.
func (c cost) why(other cost) Reason {
	parts := []struct {
		saved  time.Duration
		reason Reason
	}{
		{other.queue - c.queue, ReasonQueue},
		{other.speed - c.speed, ReasonSpeed},
		{other.link - c.link, ReasonLink},
		{other.pace - c.pace, ReasonSlowdown},
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
	// nearlyEqual is the factor over the lowest cost up to which servers count as equal.
	nearlyEqual = 1.1
	// nearlyEqualTime is the difference in cost up to which servers always count as equal.
	nearlyEqualTime = 200 * time.Microsecond
)

// pick draws two of the nearly equal candidates at random and chooses the cheaper one ("power of
// two choices"). There must be at least one candidate.
func (r *Router) pick(all []candidate) Choice {
	least := all[0].cost.total()
	for _, c := range all[1:] {
		least = min(least, c.cost.total())
	}
	if r.inTurn {
		return r.pickInTurn(all)
	}
	limit := max(time.Duration(float64(least)*nearlyEqual), least+nearlyEqualTime)
	var near []int
	for i, c := range all {
		if c.cost.total() <= limit {
			near = append(near, i)
		}
	}
	chosen := near[r.random.IntN(len(near))]
	other := near[r.random.IntN(len(near))]
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
	c.Reason = all[chosen].cost.why(all[second].cost)
	return c
}

// pickInTurn chooses the candidates in round-robin order.
func (r *Router) pickInTurn(all []candidate) Choice {
	first := all[0].server.Name
	r.turns[first]++
	c := all[r.turns[first]%len(all)]
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
