package emulate

import (
	"fmt"
	"sync"

	"github.com/balsamlb/balsamlb/fleet"
)

// maxCountedRequests bounds the requests whose layers are counted; the oldest are forgotten.
const maxCountedRequests = 50_000

// CallKey identifies what is counted for plain services.
type CallKey struct {
	Service string
	Key     string
}

// Counts is what the engines of one process have run, by their own count.
type Counts struct {
	mu         sync.Mutex
	tokens     map[string]map[int][]fleet.Range
	order      []string
	calls      map[CallKey]int
	violations []string
	layerRuns  uint64
}

// NewCounts returns empty counts.
func NewCounts() *Counts {
	return &Counts{tokens: make(map[string]map[int][]fleet.Range), calls: make(map[CallKey]int)}
}

// Summary is the form in which counts are served.
type Summary struct {
	Requests  int    `json:"requests"`
	LayerRuns uint64 `json:"layer_runs"`
	// Violations lists the tokens whose layers ran twice or out of order.
	Violations []string    `json:"violations"`
	Calls      []CallCount `json:"calls"`
}

// CallCount is how often one keyed call ran.
type CallCount struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Ran     int    `json:"ran"`
}

// ran notes that a range of layers ran for a token.
func (c *Counts) ran(request string, index int, r fleet.Range) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layerRuns += uint64(r.Len())
	tokens, ok := c.tokens[request]
	if !ok {
		tokens = make(map[int][]fleet.Range)
		c.tokens[request] = tokens
		c.order = append(c.order, request)
		c.forgetOldest()
	}
	at := 0
	if k := len(tokens[index]); k > 0 {
		at = tokens[index][k-1].To
	}
	if r.From != at {
		c.violations = append(c.violations, fmt.Sprintf("%s token %d: layers %d-%d ran after layer %d", request, index, r.From, r.To, at))
	}
	tokens[index] = append(tokens[index], r)
}

func (c *Counts) forgetOldest() {
	if len(c.order) > maxCountedRequests {
		delete(c.tokens, c.order[0])
		c.order = c.order[1:]
	}
}

// called notes that a plain call ran and returns how often it has.
func (c *Counts) called(k CallKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[k]++
	return c.calls[k]
}

// Summary returns the counts so far.
func (c *Counts) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Requests: len(c.tokens), LayerRuns: c.layerRuns, Violations: append([]string{}, c.violations...)}
	for k, n := range c.calls {
		s.Calls = append(s.Calls, CallCount{Service: k.Service, Key: k.Key, Ran: n})
	}
	return s
}
