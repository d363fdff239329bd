package emulate

import (
	"fmt"
	"slices"
	"sync"

	"github.com/balsamlb/balsamlb/fleet"
)

// maxCountedRequests bounds the number of requests whose layers are counted. The oldest are
// evicted.
const maxCountedRequests = 50_000

// CallKey identifies a keyed call of a plain service.
type CallKey struct {
	Service        string
	IdempotencyKey string
}

// Span is a half-open range of token indexes.
type Span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// LayerRun records the tokens for which a range of layers ran. A token that ran twice is in two
// spans.
type LayerRun struct {
	Layers fleet.Range `json:"layers"`
	Spans  []Span      `json:"spans"`
}

// RequestRun records the layers that the engines of a process ran for one request.
type RequestRun struct {
	Request string     `json:"request"`
	Runs    []LayerRun `json:"runs"`
	// Rebuilt and Imported count the entries of KV caches that were filled, one for each token
	// and layer.
	Rebuilt    int `json:"rebuilt,omitempty"`
	Imported   int `json:"imported,omitempty"`
	outOfOrder []string
}

// hasRun reports whether the layer ran for the token at the index.
func (rr *RequestRun) hasRun(layer, index int) bool {
	for _, run := range rr.Runs {
		if layer < run.Layers.From || layer >= run.Layers.To {
			continue
		}
		for _, sp := range run.Spans {
			if index >= sp.From && index < sp.To {
				return true
			}
		}
	}
	return false
}

// Counts counts what the engines of one process run.
type Counts struct {
	mu        sync.Mutex
	requests  map[string]*RequestRun
	order     []string
	calls     map[CallKey]int
	layerRuns uint64
}

// NewCounts returns empty counts.
func NewCounts() *Counts {
	return &Counts{requests: make(map[string]*RequestRun), calls: make(map[CallKey]int)}
}

// Summary is the JSON form of counts.
type Summary struct {
	Requests  int    `json:"requests"`
	LayerRuns uint64 `json:"layer_runs"`
	// Violations describes the tokens whose layers ran more than once or out of order.
	Violations []string     `json:"violations"`
	Calls      []CallCount  `json:"calls"`
	Runs       []RequestRun `json:"runs"`
}

// CallCount holds how often one keyed call ran.
type CallCount struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Ran     int    `json:"ran"`
}

// recordRun records that a range of layers ran for a token. followsLocal means that this process
// also emulates the previous stage, so that the layer before the range must have run already.
func (c *Counts) recordRun(request string, index int, r fleet.Range, followsLocal bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layerRuns += uint64(r.Len())
	rr := c.request(request)
	if followsLocal && r.From > 0 && !rr.hasRun(r.From-1, index) {
		rr.outOfOrder = append(rr.outOfOrder, fmt.Sprintf("%s token %d: layers %d-%d ran before layer %d", request, index, r.From, r.To, r.From-1))
	}
	i := slices.IndexFunc(rr.Runs, func(l LayerRun) bool { return l.Layers == r })
	if i < 0 {
		rr.Runs = append(rr.Runs, LayerRun{Layers: r})
		i = len(rr.Runs) - 1
	}
	run := &rr.Runs[i]
	if k := len(run.Spans); k > 0 && run.Spans[k-1].To == index {
		run.Spans[k-1].To++
		return
	}
	run.Spans = append(run.Spans, Span{From: index, To: index + 1})
}

func (c *Counts) recordRebuild(request string, r fleet.Range, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request(request).Rebuilt += r.Len() * tokens
}

func (c *Counts) recordImport(request string, r fleet.Range, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request(request).Imported += r.Len() * tokens
}

func (c *Counts) request(name string) *RequestRun {
	rr, ok := c.requests[name]
	if ok {
		return rr
	}
	rr = &RequestRun{Request: name}
	c.requests[name] = rr
	c.order = append(c.order, name)
	if len(c.order) > maxCountedRequests {
		delete(c.requests, c.order[0])
		c.order = c.order[1:]
	}
	return rr
}

// recordCall records that a plain call ran and returns how often it has run.
func (c *Counts) recordCall(k CallKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[k]++
	return c.calls[k]
}

// Summary returns the counts so far.
func (c *Counts) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Requests: len(c.requests), LayerRuns: c.layerRuns, Violations: []string{}, Runs: []RequestRun{}}
	for _, name := range c.order {
		rr := c.requests[name].clone()
		s.Violations = append(s.Violations, rr.outOfOrder...)
		s.Violations = append(s.Violations, rr.repeatedRuns()...)
		s.Runs = append(s.Runs, rr)
	}
	for k, n := range c.calls {
		s.Calls = append(s.Calls, CallCount{Service: k.Service, Key: k.IdempotencyKey, Ran: n})
	}
	return s
}

func (rr *RequestRun) clone() RequestRun {
	out := *rr
	out.Runs = slices.Clone(rr.Runs)
	for i := range out.Runs {
		out.Runs[i].Spans = slices.Clone(out.Runs[i].Spans)
	}
	return out
}

// repeatedRuns describes the tokens for which a layer ran more than once.
func (rr RequestRun) repeatedRuns() []string {
	var out []string
	for i, a := range rr.Runs {
		for _, b := range rr.Runs[i:] {
			if max(a.Layers.From, b.Layers.From) < min(a.Layers.To, b.Layers.To) {
				out = append(out, rr.overlaps(a, b)...)
			}
		}
	}
	return out
}

// overlaps describes the tokens that are in a span of a and in a span of b. If a and b have the
// same layers, they are the same run, and overlaps compares its spans with each other.
func (rr RequestRun) overlaps(a, b LayerRun) []string {
	var out []string
	for i, x := range a.Spans {
		for j, y := range b.Spans {
			if a.Layers == b.Layers && j <= i {
				continue
			}
			if from, to := max(x.From, y.From), min(x.To, y.To); from < to {
				out = append(out, fmt.Sprintf("%s tokens %d-%d: layers %d-%d and %d-%d ran",
					rr.Request, from, to, a.Layers.From, a.Layers.To, b.Layers.From, b.Layers.To))
			}
		}
	}
	return out
}
