package admission

import (
	"math"
	"slices"
	"time"
)

// maxWaitFactor is the longest wait of a request in multiples of its objective. Callers give up a silent request
// after about four times its objective.
const maxWaitFactor = 3

// objective returns the time in which the request has to begin to be answered; 0 means that there is none.
func (e *entry) objective() time.Duration {
	if e.InTimeUntil.IsZero() {
		return 0
	}
	return max(e.Objective, e.InTimeUntil.Sub(e.arrived))
}

// waitsUntil returns the time at which a waiting request is refused, and false if only its deadline counts.
func (e *entry) waitsUntil() (time.Time, bool) {
	objective := e.objective()
	return e.arrived.Add(maxWaitFactor * objective), objective > 0
}

// minLimit replaces smaller limits as a divisor, so that predicted waits stay finite.
const minLimit = 0.01

// waitTime predicts how long a queued request waits for its start.
func (p *pool) waitTime(now time.Time, e *entry) time.Duration {
	ahead := slices.Index(e.queue.waiting, e) + 1
	if p.hasCapacity(e.class) {
		ahead--
	}
	return p.waitBehind(p.pace(now), e, e.queue, float64(ahead))
}

// waitBehind predicts the wait for a number of places in a queue.
func (p *pool) waitBehind(at pace, e *entry, w *workspace, places float64) time.Duration {
	return time.Duration(float64(p.expectedTime(at, e)) * places / max(w.limit, minLimit))
}

// isHopeless reports whether a new request has others before it and its predicted wait is longer than it may wait.
// One that came back late is judged as a newcomer of its rank would be, if that is better.
func (p *pool) isHopeless(now time.Time, e *entry, wait time.Duration) bool {
	until, isBounded := e.waitsUntil()
	if !isBounded || !now.Add(wait).After(until) || e.class.queued() == 1 {
		return false
	}
	if !e.class.isLate() {
		return true
	}
	newcomers := p.class(e.rank()).workspace(e.Workspace, e.Share)
	if len(newcomers.waiting) == 0 {
		return false
	}
	return now.Add(p.waitBehind(p.pace(now), e, newcomers, float64(len(newcomers.waiting)+1))).After(until)
}

// expiryWaitFactor is the fraction of a waiting request's predicted wait that must fit before its
// deadline. It is below 1 to keep requests that end in time if they wait a little less than
// predicted.
const expiryWaitFactor = 0.8

// expired returns the waiting requests that are no longer expected to end before their deadline, or that have
// waited as long as they may.
func (p *pool) expired(now time.Time) []*entry {
	at := p.pace(now)
	var expired []*entry
	for _, k := range p.classes {
		for _, w := range k.withWaiting() {
			for i, e := range w.waiting {
				wait := p.waitBehind(at, e, w, expiryWaitFactor*float64(i))
				until, isBounded := e.waitsUntil()
				if now.Add(wait+p.endTime(now, at, e)).After(e.Deadline) || isBounded && now.After(until) {
					expired = append(expired, e)
				}
			}
		}
	}
	return expired
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to retry.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retrySpread is the ratio of the latest to the earliest retry of callers that were refused at
	// the same time.
	retrySpread = 3
	// minDrain replaces a smaller limit of a class, in requests, in the time after which it has room.
	minDrain = 0.1
)

// refuse returns the refusal of a request. The caller is asked to retry when the requests that are as urgent are
// expected to have started, with jitter so that not all callers retry at once, and more urgent ones first.
func (c *Controller) refuse(p *pool, e *entry, reason Reason, predicted time.Duration) Action {
	backlog, position, ranks := p.backlogTime(e.rank())
	base := min(maxRetryAfter/retrySpread, max(minRetryAfter, backlog))
	spread := 1 + (retrySpread-1)*(float64(position)+c.random.Float64())/float64(ranks)
	retryAfter := max(time.Duration(math.Round(float64(base)*spread)), e.ReturnAfter)
	c.expectReturn(c.now, e, retryAfter)
	return Action{
		ID:         e.ID,
		Verdict:    Refuse,
		Rank:       e.rank(),
		Reason:     reason,
		RetryAfter: retryAfter,
		Predicted:  predicted,
	}
}

// backlogTime predicts how long it takes until the queue of requests that are at least as urgent as a rank is
// empty. It also returns the position of the rank among those that have demand here, and their number.
func (p *pool) backlogTime(rank int) (backlog time.Duration, position, ranks int) {
	if !p.isRanked {
		return drainTime(p.averageTime, p.queued(), max(p.localCapacity, 1)), 0, 1
	}
	queued, limit := 0, 0.0
	for _, k := range p.classes {
		if k.isLate() || k.rank != rank && k.running+k.queued() == 0 {
			continue
		}
		ranks++
		if k.rank > rank {
			continue
		}
		if k.rank < rank {
			position++
		}
		queued += k.queued()
		limit += k.limit
		backlog = max(backlog, drainTime(max(p.averageTime, p.meanTime), queued, max(limit, minDrain)))
	}
	return backlog, position, max(1, ranks)
}

// drainTime predicts how long it takes until a queue is empty if requests take the given time.
func drainTime(service time.Duration, queued int, limit float64) time.Duration {
	return time.Duration(float64(service) * float64(queued+1) / limit)
}
