package route

import (
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

const (
	// stageOverhead is the time of handing a token to one more stage.
	stageOverhead = 200 * time.Microsecond
	// activationBytes is the assumed size of what a stage passes on for one token.
	activationBytes = 16 << 10
	// assumedTokens is the length of an answer when the draft names none.
	assumedTokens = 64
)

// Draft is what a chain is chosen for.
type Draft struct {
	Model string
	// Layers is the number of layers of the model.
	Layers       int
	PromptTokens int
	// MaxTokens is the length of the answer; 0 means unknown.
	MaxTokens int
	Prefix    PrefixKey
	// Urgent drafts go ahead of others in the servers' queues.
	Urgent bool
	// Exclude names servers that must not be chosen.
	Exclude []string
}

// ChainChoice is a decision, with the runner-up for the log.
type ChainChoice struct {
	Chain pipeline.Chain
	// FirstToken and Gap are the predicted times to the first token and between tokens.
	FirstToken time.Duration
	Gap        time.Duration
	// RunnerUp is the stage's server that would have added the least cost.
	RunnerUp     string
	RunnerUpCost time.Duration
	Why          Reason
}

// group is the servers of one data centre with the same range of layers, of which one was
// picked.
type group struct {
	layers  fleet.Range
	partial bool
	anchor  anchor
	dc      string
	all     []candidate
	choice  Choice
	cost    cost
}

// groupKey tells groups apart.
type groupKey struct {
	layers  fleet.Range
	partial bool
	anchor  anchor
	dc      string
}

// Chain chooses the chain for a draft. Servers with the same range in the same data centre
// compete first; the search then runs over their winners, so that its time grows with the
// number of different ranges and not with that of servers.
func (r *Router) Chain(now time.Time, d Draft, servers []fleet.BackendServer) (ChainChoice, error) {
	r.forget(servers)
	anchors := make(map[string]anchor)
	for range maxSearches {
		path := r.search(d, r.groups(now, d, servers, anchors))
		if path == nil && !turnAnchors(anchors) {
			break
		}
		chain := joined(path)
		repeated, ok := repeatedServer(chain)
		if ok {
			anchors[repeated] = anchorStart
		}
		if path != nil && !ok {
			return r.describe(now, d, path, chain), nil
		}
	}
	return ChainChoice{}, errNoServer(pipeline.ErrNoChain.Error())
}

// maxSearches bounds the searches that are made to find a chain without a repeated server.
const maxSearches = 6

// anchor limits the parts of its range that a server may run, so that no two of them can be
// in one chain. 0 means no limit.
type anchor int

const (
	// anchorStart allows only parts that start with the server's first layer.
	anchorStart anchor = iota + 1
	// anchorEnd allows only parts that end with the server's last layer.
	anchorEnd
)

// turnAnchors tries the other end of each anchored server, and reports whether there was one.
func turnAnchors(anchors map[string]anchor) bool {
	turned := false
	for name, a := range anchors {
		if a == anchorStart {
			anchors[name] = anchorEnd
			turned = true
		}
	}
	return turned
}

func (r *Router) groups(now time.Time, d Draft, servers []fleet.BackendServer, anchors map[string]anchor) []group {
	index := make(map[groupKey]int)
	var groups []group
	for i := range servers {
		s := &servers[i]
		if s.Model != d.Model || s.Layers.To > d.Layers || contains(d.Exclude, s.Name) {
			continue
		}
		key := groupKey{layers: s.Layers, partial: s.PartialRange, anchor: anchors[s.Name], dc: s.DataCentre}
		g, ok := index[key]
		if !ok {
			g = len(groups)
			index[key] = g
			groups = append(groups, group{layers: key.layers, partial: key.partial, anchor: key.anchor, dc: key.dc})
		}
		groups[g].all = append(groups[g].all, candidate{server: s, cost: r.stageCost(now, d, s)})
	}
	for i := range groups {
		g := &groups[i]
		g.choice = r.pick(g.all)
		for _, c := range g.all {
			if c.server.Name == g.choice.Chosen.Name {
				g.cost = c.cost
			}
		}
		if r.inTurn {
			g.cost = cost{speed: time.Duration(r.random.Int64N(int64(time.Second)))}
		}
	}
	return groups
}

func (d Draft) tokens() int {
	if d.MaxTokens == 0 {
		return assumedTokens
	}
	return d.MaxTokens
}

// stages is the usual number of stages of a chain with the server.
func (d Draft) stages(s *fleet.BackendServer) float64 {
	return float64(d.Layers) / float64(max(1, s.Layers.Len()))
}

// queueScale sets the weight of the queue. Batches make work beside other work cheap, and a
// full batch makes it dear, so the cost grows with the square of the requests a slot. A
// cost in proportion leaves slow servers with batches that are not full.
const queueScale = 2

// stageCost predicts what a server's whole range adds to a draft.
func (r *Router) stageCost(now time.Time, d Draft, s *fleet.BackendServer) cost {
	step := time.Duration(s.StepMicros) * time.Microsecond
	prefill := time.Duration(s.PrefillMicros) * time.Microsecond
	tokens := d.tokens()
	speed := step*time.Duration(tokens) + prefill*time.Duration(d.PromptTokens)
	load := r.work(now, s, d.stages(s)) / float64(max(1, s.Slots))
	if d.Urgent {
		load = min(load, 1)
	}
	queue := time.Duration(float64(speed) * load * load / queueScale)
	saved := time.Duration(float64(prefill) * r.prefixes.expected(now, s.Name, d.Prefix, d.PromptTokens))
	pace := time.Duration(float64(speed+queue) * (r.paces.ratio(now, s) - 1))
	return cost{queue: queue, speed: speed, pace: pace, prefix: saved}
}

// scaled returns the cost of a part of the layers.
func (c cost) scaled(part float64) cost {
	f := func(d time.Duration) time.Duration { return time.Duration(float64(d) * part) }
	return cost{queue: f(c.queue), speed: f(c.speed), link: f(c.link), pace: f(c.pace), prefix: f(c.prefix)}
}

// step is one stage of a path through the search.
type step struct {
	group  *group
	layers fleet.Range
	cost   cost
}

// state is a place in the search: the layers below boundary are covered, and the last stage
// is in the data centre.
type state struct {
	boundary int
	dc       string
}

type reached struct {
	total time.Duration
	step  step
	from  state
}

// search returns the cheapest path over all layers, or nil. It visits boundaries from low to
// high, and every stage moves forward, so each state is final when it is visited.
func (r *Router) search(d Draft, groups []group) []step {
	ends := boundaries(groups, d.Layers)
	best := map[state]reached{{dc: r.dataCentre}: {}}
	states := make(map[int][]string, len(ends))
	states[0] = []string{r.dataCentre}
	for _, p := range ends {
		slices.Sort(states[p])
		for _, dc := range states[p] {
			from := state{boundary: p, dc: dc}
			for i := range groups {
				for _, q := range groups[i].endsFrom(p, ends) {
					st := r.step(d, &groups[i], p, q, dc)
					to := state{boundary: q, dc: groups[i].dc}
					total := best[from].total + st.cost.total()
					old, known := best[to]
					if !known {
						states[q] = append(states[q], to.dc)
					}
					if !known || total < old.total {
						best[to] = reached{total: total, step: st, from: from}
					}
				}
			}
		}
	}
	return r.cheapest(d, best, states[d.Layers])
}

func (r *Router) step(d Draft, g *group, p, q int, from string) step {
	st := step{group: g, layers: fleet.Range{From: p, To: q}}
	st.cost = g.cost.scaled(float64(q-p) / float64(g.layers.Len()))
	hop := r.links.between(from, g.dc).carry(activationBytes) + stageOverhead
	st.cost.link = hop * time.Duration(d.tokens())
	return st
}

// cheapest walks back from the cheapest final state.
func (r *Router) cheapest(d Draft, best map[state]reached, dcs []string) []step {
	least := time.Duration(math.MaxInt64)
	var at state
	for _, dc := range dcs {
		s := state{boundary: d.Layers, dc: dc}
		back := r.links.between(dc, r.dataCentre).Delay * time.Duration(d.tokens())
		if total := best[s].total + back; total < least {
			least = total
			at = s
		}
	}
	if least == math.MaxInt64 {
		return nil
	}
	var path []step
	for at.boundary > 0 {
		b := best[at]
		path = append(path, b.step)
		at = b.from
	}
	slices.Reverse(path)
	return path
}

// boundaries returns the layers at which a stage can start or end, from low to high.
func boundaries(groups []group, layers int) []int {
	ends := []int{0, layers}
	for _, g := range groups {
		ends = append(ends, g.layers.From, g.layers.To)
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// endsFrom returns where a stage of the group can end that starts at layer p. A server runs
// its whole range unless it says that it can run a part.
func (g *group) endsFrom(p int, ends []int) []int {
	if !g.partial {
		if g.layers.From != p {
			return nil
		}
		return []int{g.layers.To}
	}
	if p < g.layers.From || p >= g.layers.To {
		return nil
	}
	if g.anchor == anchorStart && p != g.layers.From {
		return nil
	}
	if g.anchor == anchorEnd {
		return []int{g.layers.To}
	}
	low, _ := slices.BinarySearch(ends, p+1)
	high, _ := slices.BinarySearch(ends, g.layers.To+1)
	return ends[low:high]
}

// joined turns a path into a chain and joins neighbouring stages of one server.
func joined(path []step) pipeline.Chain {
	var chain pipeline.Chain
	for _, st := range path {
		s := st.group.choice.Chosen
		if n := len(chain); n > 0 && chain[n-1].Server.Name == s.Name {
			chain[n-1].Layers.To = st.layers.To
			continue
		}
		chain = append(chain, pipeline.Stage{Server: s, Layers: st.layers})
	}
	return chain
}

// repeatedServer returns a server that has two stages of the chain.
func repeatedServer(chain pipeline.Chain) (string, bool) {
	seen := make(map[string]bool, len(chain))
	for _, st := range chain {
		if seen[st.Server.Name] {
			return st.Server.Name, true
		}
		seen[st.Server.Name] = true
	}
	return "", false
}

// describe predicts the chain's times and finds the runner-up.
func (r *Router) describe(now time.Time, d Draft, path []step, chain pipeline.Chain) ChainChoice {
	c := ChainChoice{Chain: chain, Why: ReasonOnly}
	for _, st := range chain {
		gap := r.stageGap(now, st, d.stages(&st.Server))
		c.Gap += gap
		prefill := float64(st.Server.PrefillMicros*d.PromptTokens) * part(st)
		prefill -= float64(st.Server.PrefillMicros) * part(st) * r.prefixes.expected(now, st.Server.Name, d.Prefix, d.PromptTokens)
		c.FirstToken += gap + time.Duration(prefill*r.paces.ratio(now, &st.Server))*time.Microsecond
	}
	for _, st := range path {
		c.Gap += st.cost.link / time.Duration(d.tokens())
		c.FirstToken += st.cost.link / time.Duration(d.tokens())
	}
	c.findRunnerUp(path)
	return c
}

// findRunnerUp names the server whose use in place of a chosen one would cost the least more.
func (c *ChainChoice) findRunnerUp(path []step) {
	least := time.Duration(math.MaxInt64)
	for _, st := range path {
		choice := st.group.choice
		if choice.RunnerUp != "" && choice.RunnerUpCost-choice.Cost < least {
			least = choice.RunnerUpCost - choice.Cost
			c.RunnerUp = choice.RunnerUp
			c.RunnerUpCost = choice.RunnerUpCost
			c.Why = choice.Why
		}
	}
}

func part(st pipeline.Stage) float64 {
	return float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
}

// stageGap predicts the time of one token at a stage.
func (r *Router) stageGap(now time.Time, st pipeline.Stage, stages float64) time.Duration {
	load := r.work(now, &st.Server, stages) / float64(max(1, st.Server.Slots))
	micros := float64(st.Server.StepMicros) * part(st) * max(1, load) * r.paces.ratio(now, &st.Server)
	return time.Duration(micros) * time.Microsecond
}

// Replacement chooses a server to take over one stage of a chain. Its range must hold the
// stage's layers. exclude names servers that must not be chosen; those of the chain never are.
func (r *Router) Replacement(now time.Time, d Draft, chain pipeline.Chain, stage int, servers []fleet.BackendServer) (Choice, error) {
	want := chain[stage].Layers
	var able []candidate
	for i := range servers {
		s := &servers[i]
		if s.Model != d.Model || contains(d.Exclude, s.Name) || !canRun(s, want) || isInChain(chain, s.Name) {
			continue
		}
		c := r.stageCost(now, d, s).scaled(float64(want.Len()) / float64(s.Layers.Len()))
		c.link = r.neighbourDelay(chain, stage, s.DataCentre) * time.Duration(d.tokens())
		able = append(able, candidate{server: s, cost: c})
	}
	if len(able) == 0 {
		return Choice{}, errNoServer("no backend server can take over the stage")
	}
	return r.pick(able), nil
}

func canRun(s *fleet.BackendServer, want fleet.Range) bool {
	if s.Layers == want {
		return true
	}
	return s.PartialRange && s.Layers.From <= want.From && want.To <= s.Layers.To
}

func isInChain(chain pipeline.Chain, name string) bool {
	return slices.ContainsFunc(chain, func(st pipeline.Stage) bool { return st.Server.Name == name })
}

// neighbourDelay is the time of the hops to and from the stages beside this one.
func (r *Router) neighbourDelay(chain pipeline.Chain, stage int, dc string) time.Duration {
	before := r.dataCentre
	if stage > 0 {
		before = chain[stage-1].Server.DataCentre
	}
	after := r.dataCentre
	if stage+1 < len(chain) {
		after = chain[stage+1].Server.DataCentre
	}
	return r.links.between(before, dc).carry(activationBytes) + r.links.between(dc, after).carry(activationBytes)
}
