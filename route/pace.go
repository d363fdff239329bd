package route

import (
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

const (
	// paceWeight is the weight of a new observation in the moving average.
	paceWeight = 0.2
	// paceHalfLife is the time in which an old observation loses half of its effect, so that
	// a server that was left is tried again.
	paceHalfLife = 10 * time.Second
	// minPace and maxPace bound an observation.
	minPace = 0.25
	maxPace = 50
)

// pace is a moving average of observed over promised time.
type pace struct {
	ratio float64
	at    time.Time
}

// at a later time the pace has decayed towards 1.
func (p pace) decayed(now time.Time) float64 {
	age := max(0, now.Sub(p.at))
	return 1 + (p.ratio-1)*math.Exp2(-age.Seconds()/paceHalfLife.Seconds())
}

func (p *pace) observe(now time.Time, ratio float64) {
	ratio = min(maxPace, max(minPace, ratio))
	p.ratio = (1-paceWeight)*p.decayed(now) + paceWeight*ratio
	p.at = now
}

// paces holds the pace of each server, and of each kind of accelerator for servers that were
// not yet observed.
type paces struct {
	servers map[string]*pace
	kinds   map[string]*pace
	// usual is the median pace of the servers, worked out at usualAt.
	usual   float64
	usualAt time.Time
}

const (
	// usualInterval is how often the usual pace is worked out.
	usualInterval = 500 * time.Millisecond
	// slowPace is the factor over the usual pace from which on a server counts as slow. What
	// slows all servers alike, as a high load does, is no reason to leave one of them.
	slowPace = 1.5
)

// maxKinds bounds the kinds of accelerators that are remembered.
const maxKinds = 64

func newPaces() *paces {
	return &paces{servers: make(map[string]*pace), kinds: make(map[string]*pace)}
}

// ratio returns how much slower than usual the server is, or 1.
func (p *paces) ratio(now time.Time, s *fleet.BackendServer) float64 {
	r := p.own(now, s) / p.median(now)
	if r < slowPace {
		return 1
	}
	return r
}

// median returns the usual pace.
func (p *paces) median(now time.Time) float64 {
	if age := now.Sub(p.usualAt); p.usual > 0 && age >= 0 && age < usualInterval {
		return p.usual
	}
	all := make([]float64, 0, len(p.servers))
	for _, s := range p.servers {
		all = append(all, s.decayed(now))
	}
	slices.Sort(all)
	p.usual = 1
	if len(all) > 0 {
		p.usual = all[(len(all)-1)/2]
	}
	p.usualAt = now
	return p.usual
}

func (p *paces) own(now time.Time, s *fleet.BackendServer) float64 {
	if own, ok := p.servers[s.Name]; ok {
		return own.decayed(now)
	}
	if kind, ok := p.kinds[s.Accelerator]; ok && s.Accelerator != "" {
		return kind.decayed(now)
	}
	return 1
}

func (p *paces) observe(now time.Time, s fleet.BackendServer, ratio float64) {
	observe(p.servers, s.Name, now, ratio)
	_, known := p.kinds[s.Accelerator]
	if s.Accelerator != "" && (known || len(p.kinds) < maxKinds) {
		observe(p.kinds, s.Accelerator, now, ratio)
	}
}

func observe(m map[string]*pace, key string, now time.Time, ratio float64) {
	p, ok := m[key]
	if !ok {
		p = &pace{ratio: 1, at: now}
		m[key] = p
	}
	p.observe(now, ratio)
}

func (p *paces) retain(known map[string]bool) {
	for name := range p.servers {
		if !known[name] {
			delete(p.servers, name)
		}
	}
}

// ObserveCall notes how long a plain call took.
func (r *Router) ObserveCall(now time.Time, s fleet.BackendServer, took time.Duration) {
	r.callPaces.observe(now, s, float64(took)/float64(callTime))
}

// ObserveStep notes how long a server took for a step, against what it promises. A server or
// link that degrades costs more with each observation, so it is left before it fails.
func (r *Router) ObserveStep(now time.Time, s fleet.BackendServer, promised, took time.Duration) {
	if promised <= 0 {
		return
	}
	r.paces.observe(now, s, float64(took)/float64(promised))
}
