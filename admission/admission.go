// Package admission decides which requests start, wait or are refused.
//
// Each service's backend servers form a pool with capacity for a number of requests. The capacity
// is divided among workspaces in proportion to their shares and up to their demand. Each
// workspace's part is divided among the instances in proportion to the workspace's demand at each
// instance. Instances report their demand to each other, so no request needs a call to another
// instance.
//
// A request that is not expected to end before its deadline is refused at once.
//
// Requests may have ranks and objectives. Under shortage the capacity is granted to ranks in order, with a least
// part for each. Requests that can no longer meet their objective are late: they come after the others, with a
// least part for all of them. See docs/design/0606-admission-by-rank.md.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Request is a request to be admitted.
type Request struct {
	ID        string
	Pool      string
	Workspace string
	// Share is the workspace's weight, at least 1.
	Share int
	// MaxInFlight bounds the workspace's requests at this instance, waiting ones included.
	MaxInFlight int
	Deadline    time.Time
	// Rank orders requests under shortage; 0 is the most urgent, MaxRank the least.
	Rank int
	// InTimeUntil is when the request has to begin to be answered by its objective; zero means no objective. A
	// request that is past it is late.
	InTimeUntil time.Time
	// Objective is the time in which requests of this kind have to begin to be answered; zero means that
	// InTimeUntil tells it.
	Objective time.Duration
	// Caller is the same for a request and its repetitions; empty means that repetitions aren't recognized.
	Caller string
	// ReturnAfter is the least time after which its caller is asked to come back if it is refused.
	ReturnAfter time.Duration
	Size
}

// Size holds the properties of a request that its service time depends on.
type Size struct {
	PromptTokens int
	// Tokens is the length of the answer; 0 for a plain call.
	Tokens int
}

// Verdict is the decision about a request.
type Verdict int

// The verdicts.
const (
	// Start means that the request should be dispatched now.
	Start Verdict = iota
	// Wait means that a later Action starts or refuses the request.
	Wait
	// Refuse means that the request must not be dispatched.
	Refuse
)

// Reason is why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonDeadline  Reason = "it can't end before its deadline"
	ReasonQueueFull Reason = "the queue is full"
	ReasonLimit     Reason = "the workspace has its most requests in flight"
	ReasonWait      Reason = "no room is expected while its caller waits"
	ReasonEarly     Reason = "its caller was asked to come back later"
)

// Action is the decision about a request that arrived or waited.
type Action struct {
	ID      string
	Verdict Verdict
	// Rank is the rank of the request.
	Rank int
	// Reason and RetryAfter are set if Verdict is Refuse.
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the expected time until the answer is complete.
	Predicted time.Duration
	// PredictedWait is the part of it until the start, for a new request that waits or is refused.
	PredictedWait time.Duration
}

// Options configure a Controller.
type Options struct {
	// MaxQueued bounds the requests that wait in one pool.
	MaxQueued int
	// Seed seeds the random part of RetryAfter.
	Seed uint64
	// ReportLag is the time until other instances hear of a change at this one; 0 means none.
	ReportLag time.Duration
}

// Controller makes the admission decisions of one instance. It is not safe for concurrent use.
type Controller struct {
	options Options
	random  *rand.Rand
	pools   map[string]*pool
	peers   map[string]Usage
	// others is the sum of the peers' reports by pool; nil after a change of a report.
	others map[string]otherDemand
	// requests holds the requests that run or wait, by ID.
	requests map[string]*entry
	// returning holds the callers that were refused, by Request.Caller.
	returning map[string]returning
	// arrived counts the requests that have arrived.
	arrived uint64
	// now is the time of the latest event.
	now time.Time
}

// entry is a request that runs or waits.
type entry struct {
	Request
	pool *pool
	// class and queue are those that the request waits in or was started from.
	class *class
	queue *workspace
	// number is the place in the order of arrivals.
	number  uint64
	arrived time.Time
	// arrivedFirst is arrived, or when the request arrived before it was refused if its caller came back.
	arrivedFirst time.Time
	// dueAt orders the requests of a queue: the deadline, or the longest wait since arrivedFirst if that is earlier.
	dueAt     time.Time
	running   bool
	begun     bool
	begunAt   time.Time
	started   time.Time
	predicted time.Duration
	// correction is the factor by which the forecast was multiplied to get predicted.
	correction float64
	// tookPlace and tookOfClass mean that the start used up credit of the pool's and of the class's places.
	tookPlace, tookOfClass bool
	// charged is by how much the start advanced the virtual time of the queue.
	charged float64
}

// rank returns the rank of the request, from 0 to MaxRank.
func (e *entry) rank() int { return min(MaxRank, max(0, e.Rank)) }

// New returns a controller without pools.
func New(o Options) *Controller {
	return &Controller{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, o.Seed)),
		pools:     make(map[string]*pool),
		peers:     make(map[string]Usage),
		requests:  make(map[string]*entry),
		returning: make(map[string]returning),
	}
}

// SetForecast sets the capacity and speed of a pool, and creates the pool if it doesn't exist.
func (c *Controller) SetForecast(name string, f Forecast) {
	c.pool(name).forecast = f
}

// NeedsForecast reports whether the pool has no forecast, or one without slots.
func (c *Controller) NeedsForecast(name string) bool {
	p, ok := c.pools[name]
	return !ok || p.forecast.Slots == 0
}

func (c *Controller) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = newPool(name)
		c.pools[name] = p
	}
	return p
}

// Arrive decides about a new request. The first action is about the request itself, the others
// are about requests that were waiting.
func (c *Controller) Arrive(now time.Time, r Request) []Action {
	c.now = now
	p := c.pool(r.Pool)
	e := &entry{Request: r, pool: p, number: c.arrived, arrived: now, arrivedFirst: now}
	c.arrived++
	k := p.class(e.rank())
	if p.isLate(now, e) {
		k = p.class(LateRank)
	}
	if p.inFlight[r.Workspace] >= r.MaxInFlight {
		return []Action{c.refuse(p, e, ReasonLimit, p.serviceTime(now, r))}
	}
	away := time.Duration(0)
	if e.arrivedFirst, away = c.welcome(now, p, e); away > 0 {
		return []Action{{ID: r.ID, Verdict: Refuse, Rank: e.rank(), Reason: ReasonEarly, RetryAfter: away}}
	}
	p.class(e.rank()).observeArrival(now)
	c.requests[r.ID] = e
	p.inFlight[r.Workspace]++
	p.enqueue(e, k)
	others := c.dispatch(now, p)
	if i := slices.IndexFunc(others, func(a Action) bool { return a.ID == r.ID }); i >= 0 {
		decision := others[i]
		return slices.Insert(slices.Delete(others, i, i+1), 0, decision)
	}
	return append(c.queueNew(now, e), others...)
}

// queueNew decides whether a new request that can't start at once waits, and which one leaves a queue that is full.
func (c *Controller) queueNew(now time.Time, e *entry) []Action {
	p := e.pool
	wait := p.waitTime(now, e)
	predicted := wait + p.endTime(now, p.pace(now), e)
	reason := Reason("")
	switch {
	case now.Add(predicted).After(e.Deadline):
		reason = ReasonDeadline
	case p.isHopeless(now, e, wait):
		reason = ReasonWait
	}
	if reason != "" {
		c.drop(e)
		p.removeIdle()
		refusal := c.refuse(p, e, reason, predicted)
		refusal.PredictedWait = wait
		return []Action{refusal}
	}
	decision := Action{ID: e.ID, Verdict: Wait, Rank: e.rank(), Predicted: predicted, PredictedWait: wait}
	if p.queued() <= c.options.MaxQueued {
		return []Action{decision}
	}
	out := p.evictionCandidate()
	c.drop(out)
	refusal := c.refuse(p, out, ReasonQueueFull, p.serviceTime(now, out.Request))
	if out == e {
		return []Action{refusal}
	}
	return []Action{decision, refusal}
}

// Begun tells that the answer of a running request has begun.
func (c *Controller) Begun(now time.Time, id string) {
	c.now = now
	e, ok := c.requests[id]
	if !ok || !e.running || e.begun {
		return
	}
	e.begun, e.begunAt = true, now
	if e.isReading(now) {
		e.pool.observeFirst(now, now.Sub(e.started))
	}
	delete(e.pool.unbegun, e)
	if e.class.isLate() {
		e.pool.lateReading--
	}
}

// Ended removes a request that has ended, and starts others in its place. If answered is true, the
// request got its complete answer, and its service time corrects later predictions.
func (c *Controller) Ended(now time.Time, id string, answered bool) []Action {
	c.now = now
	e, ok := c.requests[id]
	if !ok {
		return nil
	}
	if !e.running {
		c.drop(e)
		return c.dispatch(now, e.pool)
	}
	c.stop(e)
	c.forget(e)
	if answered {
		e.pool.observe(now, e.predicted, now.Sub(e.started), e.correction)
	}
	return c.dispatch(now, e.pool)
}

// Blocked tells that a request that was started found no server with room. It waits again in its old place.
// Nothing of the pool starts until the first Tick after blockedPause, and at most one request at each call for
// blockedMemory.
func (c *Controller) Blocked(now time.Time, id string) []Action {
	c.now = now
	e, ok := c.requests[id]
	if !ok || !e.running {
		return nil
	}
	p := e.pool
	c.stop(e)
	e.queue.virtualTime -= e.charged
	e.returnPlaces()
	p.enqueue(e, e.class)
	p.block(now)
	p.markLate(now)
	c.allocate(now, p)
	return c.expire(now, p)
}

// Tick starts the requests that can start now and refuses those that can no longer end in time.
func (c *Controller) Tick(now time.Time) []Action {
	c.now = now
	c.forgetReturning(now)
	var actions []Action
	for _, name := range sortedKeys(c.pools) {
		p := c.pools[name]
		p.release(now)
		if p.isUnnamed && p.queued() == 0 {
			continue
		}
		actions = append(actions, c.expire(now, p)...)
		actions = append(actions, c.dispatch(now, p)...)
	}
	return actions
}

// expire refuses the waiting requests that are expected to miss their deadlines or have waited too long.
func (c *Controller) expire(now time.Time, p *pool) []Action {
	var actions []Action
	for _, e := range p.expired(now) {
		c.drop(e)
		reason := ReasonDeadline
		if until, isBounded := e.waitsUntil(); isBounded && now.After(until) {
			reason = ReasonWait
		}
		actions = append(actions, c.refuse(p, e, reason, p.serviceTime(now, e.Request)))
	}
	return actions
}

// dispatch starts waiting requests while the pool has capacity.
func (c *Controller) dispatch(now time.Time, p *pool) []Action {
	p.markLate(now)
	p.countReading(now)
	c.allocate(now, p)
	actions := c.expire(now, p)
	starts := 0
	for !p.wasBlocked(now) || starts == 0 {
		e := p.next(now)
		if e == nil {
			break
		}
		e.queue.remove(e)
		c.start(now, e)
		starts++
		actions = append(actions, Action{ID: e.ID, Verdict: Start, Rank: e.rank(), Predicted: e.predicted})
	}
	p.removeIdle()
	return actions
}

func (c *Controller) start(now time.Time, e *entry) {
	p := e.pool
	e.running, e.begun = true, false
	e.started = now
	p.unbegun[e] = struct{}{}
	p.reading++
	e.predicted = p.serviceTime(now, e.Request)
	if p.isRanked {
		e.tookPlace = p.places.take(p.running)
		e.tookOfClass = e.class.places.take(e.class.running)
	}
	e.correction = p.correction(now)
	e.queue.running++
	e.class.running++
	p.running++
	if e.class.isLate() {
		p.lateReading++
	}
	e.class.charge(e.queue, e)
}

// stop takes a request from the running ones.
func (c *Controller) stop(e *entry) {
	p := e.pool
	e.running = false
	delete(p.unbegun, e)
	e.queue.running--
	e.class.running--
	p.running--
	if e.class.isLate() && !e.begun {
		p.lateReading--
	}
}

// drop removes a waiting request.
func (c *Controller) drop(e *entry) {
	e.queue.remove(e)
	c.forget(e)
}

func (c *Controller) forget(e *entry) {
	delete(c.requests, e.ID)
	p := e.pool
	if p.inFlight[e.Workspace]--; p.inFlight[e.Workspace] == 0 {
		delete(p.inFlight, e.Workspace)
	}
}
