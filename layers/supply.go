package layers

import (
	"math"
	"slices"

	"github.com/balsamlb/balsamlb/routing"
)

// supply is the room of one data centre layer by layer, from what its servers hold or are ordered to hold.
type supply struct {
	engine *routing.Engine
	group  []Server
	// room is the number of drafts of mean length that the holders of a layer have memory for. sure counts
	// only holders that carry out no order for certain, and holders is the number of these.
	room, sure []float64
	holders    []int
	// fastest and second are the two lowest step factors among the counted holders, and fast is the number of
	// holders with the lowest.
	fastest, second []float64
	fast            []int
	// heads is the number of servers that hold the first layer.
	heads int
	// slotWeight is the weight of a shortage of slots against that of memory at one layer.
	slotWeight float64
}

// isSure reports whether the server holds its layers until it receives another order.
func (s *Server) isSure() bool { return !s.IsBusy && !s.IsDoubtful }

// busyServers returns the number of servers that carry out an order.
func (s *supply) busyServers() int {
	n := 0
	for i := range s.group {
		if s.group[i].IsBusy {
			n++
		}
	}
	return n
}

func newSupply(e *routing.Engine, group []Server) *supply {
	s := &supply{
		engine: e, group: group, slotWeight: usualSlotWeight, room: make([]float64, e.Layers), sure: make([]float64, e.Layers),
		holders: make([]int, e.Layers), fastest: make([]float64, e.Layers), second: make([]float64, e.Layers), fast: make([]int, e.Layers),
	}
	for i := range group {
		s.add(&group[i])
	}
	return s
}

func (s *supply) add(server *Server) {
	drafts := draftsOn(s.engine, server.Accelerator, server.To-server.From)
	factor := s.engine.Accelerators[server.Accelerator].StepFactor
	if !server.isEmpty() && server.From == 0 {
		s.heads++
	}
	for l := max(0, server.From); l < min(s.engine.Layers, server.To); l++ {
		s.room[l] += drafts
		if !server.isSure() {
			continue
		}
		s.sure[l] += drafts
		s.addPace(l, factor)
		s.holders[l]++
	}
}

// addPace records the step factor of a holder.
func (s *supply) addPace(layer int, factor float64) {
	switch {
	case s.fast[layer] == 0:
		s.fastest[layer], s.second[layer], s.fast[layer] = factor, math.Inf(1), 1
	case factor < s.fastest[layer]:
		s.fastest[layer], s.second[layer], s.fast[layer] = factor, s.fastest[layer], 1
	case factor == s.fastest[layer]:
		s.fast[layer]++
	default:
		s.second[layer] = min(s.second[layer], factor)
	}
}

// draftsOn returns the number of drafts of mean length that a server with the given number of layers has
// memory for, at most as many as it generates tokens for at an acceptable rate.
func draftsOn(e *routing.Engine, accelerator string, layers int) float64 {
	if layers <= 0 {
		return 0
	}
	capacity := admissionLimit * Capacity(e, &Holder{Accelerator: accelerator, To: layers})
	return min(maxDrafts, max(0, capacity)/(meanTokens(e)*float64(layers)))
}

// slots returns the number of drafts that the given number of first servers accept.
func (s *supply) slots(heads int) float64 {
	if s.engine.Slots <= 0 {
		return unlimitedDrafts
	}
	return float64(s.engine.Slots * heads)
}

// total returns the room of the data centre, and what limits it at which layer.
func (s *supply) total() Room {
	r := Room{Drafts: s.slots(s.heads), Limit: LimitSlots}
	for l, drafts := range s.room {
		if drafts <= 0 {
			return Room{Limit: LimitNoCopy, Layer: l}
		}
		if drafts < r.Drafts {
			r = Room{Drafts: drafts, Limit: LimitMemory, Layer: l}
		}
	}
	r.Free = r.Drafts
	return r
}

// with returns the room after a server has moved to the given range.
func (s *supply) with(i, from, to int) Room {
	group := slices.Clone(s.group)
	group[i].From, group[i].To = from, to
	return newSupply(s.engine, group).total()
}

// mayGiveUp reports whether a server can stop holding a layer: other holders that carry out no order remain, and they
// have room for floor drafts.
func (s *supply) mayGiveUp(server *Server, layer int, floor float64) bool {
	if s.holders[layer] < 2 {
		return false
	}
	own := draftsOn(s.engine, server.Accelerator, server.To-server.From)
	return s.sure[layer]-own >= floor && s.slowdown(server, layer) <= maxSlowdown
}

// maxSlowdown is how many times slower than a server the other holders of a layer may be for the server to give the
// layer up. Drafts that take longer occupy memory longer, which uses up the room that the move brings.
const maxSlowdown = 2.5

// slowdown returns how many times slower than a server the fastest other holder of a layer is.
func (s *supply) slowdown(server *Server, layer int) float64 {
	own, others := s.engine.Accelerators[server.Accelerator].StepFactor, s.fastest[layer]
	if own == others && s.fast[layer] == 1 {
		others = s.second[layer]
	}
	return max(1, others/own)
}

// bound returns the layers that a server must keep; to is 0 if there are none.
func (s *supply) bound(server *Server, floor float64) (from, to int) {
	from = s.engine.Layers
	for l := server.From; l < min(s.engine.Layers, server.To); l++ {
		if !s.mayGiveUp(server, l, floor) {
			from, to = min(from, l), l+1
		}
	}
	return from, to
}

// shortage weighs how far a room is below the drafts that are needed. It grows so steeply that the smallest room
// outweighs the others.
func shortage(room, need float64) float64 {
	if room >= need {
		return 0
	}
	ratio := need / max(room, 1)
	return ratio*ratio*ratio*ratio - 1
}

// shortages returns the sum of the shortages of all layers and of the first servers' slots.
func (s *supply) shortages(need float64) float64 {
	sum := s.slotWeight * shortage(s.slots(s.heads), need)
	for _, room := range s.room {
		sum += shortage(room, need)
	}
	return sum
}

// usualSlotWeight is the weight of a shortage of slots. A shortage of memory usually concerns several layers.
const usualSlotWeight = 4

// maxHeld returns how many layers fit into the memory of a server beside at least one draft.
func maxHeld(e *routing.Engine, accelerator string) int {
	n := int(math.Min(float64(e.Layers), e.Accelerators[accelerator].MemoryMB/e.LayerMB))
	for n > 0 && draftsOn(e, accelerator, n) < 1 {
		n--
	}
	return n
}

// losesHolder reports whether a layer would be left without a holder that carries out no order if the server held
// the given range instead.
func (s *supply) losesHolder(server *Server, from, to int) bool {
	for l := server.From; l < min(s.engine.Layers, server.To); l++ {
		if (l < from || l >= to) && s.holders[l] < 2 {
			return true
		}
	}
	return false
}
