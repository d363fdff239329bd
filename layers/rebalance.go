package layers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/routing"
)

const (
	// tightTime is how long demand must exceed the room before servers move.
	tightTime = time.Second
	// restTime is how long a moved server keeps its range.
	restTime = 3 * time.Second
	// calmTime is how long demand must stay below calmShare of the room before moved servers return.
	calmTime  = 3 * time.Minute
	calmShare = 0.7
	// movingPart divides the servers of a data centre into the largest number that may carry out orders when another
	// one is moved. Gateways go on to send drafts to layers that are being given up until they hear of it.
	movingPart = 4
	// searchPause is the time between two searches for a move for each server of the data centre. A search takes
	// about a hundredth of it.
	searchPause = time.Millisecond
	// pairInterval is the time until the next search after one for two moves that belong together, which takes
	// several times as long as a search for one.
	pairInterval = time.Second
)

// Move is a placement that is due to demand.
type Move struct {
	Placement
	DataCentre string
	// Need is the room that the data centre needs, in drafts of mean length. Before and After are its room without
	// and with the move, once all orders are carried out.
	Need          float64
	Before, After Room
	// Loads is the number of layers that the server has to load.
	Loads int
	// IsReturn means that the server returns to the range that it held before demand rose.
	IsReturn bool
}

// CentreState is the room of a data centre beside the demand of its callers.
type CentreState struct {
	DataCentre string
	// Demand is in drafts now, Need the room in drafts for it and its recent peak.
	Demand, Need float64
	// Room is the room once all orders are carried out.
	Room Room
}

// Decision is the result of Rebalancer.Plan.
type Decision struct {
	// Placements are the orders to send, those of Moves among them.
	Placements []Placement
	Moves      []Move
	// Centres is sorted by data centre.
	Centres []CentreState
}

// Rebalancer plans the layers of one service by the demand of each data centre. Its state consists of recent
// demand and of the servers that it has moved; without it, all servers count as placed as usual. It is not safe for
// concurrent use.
type Rebalancer struct {
	centres map[string]*centre
	moved   map[string]movedServer
}

// centre is the state of a data centre.
type centre struct {
	demand
	// tightSince and calmSince are zero while demand is not above the room, and not below calmShare of it.
	tightSince, calmSince time.Time
	// nextSearch is when the next move is sought at the earliest.
	nextSearch time.Time
	// isRaising means that servers move until the room suffices. prefersHeads means that they add first servers
	// before all else, since slots limited the room after all other moves.
	isRaising, prefersHeads bool
}

// movedServer is a server that was moved because of demand.
type movedServer struct {
	from, to                 int
	previousFrom, previousTo int
	at                       time.Time
}

// NewRebalancer returns a rebalancer without state.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{centres: make(map[string]*centre), moved: make(map[string]movedServer)}
}

// Plan returns the placements of the usual plan and, in each data centre that has too little room for its demand, one
// move or two. demand holds the drafts that the callers of each data centre ask for. As long as the room of a data centre
// suffices and none of its servers was moved, the placements are those of the function Plan.
func (r *Rebalancer) Plan(now time.Time, e *routing.Engine, servers []Server, demand map[string]float64) Decision {
	servers = slices.Clone(servers)
	r.updateMoved(now, servers)
	groups := groupByCentre(servers)
	names := slices.Sorted(maps.Keys(groups))
	r.observe(now, e, groups, names, demand)
	var d Decision
	d.Placements = planFor(e, servers, r.needs(now, e))
	apply(groups, d.Placements)
	loads := newLoadBudget(e, groups)
	for _, name := range names {
		c, group := r.centres[name], groups[name]
		s := newSupply(e, group)
		room, need := s.total(), c.needSoon(e, now)
		d.Centres = append(d.Centres, CentreState{DataCentre: name, Demand: c.now, Need: need, Room: room})
		if room.Limit == LimitNoCopy {
			continue // the usual plan closes the gap first
		}
		c.update(now, e, room.Drafts)
		for _, m := range r.movesOf(now, c, s, need, loads.left(name)) {
			m.DataCentre, m.Need, m.Before = name, need, room
			d.Moves = append(d.Moves, m)
			d.Placements = append(d.Placements, m.Placement)
			loads.add(name, m.Loads)
		}
	}
	return d
}

// observe records the demand. The demand of a data centre without a whole copy is shared by the others, which serve
// its callers.
func (r *Rebalancer) observe(now time.Time, e *routing.Engine, groups map[string][]Server, names []string, demand map[string]float64) {
	whole, homeless := 0, 0.0
	isWhole := make(map[string]bool)
	for _, name := range names {
		if newSupply(e, groups[name]).total().Limit != LimitNoCopy {
			isWhole[name] = true
			whole++
		}
	}
	for name, drafts := range demand {
		if !isWhole[name] {
			homeless += drafts
		}
	}
	for _, name := range names {
		c := r.centres[name]
		if c == nil {
			c = &centre{}
			r.centres[name] = c
		}
		drafts := demand[name]
		if isWhole[name] {
			drafts += homeless / float64(whole)
		}
		c.observe(now, drafts)
	}
}

// update decides whether servers move, and since when demand is low.
func (c *centre) update(now time.Time, e *routing.Engine, room float64) {
	if c.needNow(e, now) <= room {
		c.tightSince = time.Time{}
	} else if c.tightSince.IsZero() {
		c.tightSince = now
	}
	if c.needSoon(e, now) <= room {
		c.isRaising, c.prefersHeads = false, false
	} else if !c.tightSince.IsZero() && now.Sub(c.tightSince) >= tightTime {
		c.isRaising = true
	}
	if c.now > calmShare*room {
		c.calmSince = time.Time{}
	} else if c.calmSince.IsZero() {
		c.calmSince = now
	}
}

// movesOf returns the next move of a data centre, or two that belong together. At most the given number of servers may
// load layers.
func (r *Rebalancer) movesOf(now time.Time, c *centre, s *supply, need float64, loads int) []Move {
	if s.busyServers() > len(s.group)/movingPart {
		return nil
	}
	if c.isRaising {
		return r.raise(now, c, s, need, loads)
	}
	if c.calmSince.IsZero() || now.Sub(c.calmSince) < calmTime || loads == 0 {
		return nil
	}
	return r.returnOne(now, s, need)
}

// raise returns moves that raise the room.
func (r *Rebalancer) raise(now time.Time, c *centre, s *supply, need float64, loads int) []Move {
	if now.Before(c.nextSearch) {
		return nil
	}
	c.nextSearch = now.Add(time.Duration(len(s.group)) * searchPause)
	mayMove := func(server *Server) bool { return r.hasRested(now, server.ID) }
	if c.prefersHeads {
		s = s.prefersHeads()
	}
	if best, ok := s.bestMove(need, mayMove, loads > 0); ok {
		return []Move{r.moveTo(now, s, best)}
	}
	if loads > 0 && s.total().Limit == LimitSlots {
		c.prefersHeads = true
	}
	if s.busyServers() > 0 {
		return nil
	}
	c.nextSearch = now.Add(pairInterval)
	var moves []Move
	pair, _ := s.bestPair(need, mayMove, loads)
	for _, next := range pair {
		moves = append(moves, r.moveTo(now, s, next))
		s = s.after(next)
	}
	return moves
}

// returnOne returns the first moved server to its previous range if the room then still suffices.
func (r *Rebalancer) returnOne(now time.Time, s *supply, need float64) []Move {
	for i := range s.group {
		server := &s.group[i]
		m, ok := r.moved[server.ID]
		if !ok || !server.isSure() || !r.hasRested(now, server.ID) {
			continue
		}
		if s.losesHolder(server, m.previousFrom, m.previousTo) || calmShare*s.with(i, m.previousFrom, m.previousTo).Drafts < need {
			continue
		}
		move := r.moveTo(now, s, candidate{server: i, from: m.previousFrom, to: m.previousTo})
		move.IsReturn = true
		delete(r.moved, server.ID)
		return []Move{move}
	}
	return nil
}

// moveTo records a move and returns it.
func (r *Rebalancer) moveTo(now time.Time, s *supply, c candidate) Move {
	server := &s.group[c.server]
	m, ok := r.moved[server.ID]
	if !ok {
		m.previousFrom, m.previousTo = server.From, server.To
	}
	m.from, m.to, m.at = c.from, c.to, now
	r.moved[server.ID] = m
	return Move{
		Placement: Placement{Server: server.ID, From: c.from, To: c.to},
		After:     s.with(c.server, c.from, c.to), Loads: loadsOf(server, c.from, c.to),
	}
}

func (r *Rebalancer) hasRested(now time.Time, id string) bool {
	m, ok := r.moved[id]
	return !ok || now.Sub(m.at) >= restTime
}

// updateMoved forgets moved servers that hold other layers by now, since their order failed or a later one was
// given, and those that have been gone for a while. It marks the others.
func (r *Rebalancer) updateMoved(now time.Time, servers []Server) {
	present := make(map[string]bool, len(r.moved))
	for i := range servers {
		s := &servers[i]
		m, ok := r.moved[s.ID]
		if !ok {
			continue
		}
		present[s.ID] = true
		if s.From == m.from && s.To == m.to {
			s.IsMoved = true
		} else if !s.IsBusy && now.Sub(m.at) > restTime {
			// It was not carried out. Until then another server is tried.
			delete(r.moved, s.ID)
		}
	}
	maps.DeleteFunc(r.moved, func(id string, m movedServer) bool { return !present[id] && now.Sub(m.at) > calmTime })
}

// needs returns the room that each data centre needs.
func (r *Rebalancer) needs(now time.Time, e *routing.Engine) map[string]float64 {
	out := make(map[string]float64, len(r.centres))
	for name, c := range r.centres {
		out[name] = c.needSoon(e, now)
	}
	return out
}

// groupByCentre returns the servers of each data centre, sorted by ID.
func groupByCentre(servers []Server) map[string][]Server {
	groups := make(map[string][]Server)
	for _, s := range servers {
		groups[s.DataCentre] = append(groups[s.DataCentre], s)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return groups
}

// apply sets the layers of servers that are about to be ordered.
func apply(groups map[string][]Server, placements []Placement) {
	byServer := make(map[string]Placement, len(placements))
	for _, p := range placements {
		byServer[p.Server] = p
	}
	for _, group := range groups {
		for i := range group {
			if p, ok := byServer[group[i].ID]; ok {
				s := &group[i]
				s.From, s.To, s.IsBusy, s.IsLoading = p.From, p.To, true, true
			}
		}
	}
}
