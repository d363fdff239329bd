package admission

import (
	"cmp"
	"math"
	"time"
)

// workTurns: one of so many starts is that of the least work.
const workTurns = 2

// work returns what the order by work compares: the forecast of how long the servers are busy with a request.
func (p *pool) work(e *entry) time.Duration {
	return p.pacedTime(pace{load: 1, correction: 1}, e.Request)
}

// ordersByWork reports whether every second start of a class is that of the least work: under shortage, if what waits
// has objectives. Room then serves more callers in time. The other starts keep the order of arrivals, so that large
// requests are served at least half as often as all. Late requests keep their order, by which the first to be given up
// goes first.
func (p *pool) ordersByWork(k *class) bool { return p.isShort && !k.isLate() }

// mayGoByWork reports whether a request may start as the one of the least work. One whose caller came back before it
// was asked to may not, so that repeating at once gains nothing.
func (e *entry) mayGoByWork() bool { return e.objective() > 0 && !e.cameEarly }

// choose returns the request of a class that starts next, if the order of arrivals says inOrder.
func (p *pool) choose(k *class, inOrder *entry) *entry {
	if !p.ordersByWork(k) || !k.startsLeast {
		return inOrder
	}
	var least *entry
	for _, w := range k.workspaces {
		for _, e := range w.waiting {
			if !e.mayGoByWork() {
				continue
			}
			if least == nil || cmp.Or(cmp.Compare(p.work(e), p.work(least)), cmp.Compare(e.number, least.number)) < 0 {
				least = e
			}
		}
	}
	return cmp.Or(least, inOrder)
}

// takeTurn notes that a request of a class starts. Only a choice among several uses up a turn.
func (p *pool) takeTurn(k *class) {
	if p.ordersByWork(k) && k.queued() > 1 {
		k.startsLeast = !k.startsLeast
	}
}

// waitByWork predicts the wait of a request until it starts as the one of the least work.
func (p *pool) waitByWork(at pace, e *entry) time.Duration {
	if !p.ordersByWork(e.class) || !e.mayGoByWork() {
		return math.MaxInt64
	}
	own := p.work(e)
	shorter := 0
	for _, w := range e.class.workspaces {
		for _, other := range w.waiting {
			if other != e && p.work(other) <= own {
				shorter++
			}
		}
	}
	places := float64(workTurns * (shorter + 1))
	return time.Duration(float64(p.expectedTime(at, e)) * places / max(e.class.limit, minLimit))
}
