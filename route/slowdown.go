package route

import (
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

const (
	// slowdownWeight is the weight of a new observation in the moving average.
	slowdownWeight = 0.2
	// slowdownHalfLife is the time in which an observation loses half of its effect, so that a
	// server that was avoided is tried again.
	slowdownHalfLife = 10 * time.Second
	// minSlowdown and maxSlowdown bound an observation.
	minSlowdown = 0.25
	maxSlowdown = 50
)

// slowdown is a moving average of the ratio of the observed time to the announced one.
type slowdown struct {
	ratio float64
	at    time.Time
}

// decayed returns the ratio at the given time. Without observations it decays towards 1.
func (d slowdown) decayed(now time.Time) float64 {
	age := max(0, now.Sub(d.at))
	return 1 + (d.ratio-1)*math.Exp2(-age.Seconds()/slowdownHalfLife.Seconds())
}

func (d *slowdown) observe(now time.Time, ratio float64) {
	ratio = min(maxSlowdown, max(minSlowdown, ratio))
	d.ratio = (1-slowdownWeight)*d.decayed(now) + slowdownWeight*ratio
	d.at = now
}

// slowdowns holds the ratio of each server. For servers that have not been observed yet, it also
// holds the ratio of each kind of accelerator.
type slowdowns struct {
	servers      map[string]*slowdown
	accelerators map[string]*slowdown
	// medianRatio is the median ratio of the servers, computed at medianAt.
	medianRatio float64
	medianAt    time.Time
}

const (
	// medianInterval is the time between two computations of the median.
	medianInterval = 500 * time.Millisecond
	// slowThreshold is the multiple of the median ratio from which on a server counts as slow. A
	// slowdown of all servers, for example by a high load, is no reason to avoid one of them.
	slowThreshold = 1.5
)

// maxAccelerators bounds the number of kinds of accelerators whose ratio is stored.
const maxAccelerators = 64

func newSlowdowns() *slowdowns {
	return &slowdowns{servers: make(map[string]*slowdown), accelerators: make(map[string]*slowdown)}
}

// ratio returns the factor by which the server is slower than the median, or 1 if it is not slow.
func (d *slowdowns) ratio(now time.Time, s *fleet.BackendServer) float64 {
	r := d.observed(now, s) / d.median(now)
	if r < slowThreshold {
		return 1
	}
	return r
}

// median returns the median ratio of the servers, which is recomputed every medianInterval.
func (d *slowdowns) median(now time.Time) float64 {
	if age := now.Sub(d.medianAt); d.medianRatio > 0 && age >= 0 && age < medianInterval {
		return d.medianRatio
	}
	all := make([]float64, 0, len(d.servers))
	for _, s := range d.servers {
		all = append(all, s.decayed(now))
	}
	slices.Sort(all)
	d.medianRatio = 1
	if len(all) > 0 {
		d.medianRatio = all[(len(all)-1)/2]
	}
	d.medianAt = now
	return d.medianRatio
}

func (d *slowdowns) observed(now time.Time, s *fleet.BackendServer) float64 {
	if server, ok := d.servers[s.Name]; ok {
		return server.decayed(now)
	}
	if kind, ok := d.accelerators[s.Accelerator]; ok && s.Accelerator != "" {
		return kind.decayed(now)
	}
	return 1
}

func (d *slowdowns) observe(now time.Time, s fleet.BackendServer, ratio float64) {
	observe(d.servers, s.Name, now, ratio)
	_, known := d.accelerators[s.Accelerator]
	if s.Accelerator != "" && (known || len(d.accelerators) < maxAccelerators) {
		observe(d.accelerators, s.Accelerator, now, ratio)
	}
}

func observe(m map[string]*slowdown, key string, now time.Time, ratio float64) {
	d, ok := m[key]
	if !ok {
		d = &slowdown{ratio: 1, at: now}
		m[key] = d
	}
	d.observe(now, ratio)
}

func (d *slowdowns) retain(known map[string]bool) {
	for name := range d.servers {
		if !known[name] {
			delete(d.servers, name)
		}
	}
}

// ObserveCall records how long a plain call took.
func (r *Router) ObserveCall(now time.Time, s fleet.BackendServer, took time.Duration) {
	r.callSlowdowns.observe(now, s, float64(took)/float64(idleCallTime))
}

// ObserveStep records how long a server took for a step, and the time that it announced for it.
// The cost of a server that becomes slower grows with each observation, so the router avoids the
// server before it fails.
func (r *Router) ObserveStep(now time.Time, s fleet.BackendServer, announced, took time.Duration) {
	if announced <= 0 {
		return
	}
	r.stepSlowdowns.observe(now, s, float64(took)/float64(announced))
}
