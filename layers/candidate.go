package layers

import "math"

// candidate is a range that a server could hold instead of its present one.
type candidate struct {
	server   int
	from, to int
	// gain is the reduction of the shortages, and score is gain divided by the cost of the move.
	gain, score float64
	// loads is the number of layers that the server has to load.
	loads int
}

// kindOfMove identifies servers for which the same moves are possible.
type kindOfMove struct {
	accelerator string
	from, to    int
	use         int
}

// evaluation finds the best range of one server.
type evaluation struct {
	*supply
	need, floor float64
	mayLoad     bool
	server      int
	// base is the room of each layer without the server and empty its shortage then. relief is the reduction of that
	// shortage by the server with a given number of layers. isLower is 1 for layers whose room would fall below floor.
	base, empty, relief []float64
	isLower             []int
	// own is the number of drafts that the server now has memory for.
	own  float64
	best candidate
	// collects makes slide add the best range of each length to all, also if it increases the shortages.
	collects bool
	all      []candidate
}

// bestMove returns the move that reduces the shortages most for its cost. A move without loads takes place in the
// memory of a server and is possible while other servers load.
func (s *supply) bestMove(need float64, mayMove func(*Server) bool, mayLoad bool) (candidate, bool) {
	v := s.evaluate(need, floorShare, mayMove, mayLoad, false)
	return v.best, v.best.score > 0
}

// evaluate evaluates all moves of the servers for which mayMove returns true. No layer may fall below the given share
// of the present room.
func (s *supply) evaluate(need, share float64, mayMove func(*Server) bool, mayLoad, collects bool) *evaluation {
	v := &evaluation{
		supply: s, need: need, floor: share * min(need, s.total().Drafts), mayLoad: mayLoad, collects: collects,
		base: make([]float64, s.engine.Layers), empty: make([]float64, s.engine.Layers),
		relief: make([]float64, s.engine.Layers), isLower: make([]int, s.engine.Layers),
	}
	seen := make(map[kindOfMove]bool)
	least := minGain * s.shortages(need)
	for i := range s.group {
		server := &s.group[i]
		kind := kindOfMove{server.Accelerator, server.From, server.To, server.use()}
		if !server.isSure() || seen[kind] || !mayMove(server) {
			continue
		}
		seen[kind] = true
		v.evaluateServer(i, least)
	}
	return v
}

const (
	// floorShare is the share of the present room below which a move may leave no layer, not even while it takes
	// place.
	floorShare = 0.9
	// minGain is the share of the shortages that a move must remove.
	minGain = 0.0002
	// draftsPerUse is the number of drafts for each unit of Server.use.
	draftsPerUse = 25
	maxUse       = 4
	// Each of these adds to the cost of a move, which is 1 otherwise: a load, a layer left with one holder, and each
	// unit of Server.use.
	loadCost    = 1.0
	exposedCost = 1.0
	useCost     = 0.25
)

// use returns how much a server is in use, from 0 to maxUse. Drafts that pass through the layers that it gives up delay
// a move, and gateways go on to send it some until they hear of the move.
func (s *Server) use() int { return min(maxUse, s.Drafts/draftsPerUse) }

func (v *evaluation) evaluateServer(i int, least float64) {
	server := &v.group[i]
	v.server = i
	v.own = draftsOn(v.engine, server.Accelerator, server.To-server.From)
	loss := 0.0
	for l := range v.base {
		v.base[l] = v.room[l]
		if l >= server.From && l < server.To {
			v.base[l] -= v.own
		}
		v.empty[l] = shortage(v.base[l], v.need)
		loss += v.empty[l] - shortage(v.room[l], v.need)
	}
	keepFrom, keepTo := v.bound(server, v.floor)
	longest := maxHeld(v.engine, server.Accelerator)
	if !v.mayLoad {
		longest = min(longest, server.To-server.From)
	}
	for n := max(1, keepTo-keepFrom); n <= longest; n++ {
		v.slide(n, keepFrom, keepTo, loss, least)
	}
}

// slide evaluates all ranges of n layers.
func (v *evaluation) slide(n, keepFrom, keepTo int, loss, least float64) {
	server := &v.group[v.server]
	drafts := draftsOn(v.engine, server.Accelerator, n)
	for l := range v.base {
		v.relief[l] = v.empty[l] - shortage(v.base[l]+drafts, v.need)
		v.isLower[l] = 0
		if after := v.base[l] + drafts; after < v.floor && after < v.room[l] {
			v.isLower[l] = 1
		}
	}
	first, last := max(0, keepTo-n), min(keepFrom, v.engine.Layers-n)
	if !v.mayLoad {
		first, last = max(first, server.From), min(last, server.To-n)
	}
	sum, lower := 0.0, 0
	ofLength := candidate{server: v.server, gain: math.Inf(-1)}
	for l := first; l < first+n && first <= last; l++ {
		sum += v.relief[l]
		lower += v.isLower[l]
	}
	for from := first; from <= last; from++ {
		isPresent := from == server.From && n == server.To-server.From
		if gain := sum - loss + v.slotRelief(from); lower == 0 && !isPresent {
			v.consider(from, n, gain, least)
			if gain > ofLength.gain {
				ofLength.from, ofLength.to, ofLength.gain = from, from+n, gain
			}
		}
		if from < last {
			sum += v.relief[from+n] - v.relief[from]
			lower += v.isLower[from+n] - v.isLower[from]
		}
	}
	if v.collects && ofLength.to > 0 {
		v.all = append(v.all, ofLength)
	}
}

// slotRelief returns the reduction of the shortage of slots if the server holds layers from the given one.
func (v *evaluation) slotRelief(from int) float64 {
	server := &v.group[v.server]
	isHead := !server.isEmpty() && server.From == 0
	if isHead == (from == 0) {
		return 0
	}
	change := 1
	if isHead {
		change = -1
	}
	return v.slotWeight * (shortage(v.slots(v.heads), v.need) - shortage(v.slots(v.heads+change), v.need))
}

func (v *evaluation) consider(from, n int, gain, least float64) {
	server := &v.group[v.server]
	if gain < least || gain <= 0 {
		return
	}
	c := candidate{server: v.server, from: from, to: from + n, gain: gain, loads: loadsOf(server, from, from+n)}
	cost := 1.0
	if c.loads > 0 {
		cost += loadCost
	}
	cost += useCost * float64(server.use())
	if c.score = gain / cost; c.score <= v.best.score {
		return
	}
	if v.exposes(server, from, from+n) {
		c.score = gain / (cost + exposedCost)
	}
	if c.score > v.best.score {
		v.best = c
	}
}

// loadsOf returns how many layers a server has to load to hold a range.
func loadsOf(server *Server, from, to int) int {
	return to - from - max(0, min(to, server.To)-max(from, server.From))
}

// exposes reports whether a layer that the server gives up is left with one holder.
func (v *evaluation) exposes(server *Server, from, to int) bool {
	for l := server.From; l < min(v.engine.Layers, server.To); l++ {
		if (l < from || l >= to) && v.holders[l] <= 2 {
			return true
		}
	}
	return false
}
