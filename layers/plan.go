package layers

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/balsamlb/balsamlb/routing"
)

const (
	// maxDrafts is the maximum number of drafts that a chain is sized for; with more, every
	// known accelerator generates tokens too slowly.
	maxDrafts = 400
	// minRateGain is the factor by which each additional server must raise the token rate of a
	// chain. An additional server also makes the chain more likely to break, because the loss of any
	// server breaks it.
	minRateGain = 1.03
	// standbyDrafts is the number of drafts that a second holder is sized for. A second holder
	// takes over drafts only after the loss of another server.
	standbyDrafts = 80
)

// Server is a backend server that can hold layers.
type Server struct {
	ID          string
	DataCentre  string
	Accelerator string
	// From and To bound the layers that the server holds or, under an order, is loading.
	From, To int
	// IsBusy means that the server is carrying out an order, and IsLoading that it loads layers under it.
	IsBusy    bool
	IsLoading bool
	// IsDoubtful means that the server may still carry out an order that it has not answered. The usual plan takes
	// no account of it.
	IsDoubtful bool
	// Drafts is the number of drafts that pass through the server.
	Drafts int
	// IsMoved means that the server holds its range because of demand, so that it must not be extended.
	IsMoved bool
}

func (s *Server) isEmpty() bool { return s.To <= s.From }

// Placement is the range of layers that a server should hold.
type Placement struct {
	Server string
	From   int
	To     int
}

// Plan returns the placements that differ from what the servers hold now. It places one copy of
// the model in each data centre, then a second holder for as many layers as possible.
func Plan(e *routing.Engine, servers []Server) []Placement { return planFor(e, servers, nil) }

// planFor is Plan for data centres that need room for a number of drafts. Where an empty server or one that grows
// leaves too little room, the need decides over its range.
func planFor(e *routing.Engine, servers []Server, needs map[string]float64) []Placement {
	byCentre := make(map[string][]Server)
	var centres []string
	for _, s := range servers {
		if _, ok := byCentre[s.DataCentre]; !ok {
			centres = append(centres, s.DataCentre)
		}
		byCentre[s.DataCentre] = append(byCentre[s.DataCentre], s)
	}
	slices.Sort(centres)
	var out []Placement
	for _, c := range centres {
		group := byCentre[c]
		slices.SortFunc(group, func(a, b Server) int {
			return cmp.Or(cmp.Compare(e.Accelerators[a.Accelerator].StepFactor, e.Accelerators[b.Accelerator].StepFactor), cmp.Compare(a.ID, b.ID))
		})
		main := bestChain(e, group)
		if !slices.ContainsFunc(group, func(s Server) bool { return !s.isEmpty() }) {
			out = append(out, initialPlan(e, group, main)...)
			continue
		}
		out = append(out, repair(e, group, main, needs[c])...)
	}
	return out
}

// chain is the main copy of the model in a data centre. It consists of the fastest servers of the
// data centre; servers is their number, and drafts is the number of drafts that they are sized for.
type chain struct {
	servers int
	drafts  int
	// slowestStepFactor is the step factor of the slowest accelerator in the chain.
	slowestStepFactor float64
}

// bestChain returns the chain of the fastest servers with the highest token rate. The slower
// servers remain for a second copy.
func bestChain(e *routing.Engine, group []Server) chain {
	var c chain
	best := 0.0
	for n := 1; n <= min(len(group), maxParts); n++ {
		drafts := draftCapacity(e, group[:n])
		if rate := tokenRate(e, group[:n], drafts); drafts > 0 && rate > best*minRateGain {
			c, best = chain{servers: n, drafts: drafts, slowestStepFactor: e.Accelerators[group[n-1].Accelerator].StepFactor}, rate
		}
	}
	return c
}

// draftsFor returns the number of drafts that a server is sized for. A server that is at least as
// fast as the slowest server of the main chain is sized like the chain, because it replaces a
// server of the chain and would otherwise limit the whole chain.
func (c chain) draftsFor(e *routing.Engine, s *Server) int {
	if c.servers > 0 && e.Accelerators[s.Accelerator].StepFactor <= c.slowestStepFactor {
		return c.drafts
	}
	return standbyDrafts
}

// maxLayers returns how many layers a server can hold while it keeps memory for the given number
// of drafts of mean length.
func maxLayers(e *routing.Engine, s *Server, drafts int) int {
	draftMB := (e.MeanPromptTokens + e.MeanAnswerTokens) * e.TokenBytes / float64(e.Layers) / bytesPerMB
	return int(e.Accelerators[s.Accelerator].MemoryMB / (e.LayerMB + float64(drafts)*draftMB))
}

// initialPlan places the main chain in an empty data centre, then the remaining servers.
func initialPlan(e *routing.Engine, group []Server, main chain) []Placement {
	if main.servers == 0 {
		return nil
	}
	var out []Placement
	next := 0
	for i := range group[:main.servers] {
		n := min(maxLayers(e, &group[i], main.drafts), e.Layers-next)
		if n <= 0 {
			continue
		}
		out = append(out, Placement{Server: group[i].ID, From: next, To: next + n})
		group[i].From, group[i].To = next, next+n
		next += n
	}
	return append(out, repair(e, group, main, 0)...)
}

// draftCapacity returns the number of drafts of mean length that a chain of all servers in the
// group can hold, or 0 if the servers can't hold all layers.
func draftCapacity(e *routing.Engine, group []Server) int {
	return sort.Search(maxDrafts, func(drafts int) bool { return totalLayers(e, group, drafts+1) < e.Layers })
}

// tokenRate returns how many tokens a full chain generates per millisecond: the number of its
// drafts divided by the time of one token.
func tokenRate(e *routing.Engine, group []Server, drafts int) float64 {
	stepFactor := 0.0
	left := e.Layers
	for i := range group {
		n := min(left, maxLayers(e, &group[i], drafts))
		stepFactor += e.Accelerators[group[i].Accelerator].StepFactor * float64(n) / float64(e.Layers)
		left -= n
	}
	perDraft := e.StepPerRequestMS + e.StepPerThousandMS*(e.MeanPromptTokens+e.MeanAnswerTokens/2)/1000
	step := stepFactor*(e.StepMS+perDraft*float64(drafts)) + hopMS*float64(len(group))
	if step <= 0 {
		return 0
	}
	return float64(drafts) / step
}

func totalLayers(e *routing.Engine, group []Server, drafts int) int {
	sum, each := 0, 0
	for i := range group {
		if i == 0 || group[i].Accelerator != group[i-1].Accelerator {
			each = maxLayers(e, &group[i], drafts)
		}
		sum += each
	}
	return sum
}

// repair closes gaps with servers that are empty or whose layers have other holders, then gives
// each remaining empty server the range of layers that benefits most.
func repair(e *routing.Engine, group []Server, main chain, need float64) []Placement {
	var out []Placement
	for {
		from, to, ok := firstGap(e, group)
		if !ok {
			break
		}
		i := bestForGap(e, group, main, to-from)
		if i < 0 {
			break
		}
		out = place(out, &group[i], from, min(to, from+max(1, maxLayers(e, &group[i], main.draftsFor(e, &group[i])))))
	}
	for i := range group {
		if !group[i].isEmpty() || group[i].IsBusy {
			continue
		}
		n := min(maxLayers(e, &group[i], main.draftsFor(e, &group[i])), e.Layers)
		if n <= 0 {
			continue
		}
		from, _ := bestRange(e, group, i, n)
		to := from + n
		if c, ok := rangeForNeed(e, group, main, i, need); ok {
			from, to = c.from, c.to
		}
		out = place(out, &group[i], from, to)
	}
	for i := range group {
		out = grow(e, group, main, i, out, need)
	}
	return out
}

// growthThreshold limits grow to servers that can hold more than growthThreshold times the layers
// that they hold now: such a server was ordered to close a small gap. The loss of another server can
// change the best chain, and with it the number of layers that a server can hold; such a change must
// not trigger grow.
const growthThreshold = 2

// grow extends the range of a server that closed a small gap, if it is faster than the present
// holders of the added layers. The server keeps the layers that it holds.
// It doesn't grow if it was moved because of demand, or if the room would then be less than is needed.
func grow(e *routing.Engine, group []Server, main chain, i int, out []Placement, need float64) []Placement {
	s := &group[i]
	n := min(maxLayers(e, s, main.draftsFor(e, s)), e.Layers)
	isOrdered := slices.ContainsFunc(out, func(p Placement) bool { return p.Server == s.ID })
	if s.IsBusy || s.IsMoved || s.isEmpty() || isOrdered || n <= growthThreshold*(s.To-s.From) {
		return out
	}
	if from, gain := bestRange(e, group, i, n); gain > 0 && !lacksRoom(e, group, i, from, from+n, need) {
		return place(out, s, from, from+n)
	}
	return out
}

// place sets the placement of a server and replaces an earlier one.
func place(out []Placement, s *Server, from, to int) []Placement {
	s.From, s.To = from, to
	out = slices.DeleteFunc(out, func(p Placement) bool { return p.Server == s.ID })
	return append(out, Placement{Server: s.ID, From: from, To: to})
}

// firstGap returns the first range of layers without a holder.
func firstGap(e *routing.Engine, group []Server) (from, to int, ok bool) {
	held := holderCounts(e, group, -1)
	for from < e.Layers && held[from] > 0 {
		from++
	}
	to = from
	for to < e.Layers && held[to] == 0 {
		to++
	}
	return from, to, from < e.Layers
}

// holderCounts returns the number of holders of each layer, not counting the server at the index
// excluded.
func holderCounts(e *routing.Engine, group []Server, excluded int) []int {
	held := make([]int, e.Layers)
	for i := range group {
		if i == excluded {
			continue
		}
		for l := max(0, group[i].From); l < min(e.Layers, group[i].To); l++ {
			held[l]++
		}
	}
	return held
}

// emptyBonus makes every empty server rank before servers that would give up layers.
const emptyBonus = 1000

// bestForGap returns the index of the server that closes most of a gap and gives up the fewest
// layers. It prefers empty servers, then considers servers whose layers have other holders. It
// returns -1 if there is no such server.
func bestForGap(e *routing.Engine, group []Server, main chain, gapLength int) int {
	best, bestScore := -1, 0
	for i := range group {
		s := &group[i]
		if s.IsBusy {
			continue
		}
		score := 2*min(gapLength, maxLayers(e, s, main.draftsFor(e, s))) - (s.To - s.From)
		if s.isEmpty() {
			score += emptyBonus
		} else if !isRedundant(e, group, i) {
			continue
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// isRedundant reports whether all layers of a server have other holders too.
func isRedundant(e *routing.Engine, group []Server, i int) bool {
	held := holderCounts(e, group, i)
	for l := group[i].From; l < min(e.Layers, group[i].To); l++ {
		if held[l] == 0 {
			return false
		}
	}
	return true
}

// bestRange returns the start of the range of n layers where a server helps most: where it is
// faster than the present holders, else where capacity is lowest. The range contains the layers
// that the server already holds. The gain is the reduction of the step factor, summed over the
// layers.
func bestRange(e *routing.Engine, group []Server, server, n int) (best int, bestGain float64) {
	s := &group[server]
	stepFactor := e.Accelerators[s.Accelerator].StepFactor
	fastest, capacity := layerState(e, group)
	lowestCapacity := math.Inf(1)
	first, last := 0, e.Layers-n
	if !s.isEmpty() {
		first, last = max(0, s.To-n), min(s.From, e.Layers-n)
	}
	best = first
	for from := first; from <= last; from++ {
		gain, sum := 0.0, 0.0
		for l := from; l < from+n; l++ {
			gain += max(0, fastest[l]-stepFactor)
			sum += capacity[l]
		}
		if gain > bestGain || gain == bestGain && sum < lowestCapacity {
			best, bestGain, lowestCapacity = from, gain, sum
		}
	}
	return best, bestGain
}

// layerState returns for each layer the step factor of its fastest holder and the total capacity
// of its holders.
func layerState(e *routing.Engine, group []Server) (fastest, capacity []float64) {
	fastest = make([]float64, e.Layers)
	capacity = make([]float64, e.Layers)
	for i := range group {
		s := &group[i]
		if s.isEmpty() {
			continue
		}
		perLayer := Capacity(e, &Holder{Accelerator: s.Accelerator, From: s.From, To: s.To}) / float64(s.To-s.From)
		stepFactor := e.Accelerators[s.Accelerator].StepFactor
		for l := max(0, s.From); l < min(e.Layers, s.To); l++ {
			capacity[l] += perLayer
			if fastest[l] == 0 || stepFactor < fastest[l] {
				fastest[l] = stepFactor
			}
		}
	}
	return fastest, capacity
}
