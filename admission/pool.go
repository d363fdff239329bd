package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Forecast is the room and speed of a pool's backend servers, as the router predicts them.
type Forecast struct {
	// Slots is the number of requests that the servers run together; 0 means that there is no
	// server, and then nothing is held back, so that the router refuses it.
	Slots int
	// FirstToken is the time to the first token without the prompt, or of a plain call.
	FirstToken time.Duration
	// Prefill is the time for one token of the prompt.
	Prefill time.Duration
	// Gap is the time between tokens.
	Gap time.Duration
	// Full is the factor by which the times grow when all room is taken; 0 means 1.
	Full float64
}

const (
	// ratioWeight is the weight of a new observation of a request's time.
	ratioWeight = 0.1
	// ratioHalfLife is the time without an observation in which what was learned loses half of
	// its effect, so that a pool that looked too slow to use is tried again.
	ratioHalfLife = 3 * time.Second
	// minRatio and maxRatio bound an observation against the forecast.
	minRatio = 0.1
	maxRatio = 20
)

// pool is the state of one pool at this instance.
type pool struct {
	name       string
	forecast   Forecast
	workspaces map[string]*workspace
	running    int
	// allowed is this instance's part of the room, in requests.
	allowed float64
	// virtual is the virtual time of the fair order.
	virtual float64
	// ratio is a moving average of observed over forecast times, and spread that of its
	// absolute deviation.
	ratio  float64
	spread float64
	// learnedAt is when ratio was last updated, zero before the first time.
	learnedAt time.Time
	// mean is a moving average of the time of one request.
	mean time.Duration
}

// workspace is one workspace's state in a pool.
type workspace struct {
	name    string
	share   int
	running int
	// waiting is ordered by deadline.
	waiting []*entry
	// limit is this instance's part of what the workspace may run, in requests.
	limit float64
	// virtual is the virtual time at which the workspace may start its next request.
	virtual float64
}

func newPool(name string) *pool {
	return &pool{name: name, workspaces: make(map[string]*workspace), ratio: 1}
}

func (p *pool) workspace(name string, share int) *workspace {
	w, ok := p.workspaces[name]
	if !ok {
		w = &workspace{name: name, virtual: p.virtual}
		p.workspaces[name] = w
	}
	w.share = max(1, share)
	return w
}

// forgetIdle drops the workspaces without demand, so that their number is bounded by that of
// requests.
func (p *pool) forgetIdle() {
	for name, w := range p.workspaces {
		if w.running == 0 && len(w.waiting) == 0 && w.virtual <= p.virtual {
			delete(p.workspaces, name)
		}
	}
}

func (w *workspace) demand() int { return w.running + len(w.waiting) }

func (w *workspace) add(e *entry) {
	i, _ := slices.BinarySearchFunc(w.waiting, e, func(a, b *entry) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), -1)
	})
	w.waiting = slices.Insert(w.waiting, i, e)
}

func (w *workspace) remove(e *entry) {
	if i := slices.Index(w.waiting, e); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// hasRoom reports whether the pool may run one more request.
func (p *pool) hasRoom() bool {
	return p.forecast.Slots == 0 || float64(p.running) < math.Ceil(p.allowed-roundingError)
}

// roundingError is what the sum of granted parts may be off by.
const roundingError = 1e-6

// next returns the workspace whose request starts next, or nil. It is the one that has had
// the least for what it is granted.
func (p *pool) next() *workspace {
	if !p.hasRoom() {
		return nil
	}
	var best *workspace
	for _, w := range p.workspaces {
		if len(w.waiting) == 0 {
			continue
		}
		if best == nil || w.goesBefore(best) {
			best = w
		}
	}
	return best
}

func (w *workspace) goesBefore(o *workspace) bool {
	if w.virtual != o.virtual {
		return w.virtual < o.virtual
	}
	if d := w.waiting[0].Deadline.Compare(o.waiting[0].Deadline); d != 0 {
		return d < 0
	}
	return w.name < o.name
}

// charge moves the workspace's virtual time on by the request's size over what it is granted
// at this instance, so that over all instances it gets what it is granted in all.
func (p *pool) charge(w *workspace, e *entry) {
	p.virtual = max(p.virtual, min(w.virtual, p.leastVirtual(w.virtual)))
	w.virtual = max(w.virtual, p.virtual) + float64(1+e.Tokens)/max(w.limit, minLimit)
}

// leastVirtual returns the least virtual time of the workspaces that wait.
func (p *pool) leastVirtual(own float64) float64 {
	least := own
	for _, w := range p.workspaces {
		if len(w.waiting) > 0 {
			least = min(least, w.virtual)
		}
	}
	return least
}

// serviceTime predicts the time of a request once it has started. It adds the usual deviation,
// since a request that ends too late was run for nothing.
func (p *pool) serviceTime(now time.Time, r Request) time.Duration {
	f := p.forecast
	t := f.FirstToken + f.Prefill*time.Duration(r.PromptTokens) + f.Gap*time.Duration(max(0, r.Tokens-1))
	return time.Duration(float64(t) * p.growth() * p.factor(now))
}

// growth is the factor by which times grow with the room that is taken.
func (p *pool) growth() float64 {
	if p.forecast.Full <= 1 || p.allowed == 0 {
		return 1
	}
	return 1 + (p.forecast.Full-1)*min(1, float64(p.running+p.queued()+1)/p.allowed)
}

// factor is the usual time of a request over its forecast, with the usual deviation.
func (p *pool) factor(now time.Time) float64 {
	age := max(0, now.Sub(p.learnedAt))
	fading := math.Exp2(-age.Seconds() / ratioHalfLife.Seconds())
	return 1 + (p.ratio+p.spread-1)*fading
}

// observe learns from a request that has ended; factor is that of its prediction.
func (p *pool) observe(now time.Time, predicted, took time.Duration, factor float64) {
	p.mean += time.Duration(ratioWeight * float64(took-p.mean))
	if predicted <= 0 {
		return
	}
	p.learnedAt = now
	seen := float64(took) / float64(predicted) * factor
	seen = min(maxRatio, max(minRatio, seen))
	p.spread += ratioWeight * (math.Abs(seen-p.ratio) - p.spread)
	p.ratio += ratioWeight * (seen - p.ratio)
}

// meanTime returns the usual time of a request.
func (p *pool) meanTime(now time.Time, r Request) time.Duration {
	if p.mean == 0 {
		return p.serviceTime(now, r)
	}
	return max(p.mean, p.serviceTime(now, r)/2)
}

// waitOf predicts how long a queued request waits for its start.
func (p *pool) waitOf(now time.Time, w *workspace, e *entry) time.Duration {
	ahead := slices.Index(w.waiting, e) + 1
	rate := max(w.limit, minLimit)
	if p.hasRoom() {
		ahead--
	}
	return time.Duration(float64(p.meanTime(now, e.Request)) * float64(ahead) / rate)
}

// minLimit keeps a predicted wait finite.
const minLimit = 0.01

func (p *pool) queued() int {
	n := 0
	for _, w := range p.workspaces {
		n += len(w.waiting)
	}
	return n
}

// backlogTime predicts how long the queue takes to be worked off.
func (p *pool) backlogTime() time.Duration {
	room := max(p.allowed, 1)
	return time.Duration(float64(p.mean) * float64(p.queued()+1) / room)
}

// displaced returns the request that leaves a full queue: the one with the latest deadline of
// the workspace that has the most waiting for its share.
func (p *pool) displaced() *entry {
	var most *workspace
	for _, name := range sortedKeys(p.workspaces) {
		w := p.workspaces[name]
		if len(w.waiting) == 0 {
			continue
		}
		if most == nil || len(w.waiting)*most.share > len(most.waiting)*w.share {
			most = w
		}
	}
	return most.waiting[len(most.waiting)-1]
}

// hopeless is the part of the predicted wait that must fit before the deadline of a request
// that waits. Below 1 it keeps those that a little luck would still let end in time.
const hopeless = 0.8

// late returns the waiting requests that are not expected to end in time any more.
func (p *pool) late(now time.Time) []*entry {
	var late []*entry
	for _, name := range sortedKeys(p.workspaces) {
		w := p.workspaces[name]
		for i, e := range w.waiting {
			wait := time.Duration(hopeless * float64(p.meanTime(now, e.Request)) * float64(i) / max(w.limit, minLimit))
			if now.Add(wait + p.serviceTime(now, e.Request)).After(e.Deadline) {
				late = append(late, e)
			}
		}
	}
	return late
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
