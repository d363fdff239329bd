package route

import (
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

const (
	// stageOverhead is the assumed time to pass a token to one more stage, beside the link.
	stageOverhead = 200 * time.Microsecond
	// activationBytes is the assumed size of the activations that a stage passes on for one token.
	activationBytes = 16 << 10
	// assumedTokens is the assumed length of the answer if the draft specifies no length.
	assumedTokens = 64
)

// Draft describes the draft that a chain is chosen for.
type Draft struct {
	Model string
	// Layers is the number of layers of the model.
	Layers       int
	PromptTokens int
	// MaxTokens is the length of the answer; 0 means unknown.
	MaxTokens int
	Prefix    PrefixKey
	// Urgent means that the draft goes ahead of others in the servers' queues.
	Urgent bool
	// Exclude names servers that must not be chosen.
	Exclude []string
}

// ChainChoice is a chosen chain, with the runner-up for the log.
type ChainChoice struct {
	Chain pipeline.Chain
	// FirstToken and Gap are the predicted times to the first token and between tokens.
	FirstToken time.Duration
	Gap        time.Duration
	// RunnerUp is the server that could have replaced a chosen one at the lowest additional cost.
	RunnerUp     string
	RunnerUpCost time.Duration
	Reason       Reason
}

// serverGroup is a set of servers in one data centre with the same range of layers. The router
// chooses one of them before it searches for a chain.
type serverGroup struct {
	layers  fleet.Range
	partial bool
	anchor  anchor
	dc      string
	all     []candidate
	choice  Choice
	cost    cost
}

// groupKey identifies a group.
type groupKey struct {
	layers  fleet.Range
	partial bool
	anchor  anchor
	dc      string
}

// Chain chooses the chain for a draft. It groups the servers that have the same range and are in
// the same data centre, chooses one server of each group, and then searches for the cheapest chain
// of the chosen servers. This way, the time of the search grows with the number of different
// ranges and not with the number of servers.
//
// If the cheapest chain has two stages on one server, the search is repeated with an anchor on
// that server. If no chain is found, the error is an *outcome.Error with outcome.NotRun.
func (r *Router) Chain(now time.Time, d Draft, servers []fleet.BackendServer) (ChainChoice, error) {
	r.pruneServers(servers)
	anchors := make(map[string]anchor)
	for range maxSearches {
		path := r.search(d, r.groups(now, d, servers, anchors))
		if path == nil && !flipAnchors(anchors) {
			break
		}
		chain := mergeStages(path)
		repeated, ok := repeatedServer(chain)
		if ok {
			anchors[repeated] = anchorStart
		}
		if path != nil && !ok {
			return r.chainChoice(now, d, path, chain), nil
		}
	}
	return ChainChoice{}, errNoServer(pipeline.ErrNoChain.Error())
}

// maxSearches bounds the searches that are made to find a chain without a repeated server.
const maxSearches = 6

// anchor limits which parts of its range a server may run, so that a chain can't contain two
// separate parts of one range. 0 means no limit.
type anchor int

const (
	// anchorStart allows only parts that start with the server's first layer.
	anchorStart anchor = iota + 1
	// anchorEnd allows only parts that end with the server's last layer.
	anchorEnd
)

// flipAnchors moves each anchor from the start to the end of the server's range, and reports
// whether it moved any.
func flipAnchors(anchors map[string]anchor) bool {
	flipped := false
	for name, a := range anchors {
		if a == anchorStart {
			anchors[name] = anchorEnd
			flipped = true
		}
	}
	return flipped
}

func (r *Router) groups(now time.Time, d Draft, servers []fleet.BackendServer, anchors map[string]anchor) []serverGroup {
	index := make(map[groupKey]int)
	var groups []serverGroup
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
			groups = append(groups, serverGroup{layers: key.layers, partial: key.partial, anchor: key.anchor, dc: key.dc})
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
		if r.roundRobin {
			g.cost = cost{speed: time.Duration(r.random.Int64N(int64(time.Second)))}
		}
	}
	return groups
}

func (d Draft) expectedTokens() int {
	if d.MaxTokens == 0 {
		return assumedTokens
	}
	return d.MaxTokens
}

// expectedStages estimates the number of stages of a chain that contains the server.
func (d Draft) expectedStages(s *fleet.BackendServer) float64 {
	return float64(d.Layers) / float64(max(1, s.Layers.Len()))
}

// queueScale divides the cost of the queue. A request that joins a batch costs little until the
// batch is full, and much after that, so the cost grows with the square of the requests per slot.
// With a proportional cost, the batches of slow servers were not filled.
const queueScale = 2

// stageCost predicts the cost that a server's whole range adds to a draft.
func (r *Router) stageCost(now time.Time, d Draft, s *fleet.BackendServer) cost {
	step := time.Duration(s.StepMicros) * time.Microsecond
	prefill := time.Duration(s.PrefillMicros) * time.Microsecond
	tokens := d.expectedTokens()
	speed := step*time.Duration(tokens) + prefill*time.Duration(d.PromptTokens)
	load := r.estimateRequests(now, s, d.expectedStages(s)) / float64(max(1, s.Slots))
	if d.Urgent {
		load = min(load, 1)
	}
	queue := time.Duration(float64(speed) * load * load / queueScale)
	saved := time.Duration(float64(prefill) * r.prefixes.expectedTokens(now, s.Name, d.Prefix, d.PromptTokens))
	slowdown := time.Duration(float64(speed+queue) * (r.stepSlowdowns.ratio(now, s) - 1))
	return cost{queue: queue, speed: speed, slowdown: slowdown, prefix: saved}
}

// scaled returns the cost of a part of the layers, given as a fraction of all.
func (c cost) scaled(part float64) cost {
	f := func(d time.Duration) time.Duration { return time.Duration(float64(d) * part) }
	return cost{queue: f(c.queue), speed: f(c.speed), link: f(c.link), slowdown: f(c.slowdown), prefix: f(c.prefix)}
}

// pathStage is one stage of a path that the search has found.
type pathStage struct {
	group  *serverGroup
	layers fleet.Range
	cost   cost
}

// searchState is a node of the search: the layers below boundary are covered, and the last stage
// is in data centre dc.
type searchState struct {
	boundary int
	dc       string
}

// bestPath is the cheapest known path to a state: its cost, its last stage and the previous state.
type bestPath struct {
	total    time.Duration
	last     pathStage
	previous searchState
}

// search returns the cheapest path over all layers, or nil. It visits the boundaries from low to
// high. Every stage ends at a higher boundary than it starts at, so the cost of a state is final
// when it is visited.
func (r *Router) search(d Draft, groups []serverGroup) []pathStage {
	ends := boundaries(groups, d.Layers)
	best := map[searchState]bestPath{{dc: r.dataCentre}: {}}
	states := make(map[int][]string, len(ends))
	states[0] = []string{r.dataCentre}
	for _, p := range ends {
		slices.Sort(states[p])
		for _, dc := range states[p] {
			from := searchState{boundary: p, dc: dc}
			for i := range groups {
				for _, q := range groups[i].endsFrom(p, ends) {
					st := r.nextStage(d, &groups[i], p, q, dc)
					to := searchState{boundary: q, dc: groups[i].dc}
					total := best[from].total + st.cost.total()
					old, known := best[to]
					if !known {
						states[q] = append(states[q], to.dc)
					}
					if !known || total < old.total {
						best[to] = bestPath{total: total, last: st, previous: from}
					}
				}
			}
		}
	}
	return r.cheapestPath(d, best, states[d.Layers])
}

func (r *Router) nextStage(d Draft, g *serverGroup, p, q int, from string) pathStage {
	st := pathStage{group: g, layers: fleet.Range{From: p, To: q}}
	st.cost = g.cost.scaled(float64(q-p) / float64(g.layers.Len()))
	hop := r.links.between(from, g.dc).transferTime(activationBytes) + stageOverhead
	st.cost.link = hop * time.Duration(d.expectedTokens())
	return st
}

// cheapestPath returns the cheapest path to a final state, or nil. The cost of a path includes the
// delay from the last stage back to the router.
func (r *Router) cheapestPath(d Draft, best map[searchState]bestPath, dcs []string) []pathStage {
	lowest := time.Duration(math.MaxInt64)
	var at searchState
	for _, dc := range dcs {
		s := searchState{boundary: d.Layers, dc: dc}
		back := r.links.between(dc, r.dataCentre).Delay * time.Duration(d.expectedTokens())
		if total := best[s].total + back; total < lowest {
			lowest = total
			at = s
		}
	}
	if lowest == math.MaxInt64 {
		return nil
	}
	var path []pathStage
	for at.boundary > 0 {
		b := best[at]
		path = append(path, b.last)
		at = b.previous
	}
	slices.Reverse(path)
	return path
}

// boundaries returns the layers at which a stage can start or end, from low to high.
func boundaries(groups []serverGroup, layers int) []int {
	ends := []int{0, layers}
	for _, g := range groups {
		ends = append(ends, g.layers.From, g.layers.To)
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// endsFrom returns the boundaries at which a stage of the group that starts at layer p can end. A
// server runs its whole range unless it reports that it can run a part of it.
func (g *serverGroup) endsFrom(p int, ends []int) []int {
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

// mergeStages converts a path to a chain, merging adjacent stages on the same server.
func mergeStages(path []pathStage) pipeline.Chain {
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

// repeatedServer returns a server that has more than one stage of the chain, if there is one.
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

// chainChoice predicts the chain's times and finds the runner-up.
func (r *Router) chainChoice(now time.Time, d Draft, path []pathStage, chain pipeline.Chain) ChainChoice {
	c := ChainChoice{Chain: chain, Reason: ReasonOnly}
	for _, st := range chain {
		gap := r.stageGap(now, st, d.expectedStages(&st.Server))
		c.Gap += gap
		prefill := float64(st.Server.PrefillMicros*d.PromptTokens) * layerShare(st)
		prefill -= float64(st.Server.PrefillMicros) * layerShare(st) * r.prefixes.expectedTokens(now, st.Server.Name, d.Prefix, d.PromptTokens)
		c.FirstToken += gap + time.Duration(prefill*r.stepSlowdowns.ratio(now, &st.Server))*time.Microsecond
	}
	for _, st := range path {
		c.Gap += st.cost.link / time.Duration(d.expectedTokens())
		c.FirstToken += st.cost.link / time.Duration(d.expectedTokens())
	}
	c.findRunnerUp(path)
	return c
}

// findRunnerUp sets the runner-up: the server that could replace a chosen one at the lowest
// additional cost.
func (c *ChainChoice) findRunnerUp(path []pathStage) {
	lowest := time.Duration(math.MaxInt64)
	for _, st := range path {
		choice := st.group.choice
		if choice.RunnerUp != "" && choice.RunnerUpCost-choice.Cost < lowest {
			lowest = choice.RunnerUpCost - choice.Cost
			c.RunnerUp = choice.RunnerUp
			c.RunnerUpCost = choice.RunnerUpCost
			c.Reason = choice.Reason
		}
	}
}

func layerShare(st pipeline.Stage) float64 {
	return float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
}

// stageGap predicts the time that a stage takes for one token.
func (r *Router) stageGap(now time.Time, st pipeline.Stage, stages float64) time.Duration {
	load := r.estimateRequests(now, &st.Server, stages) / float64(max(1, st.Server.Slots))
	micros := float64(st.Server.StepMicros) * layerShare(st) * max(1, load) * r.stepSlowdowns.ratio(now, &st.Server)
	return time.Duration(micros) * time.Microsecond
}

// Replacement chooses a server to take over one stage of a chain. The server must be able to run
// the stage's layers. Servers that are in the chain or in d.Exclude are not chosen. If there is no
// server to choose, the error is an *outcome.Error with outcome.NotRun.
func (r *Router) Replacement(now time.Time, d Draft, chain pipeline.Chain, stage int, servers []fleet.BackendServer) (Choice, error) {
	want := chain[stage].Layers
	var candidates []candidate
	for i := range servers {
		s := &servers[i]
		if s.Model != d.Model || contains(d.Exclude, s.Name) || !canRun(s, want) || isInChain(chain, s.Name) {
			continue
		}
		c := r.stageCost(now, d, s).scaled(float64(want.Len()) / float64(s.Layers.Len()))
		c.link = r.neighbourDelay(chain, stage, s.DataCentre) * time.Duration(d.expectedTokens())
		candidates = append(candidates, candidate{server: s, cost: c})
	}
	if len(candidates) == 0 {
		return Choice{}, errNoServer("no backend server can take over the stage")
	}
	return r.pick(candidates), nil
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

// neighbourDelay returns the time of the hops from the previous stage and to the next one.
func (r *Router) neighbourDelay(chain pipeline.Chain, stage int, dc string) time.Duration {
	before := r.dataCentre
	if stage > 0 {
		before = chain[stage-1].Server.DataCentre
	}
	after := r.dataCentre
	if stage+1 < len(chain) {
		after = chain[stage+1].Server.DataCentre
	}
	return r.links.between(before, dc).transferTime(activationBytes) + r.links.between(dc, after).transferTime(activationBytes)
}
