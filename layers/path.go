// Package layers decides which backend servers hold which layers of a model, and which of them
// a draft passes through.
package layers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/routing"
)

// maxParts is the most servers that one path may name.
const maxParts = 32

// Holder is a backend server that holds a range of layers.
type Holder struct {
	ID          string
	Address     string
	DataCentre  string
	Accelerator string
	// From and To bound the layers that it holds; To is exclusive.
	From, To int
	// Used is the predicted memory of the drafts that pass through it, in tokens times layers.
	Used float64
	// Drafts is the number of drafts that pass through it, Heads that of those it begins.
	Drafts int
	Heads  int
}

// Part is the part of a path that runs on one server: layers From to To, exclusive.
type Part struct {
	ID         string
	Address    string
	DataCentre string
	From       int
	To         int
}

// Path is a way through all layers, each once and in order.
type Path []Part

// Contains reports whether the path passes through the server.
func (p Path) Contains(id string) bool {
	return slices.ContainsFunc(p, func(part Part) bool { return part.ID == id })
}

// Draft is what is known of a request before it runs.
type Draft struct {
	PromptTokens float64
	AnswerTokens float64
}

// tokens is the memory of the draft in tokens, when it has been written.
func (d Draft) tokens() float64 { return d.PromptTokens + d.AnswerTokens }

// Capacity returns how many tokens times layers a holder has room for.
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
	// crossMS is what a transfer between data centres costs besides its time. All transfers
	// wait for each other there: drafts that crossed paused for 270 ms where others did for
	// 100 ms. With 4,000 and 8,000 more drafts were refused on heavy days.
	crossMS = 2000.0
	// foreignHeadMS is what a first server in another data centre costs: the draft is lost
	// when the data centres are cut off from each other. 400 to 12,000 were tried.
	foreignHeadMS = 2500.0
	// hopMS is the time that one more server adds to a token, besides its layers.
	hopMS = 0.05
	// crowding counts what a draft adds to the steps of the others as much as what they add
	// to its own.
	crowding = 2.0
	// fullBelow is the share of a holder's room up to which it takes drafts; the rest is for
	// the answers of those that run.
	fullBelow = 0.95
	// keptFree is the share of its predicted answer for which a new draft must find room.
	keptFree = 0.5
)

// Search finds paths over one set of holders.
type Search struct {
	engine  *routing.Engine
	holders []Holder
	bounds  []int
	centres []string
}

// NewSearch returns a search over holders, which it may reorder.
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
	return s
}

// withBound returns a search in which a path may change servers at a layer.
func (s *Search) withBound(layer int) *Search {
	i, found := slices.BinarySearch(s.bounds, layer)
	if found {
		return s
	}
	out := *s
	out.bounds = slices.Insert(slices.Clone(s.bounds), i, layer)
	return &out
}

// step is the cheapest way to a bound, in one data centre.
type step struct {
	cost   float64
	holder int
	// from is the state before, as an index.
	from int
}

// Query asks for a path.
type Query struct {
	Draft Draft
	// Home is the data centre of the caller.
	Home string
	// Head, if its ID is not empty, must be the first part.
	Head Part
	// Begun drafts have events at their callers already; they get the room that is kept free
	// for the answers of those that run.
	Begun bool
	// Avoid tells which servers are left out.
	Avoid func(id string) bool
	// PipeWait tells how long a transfer between two data centres waits for those before it;
	// nil: none waits.
	PipeWait func(from, to string) time.Duration
}

// HasWholeCopy reports whether the servers of some data centre hold all layers together, with
// or without room.
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

// Find returns the cheapest path and its cost in ms.
func (s *Search) Find(q Query) (Path, float64, bool) {
	if q.Head.ID != "" {
		s = s.withBound(q.Head.To)
	}
	n := len(s.bounds)
	if n == 0 || s.bounds[0] != 0 || s.bounds[n-1] < s.engine.Layers {
		return nil, 0, false
	}
	width := len(s.centres)
	best := make([]step, n*width)
	for i := range best {
		best[i].cost = math.Inf(1)
	}
	transfers := s.transfers(&q)
	for at := range n - 1 {
		for i := range s.holders {
			h := &s.holders[i]
			if h.From > s.bounds[at] || h.To <= s.bounds[at] || q.Avoid(h.ID) || q.Head.ID != "" && (at == 0) != (h.ID == q.Head.ID) {
				continue
			}
			s.extend(best, at, i, &q, transfers)
		}
	}
	return s.trace(best)
}

// extend tries a holder from a bound on, up to each later bound that it holds.
func (s *Search) extend(best []step, at, holder int, q *Query, transfers []float64) {
	h := &s.holders[holder]
	width := len(s.centres)
	centre, _ := slices.BinarySearch(s.centres, h.DataCentre)
	before, from := math.Inf(1), -1
	if at == 0 {
		if h.Heads >= s.engine.Slots && s.engine.Slots > 0 {
			return
		}
		before = 0
		if h.DataCentre != q.Home {
			before = foreignHeadMS
		}
	}
	for c := range s.centres {
		if i := at*width + c; at > 0 && best[i].cost < math.Inf(1) {
			if cost := best[i].cost + transfers[c*width+centre]; cost < before {
				before, from = cost, i
			}
		}
	}
	if math.IsInf(before, 1) {
		return
	}
	for end := at + 1; end < len(s.bounds) && s.bounds[end] <= h.To; end++ {
		if at == 0 && q.Head.ID != "" && s.bounds[end] != q.Head.To {
			continue
		}
		cost := before + s.run(h, s.bounds[end]-s.bounds[at], q)
		if i := end*width + centre; cost < best[i].cost {
			best[i] = step{cost: cost, holder: holder, from: from}
		}
	}
}

// run is the time that a draft spends in layers of a holder and adds to the others there, in
// ms. It is infinite if the holder has no room.
func (s *Search) run(h *Holder, layers int, q *Query) float64 {
	d := q.Draft
	a := s.engine.Accelerators[h.Accelerator]
	share := float64(layers) / float64(s.engine.Layers)
	read := 0.0
	if s.engine.TokensReadPerSecond > 0 {
		read = d.PromptTokens * a.ReadFactor * 1000 / s.engine.TokensReadPerSecond
	}
	perDraft := s.engine.StepPerRequestMS + s.engine.StepPerThousandMS*d.tokens()/1000
	write := d.AnswerTokens * a.Pace * (s.engine.StepMS + crowding*perDraft*float64(h.Drafts))
	room := Capacity(s.engine, h)
	used := h.Used + (d.PromptTokens+keptFree*d.AnswerTokens)*float64(layers)
	if !q.Begun {
		room *= fullBelow
	}
	if room <= 0 || used > room {
		return math.Inf(1)
	}
	return share*(read+write) + hopMS*d.AnswerTokens
}

// transfers returns what passing the draft on from each data centre to each costs, in ms. It is
// infinite where the queue of the pipe is too long.
func (s *Search) transfers(q *Query) []float64 {
	width := len(s.centres)
	out := make([]float64, width*width)
	if s.engine.PipeMbps <= 0 {
		return out
	}
	own := transferTime(s.engine, q.Draft.tokens())
	for i, from := range s.centres {
		for j, to := range s.centres {
			if from != to {
				out[i*width+j] = transferCost(own, q, from, to)
			}
		}
	}
	return out
}

func transferCost(own time.Duration, q *Query, from, to string) float64 {
	wait := time.Duration(0)
	if q.PipeWait != nil {
		wait = q.PipeWait(from, to)
	}
	if wait > maxPipeWait {
		return math.Inf(1)
	}
	return crossMS + float64(own+wait)/float64(time.Millisecond)
}

// trace follows the cheapest state that has passed all layers back to the start.
func (s *Search) trace(best []step) (Path, float64, bool) {
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
	for i := end; i >= 0; i = best[i].from {
		h := &s.holders[best[i].holder]
		from := 0
		if best[i].from >= 0 {
			from = s.bounds[best[i].from/width]
		}
		path = append(path, Part{ID: h.ID, Address: h.Address, DataCentre: h.DataCentre, From: from, To: s.bounds[i/width]})
	}
	slices.Reverse(path)
	path = joinRepeated(path)
	return path, best[end].cost, len(path) <= maxParts
}

// joinRepeated lets a server that stands twice in a path run what lies between as well, since
// a path may name it once only.
func joinRepeated(p Path) Path {
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

// Update calls f for each holder, to change its use.
func (s *Search) Update(f func(h *Holder)) {
	for i := range s.holders {
		f(&s.holders[i])
	}
}
