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
	// paceHalfLife is the time in which an observation loses half of its effect, so that a server
	// that was avoided is tried again.
	paceHalfLife = 10 * time.Second
	// minPace and maxPace bound an observation.
	minPace = 0.25
	maxPace = 50
)

// pace is a moving average of the ratio of the observed time to the announced one.
type pace struct {
	ratio float64
	at    time.Time
}

// decayed returns the ratio at the given time. Without observations it decays towards 1.
func (p pace) decayed(now time.Time) float64 {
	age := max(0, now.Sub(p.at))
	return 1 + (p.ratio-1)*math.Exp2(-age.Seconds()/paceHalfLife.Seconds())
}

func (p *pace) observe(now time.Time, ratio float64) {
	ratio = min(maxPace, max(minPace, ratio))
	p.ratio = (1-paceWeight)*p.decayed(now) + paceWeight*ratio
	p.at = now
}

// paces holds the ratio of each server, and that of each kind of accelerator for servers that
// have not been observed yet.
type paces struct {
	servers map[string]*pace
	kinds   map[string]*pace
	// usual is the median ratio of the servers, computed at usualAt.
	usual   float64
	usualAt time.Time
}

const (
	// usualInterval is the time between two computations of the median.
	usualInterval = 500 * time.Millisecond
	// slowPace is the factor over the median from which on a server counts as slow. A slowdown of
	// all servers, such as by a high load, is no reason to avoid one of them.
	slowPace = 1.5
)

// maxKinds bounds the number of kinds of accelerators with a ratio of their own.
const maxKinds = 64

func newPaces() *paces {
	return &paces{servers: make(map[string]*pace), kinds: make(map[string]*pace)}
}

// ratio returns the factor by which the server is slower than the median, or 1 if it is not slow.
func (p *paces) ratio(now time.Time, s *fleet.BackendServer) float64 {
	r := p.own(now, s) / p.median(now)
	if r < slowPace {
		return 1
	}
	return r
}

// median returns the median ratio of the servers, which is recomputed every usualInterval.
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

// ObserveCall records how long a plain call took.
func (r *Router) ObserveCall(now time.Time, s fleet.BackendServer, took time.Duration) {
	r.callPaces.observe(now, s, float64(took)/float64(callTime))
}

// ObserveStep records how long a server took for a step, and the time that it announced for it.
// The cost of a server or link that degrades grows with each observation, so it is avoided
// before it fails.
func (r *Router) ObserveStep(now time.Time, s fleet.BackendServer, promised, took time.Duration) {
	if promised <= 0 {
		return
	}
	r.paces.observe(now, s, float64(took)/float64(promised))
}
