package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Forecast is the capacity and speed of a pool's backend servers, as the router predicts them.
type Forecast struct {
	// Slots is the number of requests that all servers together can run at the same time. 0 means
	// that there is no server; then every request starts at once, and the router refuses it.
	Slots int
	// FirstToken is the time to the first token without the time for the prompt, or the duration of
	// a plain call.
	FirstToken time.Duration
	// Prefill is the time for one token of the prompt.
	Prefill time.Duration
	// Gap is the time between tokens.
	Gap time.Duration
	// FullLoadFactor is the factor by which times grow when all slots are taken; 0 means 1.
	FullLoadFactor float64
	// LateReaders bounds the late requests of this instance that run and have not begun to be answered;
	// 0 means no bound.
	LateReaders int
	// Readers bounds all requests of this instance that run and have not begun to be answered; 0 means no bound. Those
	// that take longer than their objective don't count.
	Readers int
}

// pool is the state of one pool at this instance.
type pool struct {
	name     string
	forecast Forecast
	// classes are ordered by rank.
	classes []*class
	// inFlight counts the requests that run or wait, by workspace.
	inFlight map[string]int
	running  int
	// lateReading is the number of running late requests whose answer has not begun.
	lateReading int
	// unbegun holds the running requests whose answer has not begun, and reading is the number of those whose prompts
	// are being read.
	unbegun map[*entry]struct{}
	reading int
	// localCapacity is this instance's part of the pool's capacity, in requests.
	localCapacity float64
	// isRanked is set if classes compete, or if isUnnamed is.
	isRanked bool
	// isUnnamed is set if some demand of other instances isn't known by workspace: then there may be so many
	// instances that limits aren't rounded up, and each class is held to its own.
	isUnnamed bool
	// othersRunning is the number of requests that other instances run, as far as they are known.
	othersRunning int
	// places are the requests that this instance may run in all classes while isUnnamed is set.
	places places
	// blockedAt is when a started request last found no server with room, and runningWhenBlocked the number of
	// requests that all instances ran then.
	blockedAt          time.Time
	runningWhenBlocked int
	// isHeld is set from then until the first Tick after blockedPause: nothing starts.
	isHeld bool
	service
}

func newPool(name string) *pool {
	return &pool{name: name, inFlight: make(map[string]int), unbegun: make(map[*entry]struct{}), service: service{ratio: 1}}
}

// class returns the class of a rank.
func (p *pool) class(rank int) *class {
	i, ok := slices.BinarySearchFunc(p.classes, rank, func(k *class, rank int) int { return cmp.Compare(k.rank, rank) })
	if !ok {
		p.classes = slices.Insert(p.classes, i, newClass(rank))
	}
	return p.classes[i]
}

// removeIdle removes the workspaces without demand.
func (p *pool) removeIdle() {
	for _, k := range p.classes {
		k.removeIdle()
	}
}

func (p *pool) queued() int {
	n := 0
	for _, k := range p.classes {
		n += k.queued()
	}
	return n
}

// enqueue adds a request to the queue of its class.
func (p *pool) enqueue(e *entry, k *class) {
	e.class = k
	e.dueAt = e.Deadline
	if due := e.arrivedFirst.Add(maxWaitFactor * e.objective()); e.objective() > 0 && due.Before(e.Deadline) {
		e.dueAt = due
	}
	e.queue = k.workspace(e.Workspace, e.Share)
	e.queue.add(e)
}

// markLate moves the waiting requests that can no longer be in time to the class of late ones.
func (p *pool) markLate(now time.Time) {
	var late []*entry
	for _, k := range p.classes {
		if k.isLate() {
			continue
		}
		for _, w := range k.workspaces {
			for _, e := range w.waiting {
				if p.isLate(now, e) {
					late = append(late, e)
				}
			}
		}
	}
	for _, e := range late {
		e.queue.remove(e)
		p.enqueue(e, p.class(LateRank))
	}
}

// isLate reports whether a request can no longer begin to be answered within its objective, as fast as answers have
// begun lately. A time that is only forecast counts for half of the objective at most, so that a forecast that is too
// slow doesn't make every request late.
func (p *pool) isLate(now time.Time, e *entry) bool {
	if e.InTimeUntil.IsZero() {
		return false
	}
	left := e.InTimeUntil.Sub(now)
	if first, ok := p.usualFirst(now); ok {
		return left < min(first, e.objective())
	}
	half := e.objective() / 2
	if left >= half {
		return false
	}
	r := e.Request
	r.Tokens = 0
	return left < min(p.serviceTime(now, r), half)
}

// roundingError is the tolerance for floating-point errors in the sum of granted parts.
const roundingError = 1e-6

// hasCapacity reports whether this instance may start one more request of the class.
func (p *pool) hasCapacity(k *class) bool {
	switch {
	case p.isHeld:
		return false
	case p.forecast.Slots == 0:
		return true
	case !p.mayRead():
		return false
	case k.isLate() && p.forecast.LateReaders > 0 && p.lateReading >= p.forecast.LateReaders:
		return false
	case !p.isUnnamed:
		return p.hasLocalCapacity()
	}
	// A whole place of the class is free at another instance if it isn't here.
	return k.running < k.places.whole || k.places.canTake(k.running) && p.places.canTake(p.running)
}

func (p *pool) hasLocalCapacity() bool {
	return float64(p.running) < math.Ceil(p.localCapacity-roundingError)
}

// urgentFactor is how many predicted service times before its deadline a late request goes first.
const urgentFactor = 2

// next returns the request that starts next, or nil. It is of the class that goes first among those that may start
// one, and of the workspace that was served least there. A late request that is about to miss its deadline goes
// before all others.
func (p *pool) next(now time.Time) *entry {
	at := p.pace(now)
	isDue := func(e *entry) bool { return now.Add(urgentFactor * p.pacedTime(at, e.Request)).After(e.Deadline) }
	var first *entry
	order := 0
	for _, k := range p.classes {
		w := k.nextWorkspace()
		if w == nil || !p.hasCapacity(k) {
			continue
		}
		if k.isLate() {
			if i := slices.IndexFunc(w.waiting, isDue); i >= 0 {
				return w.waiting[i]
			}
		}
		if o := k.places.order(k.running); first == nil || o < order {
			first, order = w.waiting[0], o
		}
	}
	return first
}

// evictionCandidate returns the request to remove from a full queue. It is of the least urgent rank, and late if
// such a request waits. Else it is the one with the latest deadline of the workspace with the most waiting requests
// in proportion to its share.
func (p *pool) evictionCandidate() *entry {
	var late *entry
	var least *class
	for _, k := range p.classes {
		if k.queued() == 0 {
			continue
		}
		if !k.isLate() {
			least = k
			continue
		}
		for _, e := range k.nextWorkspace().waiting {
			if late == nil || e.rank() >= late.rank() {
				late = e
			}
		}
	}
	if late != nil && (least == nil || late.rank() >= least.rank) {
		return late
	}
	return least.evictionCandidate()
}

func (k *class) evictionCandidate() *entry {
	var most *workspace
	for _, w := range k.withWaiting() {
		if most == nil || len(w.waiting)*most.share > len(most.waiting)*w.share {
			most = w
		}
	}
	return most.waiting[len(most.waiting)-1]
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
