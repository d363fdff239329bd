// Package layers plans which backend servers hold which layers of a model, and finds the path
// of servers that each draft passes through.
package layers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/routing"
)

// maxParts is the maximum number of servers in a path.
const maxParts = 32

// Holder is a backend server that holds a range of layers.
type Holder struct {
	ID          string
	Address     string
	DataCentre  string
	Accelerator string
	// From and To bound the range of layers that the server holds; To is exclusive.
	From, To int
	// Used is the predicted memory of the drafts that pass through the server, in tokens times
	// layers.
	Used float64
	// Drafts is the number of drafts that pass through the server. Heads is the number of drafts
	// whose path starts at the server.
	Drafts int
	Heads  int
	// Unaccounted is memory in the unit of Used, and UnaccountedHeads are slots, that are taken by drafts
	// that no instance counts.
	Unaccounted      float64
	UnaccountedHeads int
	// Rereading is the tokens times layers that moved drafts read again on the server now, before other
	// drafts go on there.
	Rereading float64
}

// Part is the section of a path that runs on one server. It covers the layers from From up to, but
// not including, To.
type Part struct {
	ID         string
	Address    string
	DataCentre string
	From       int
	To         int
}

// Path is a sequence of parts that covers every layer exactly once, in order.
type Path []Part

// Contains reports whether the path passes through the server.
func (p Path) Contains(id string) bool {
	return slices.ContainsFunc(p, func(part Part) bool { return part.ID == id })
}

// Draft describes the size of a request before it runs.
type Draft struct {
	PromptTokens float64
	AnswerTokens float64
}

// tokens returns the memory, in tokens, that the draft uses when its answer is complete.
func (d Draft) tokens() float64 { return d.PromptTokens + d.AnswerTokens }

// admissionTokens returns the memory, in tokens, that must be free for the draft.
func (d Draft) admissionTokens() float64 { return d.PromptTokens + answerReserve*d.AnswerTokens }

// Capacity returns the memory of a holder that its layers leave for drafts, in tokens times layers.
func Capacity(e *routing.Engine, h *Holder) float64 {
	a, ok := e.Accelerators[h.Accelerator]
	if !ok || e.TokenBytes <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(h.To-h.From)*e.LayerMB
	return free * bytesPerMB / (e.TokenBytes / float64(e.Layers))
}

const (
	bytesPerMB = 1e6
	// crossCentreCostMS is added to the duration of a transfer between data centres. The
	// transfers on a link queue behind each other: drafts that crossed data centres had pauses
	// of 270 ms, other drafts had pauses of 100 ms. With costs of 4,000 and 8,000, more drafts were
	// refused on days with heavy load.
	crossCentreCostMS = 2000.0
	// remoteHeadCostMS is added for a first server outside the caller's data centre, because such a
	// draft is lost when the two data centres are disconnected from each other. Values from 400 to
	// 12,000 were tried.
	remoteHeadCostMS = 2500.0
	// hopMS is the latency that each server of a path adds to a token, besides the time for the
	// layers that the server runs.
	hopMS = 0.05
	// contentionFactor doubles the delay that the other drafts on a server cause to a new draft,
	// because the new draft delays the other drafts by as much.
	contentionFactor = 2.0
	// admissionLimit is the share of a holder's capacity up to which it accepts new drafts; the
	// rest is for the answers of running drafts.
	admissionLimit = 0.95
	// answerReserve is the share of a draft's predicted answer that counts towards the capacity
	// that the draft needs.
	answerReserve = 0.5
)

// Search finds paths through a set of holders. Find and HasWholeCopy may be called concurrently,
// but not together with Update.
type Search struct {
	engine  *routing.Engine
	holders []Holder
	rates   []rate
	bounds  []int
	centres []string
}

// rate is what a search derives once from a holder.
type rate struct {
	capacity float64
	// step and prefill are the factors of the accelerator.
	step, prefill float64
	// centre is the index of the data centre.
	centre int
	hash   uint64
}

// NewSearch returns a search over holders. It sorts holders in place.
func NewSearch(e *routing.Engine, holders []Holder) *Search {
	s := &Search{engine: e, holders: holders}
	slices.SortFunc(s.holders, func(a, b Holder) int { return cmp.Compare(a.ID, b.ID) })
	for i := range s.holders {
		h := &s.holders[i]
		s.bounds = append(s.bounds, h.From, h.To)
		s.centres = append(s.centres, h.DataCentre)
	}
	slices.Sort(s.bounds)
	s.bounds = slices.Compact(s.bounds)
	slices.Sort(s.centres)
	s.centres = slices.Compact(s.centres)
	for i := range s.holders {
		s.rates = append(s.rates, s.rateOf(&s.holders[i]))
	}
	return s
}

func (s *Search) rateOf(h *Holder) rate {
	a := s.engine.Accelerators[h.Accelerator]
	r := rate{capacity: Capacity(s.engine, h), step: a.StepFactor, prefill: a.PrefillFactor, hash: hashString(h.ID)}
	r.centre, _ = slices.BinarySearch(s.centres, h.DataCentre)
	return r
}

// withBound returns a search whose paths may switch servers at the given layer.
func (s *Search) withBound(layer int) *Search {
	i, found := slices.BinarySearch(s.bounds, layer)
	if found {
		return s
	}
	out := *s
	out.bounds = slices.Insert(slices.Clone(s.bounds), i, layer)
	return &out
}

// searchState is the cheapest partial path that ends at a bound, which is a layer at which a path
// may switch servers, and whose last server is in a given data centre.
type searchState struct {
	cost   float64
	holder int
	// previous is the index of the preceding state, -1 at the start.
	previous int
}

// Query holds the parameters of a path search.
type Query struct {
	Draft Draft
	// Home is the data centre of the caller.
	Home string
	// Head is the required first part of the path. If the ID of Head is empty, any first part is
	// allowed.
	Head Part
	// Started means that the draft has already sent events to its caller. Such a draft may use the
	// capacity that is reserved for the answers of running drafts.
	Started bool
	// Avoid reports whether a server must not be used. It must not be nil.
	Avoid func(id string) bool
	// AvoidHead reports whether a server must not be the first one of a path, unless it is Head; nil means
	// that none is avoided.
	AvoidHead func(id string) bool
	// PipeWait returns how long a transfer between two data centres waits for earlier
	// transfers; nil means that transfers never wait.
	PipeWait func(from, to string) time.Duration
	// Running is the path on which the draft runs, if it is to be moved to another one. Parts that stay the
	// same keep their memory.
	Running Path
	// Claim tells of the other instances that choose servers at the same time; nil means that there are none.
	Claim *Claim
}

// option is what a query may do with a holder.
type option struct {
	isUsable, mayStart bool
	// free is the memory for new drafts, in tokens times layers.
	free float64
	// run is the time in milliseconds that the draft spends in all layers with the pace of the holder.
	run float64
}

// options returns what the query may do with each holder.
func (s *Search) options(q *Query) []option {
	out := make([]option, len(s.holders))
	for i := range s.holders {
		h := &s.holders[i]
		if q.Avoid(h.ID) {
			continue
		}
		out[i] = option{
			isUsable: true,
			mayStart: h.From == 0 && s.mayStart(h, q),
			free:     s.freeMemory(i, q),
			run:      s.runTime(i, &q.Draft),
		}
	}
	s.holdBack(out, q)
	return out
}

// mayStart reports whether a path may begin at a holder. A draft that is moved has its slot already.
func (s *Search) mayStart(h *Holder, q *Query) bool {
	if q.Head.ID != "" {
		return h.ID == q.Head.ID
	}
	if s.engine.Slots > 0 && h.Heads+h.UnaccountedHeads >= s.engine.Slots {
		return false
	}
	return q.AvoidHead == nil || !q.AvoidHead(h.ID)
}

// freeMemory returns the memory of a holder for new drafts, in tokens times layers. It is negative if there
// is none.
func (s *Search) freeMemory(holder int, q *Query) float64 {
	capacity := s.rates[holder].capacity
	if !q.Started {
		capacity *= admissionLimit
	}
	if capacity <= 0 {
		return -1
	}
	h := &s.holders[holder]
	return capacity - h.Used - h.Unaccounted
}

// HasWholeCopy reports whether the servers of a single data centre together hold all layers,
// regardless of their free capacity.
func (s *Search) HasWholeCopy(avoid func(id string) bool) bool {
	for _, centre := range s.centres {
		next := 0
		for reached := true; reached && next < s.engine.Layers; {
			reached = false
			for i := range s.holders {
				h := &s.holders[i]
				if h.DataCentre == centre && h.From <= next && h.To > next && !avoid(h.ID) {
					next, reached = h.To, true
				}
			}
		}
		if next >= s.engine.Layers {
			return true
		}
	}
	return false
}

// Find returns the cheapest path and its cost in milliseconds. It returns false if there is no
// path with enough capacity, or if the cheapest path passes through more than maxParts servers.
func (s *Search) Find(q Query) (Path, float64, bool) {
	if q.Head.ID != "" {
		s = s.withBound(q.Head.To)
	}
	n := len(s.bounds)
	if n == 0 || s.bounds[0] != 0 || s.bounds[n-1] < s.engine.Layers {
		return nil, 0, false
	}
	width := len(s.centres)
	best := make([]searchState, n*width)
	for i := range best {
		best[i].cost = math.Inf(1)
	}
	transfers := s.transferCosts(&q)
	options := s.options(&q)
	for at := range n - 1 {
		for i := range s.holders {
			h, o := &s.holders[i], &options[i]
			if h.From > s.bounds[at] || h.To <= s.bounds[at] || !o.isUsable || q.Head.ID != "" && (at == 0) != (h.ID == q.Head.ID) {
				continue
			}
			if at == 0 && !o.mayStart {
				continue
			}
			s.extend(best, at, i, &q, transfers, o)
		}
	}
	return s.tracePath(best)
}

// extend relaxes the states that a holder can reach from a bound: every later bound in the
// range of the holder.
func (s *Search) extend(best []searchState, at, holder int, q *Query, transfers []float64, o *option) {
	h := &s.holders[holder]
	width := len(s.centres)
	centre := s.rates[holder].centre
	baseCost, previous := math.Inf(1), -1
	if at == 0 {
		baseCost = 0
		if h.DataCentre != q.Home {
			baseCost = remoteHeadCostMS
		}
	}
	for c := range s.centres {
		if i := at*width + c; at > 0 && best[i].cost < math.Inf(1) {
			if cost := best[i].cost + transfers[c*width+centre]; cost < baseCost {
				baseCost, previous = cost, i
			}
		}
	}
	if math.IsInf(baseCost, 1) {
		return
	}
	for end := at + 1; end < len(s.bounds) && s.bounds[end] <= h.To; end++ {
		if at == 0 && q.Head.ID != "" && s.bounds[end] != q.Head.To {
			continue
		}
		cost := baseCost + s.partCost(holder, s.bounds[at], s.bounds[end], q, o)
		if i := end*width + centre; cost < best[i].cost {
			best[i] = searchState{cost: cost, holder: holder, previous: previous}
		}
	}
}

// partCost returns the time that a draft spends in a part on a holder plus the delay that it adds to the
// other drafts there, in milliseconds. It is infinite if the holder lacks capacity.
func (s *Search) partCost(holder, from, to int, q *Query, o *option) float64 {
	h, layers := &s.holders[holder], to-from
	cost := float64(layers)/float64(s.engine.Layers)*o.run + hopMS*q.Draft.AnswerTokens
	if q.keeps(h.ID, from, to) {
		return cost - s.prefillTime(holder, q.Draft.PromptTokens*float64(layers))
	}
	if q.Draft.admissionTokens()*float64(layers) > o.free {
		return math.Inf(1)
	}
	if h.Rereading > 0 {
		cost += s.rereadCost(holder)
	}
	if q.Started || len(q.Running) > 0 {
		cost += s.moveCost(holder, float64(layers), q)
	}
	return cost
}

// runTime returns the time in milliseconds that a draft would spend in all layers, were they on the given
// holder, plus the delay that it adds to the other drafts there.
func (s *Search) runTime(holder int, d *Draft) float64 {
	r := &s.rates[holder]
	prefill := 0.0
	if s.engine.PrefillTokensPerSecond > 0 {
		prefill = d.PromptTokens * r.prefill * 1000 / s.engine.PrefillTokensPerSecond
	}
	perDraft := s.engine.StepPerRequestMS + s.engine.StepPerThousandMS*d.tokens()/1000
	decode := d.AnswerTokens * r.step * (s.engine.StepMS + contentionFactor*perDraft*float64(s.holders[holder].Drafts))
	return prefill + decode
}

// transferCosts returns the cost in milliseconds of passing the draft on between each pair of
// data centres. It is infinite where the queue of the pipe is too long.
func (s *Search) transferCosts(q *Query) []float64 {
	width := len(s.centres)
	out := make([]float64, width*width)
	if s.engine.LinkMbps <= 0 {
		return out
	}
	duration := transferTime(s.engine, q.Draft.tokens())
	for i, from := range s.centres {
		for j, to := range s.centres {
			if from != to {
				out[i*width+j] = transferCost(duration, q, from, to)
			}
		}
	}
	return out
}

func transferCost(duration time.Duration, q *Query, from, to string) float64 {
	wait := time.Duration(0)
	if q.PipeWait != nil {
		wait = q.PipeWait(from, to)
	}
	if wait > maxPipeWait {
		return math.Inf(1)
	}
	return crossCentreCostMS + float64(duration+wait)/float64(time.Millisecond)
}

// tracePath reconstructs the path from the cheapest state that has passed all layers.
func (s *Search) tracePath(best []searchState) (Path, float64, bool) {
	width := len(s.centres)
	last, _ := slices.BinarySearch(s.bounds, s.engine.Layers)
	if last >= len(s.bounds) || s.bounds[last] != s.engine.Layers {
		return nil, 0, false
	}
	end := -1
	for c := range s.centres {
		i := last*width + c
		if best[i].cost < math.Inf(1) && (end < 0 || best[i].cost < best[end].cost) {
			end = i
		}
	}
	if end < 0 {
		return nil, 0, false
	}
	var path Path
	for i := end; i >= 0; i = best[i].previous {
		h := &s.holders[best[i].holder]
		from := 0
		if best[i].previous >= 0 {
			from = s.bounds[best[i].previous/width]
		}
		path = append(path, Part{ID: h.ID, Address: h.Address, DataCentre: h.DataCentre, From: from, To: s.bounds[i/width]})
	}
	slices.Reverse(path)
	path = mergeRepeated(path)
	return path, best[end].cost, len(path) <= maxParts
}

// mergeRepeated makes a server that occurs twice in a path run the layers in between as well,
// since a path may name each server only once.
func mergeRepeated(p Path) Path {
	var out Path
	for _, part := range p {
		i := slices.IndexFunc(out, func(o Part) bool { return o.ID == part.ID })
		if i >= 0 {
			out = out[:i+1]
			out[i].To = part.To
			continue
		}
		out = append(out, part)
	}
	return out
}

// Update calls f for each holder to update its usage.
func (s *Search) Update(f func(h *Holder)) {
	for i := range s.holders {
		f(&s.holders[i])
	}
}
