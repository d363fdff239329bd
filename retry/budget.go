// Package retry limits retries: it provides retry budgets, backoff, passive health checks of
// servers, and hedge delays.
package retry

import "time"

const (
	// defaultRatio is the number of retries that each request adds to its budgets.
	defaultRatio = 0.1
	// defaultCapacity is the initial and the maximum number of retries of a budget.
	defaultCapacity = 10
	// defaultRefillPerSecond is the number of retries that a budget gains per second. It allows a
	// service with few requests to retry at all.
	defaultRefillPerSecond = 0.2
	// maxBudgets limits the number of budgets that are kept.
	maxBudgets = 4096
)

// Key identifies the two budgets that a request draws on.
type Key struct {
	Workspace string
	Service   string
}

type budgetKey struct {
	isService bool
	name      string
}

type budget struct {
	retries    float64
	refilledAt time.Time
}

// Budgets limits retries to a share of the requests, per workspace and per service, so that
// retries can't sustain an overload. It is not safe for concurrent use.
type Budgets struct {
	ratio    float64
	capacity float64
	// initial is the number of retries of a new budget.
	initial         float64
	refillPerSecond float64
	current         map[budgetKey]*budget
	// previous holds the budgets that were in current when current was last replaced by an empty
	// map.
	previous map[budgetKey]*budget
}

// NewBudgets returns a Budgets in which each new budget starts full.
func NewBudgets() *Budgets {
	return &Budgets{
		ratio: defaultRatio, capacity: defaultCapacity, initial: defaultCapacity, refillPerSecond: defaultRefillPerSecond,
		current: make(map[budgetKey]*budget),
	}
}

// RecordRequest records the first send of a request.
func (b *Budgets) RecordRequest(now time.Time, k Key) {
	for _, x := range b.pair(now, k) {
		x.retries = min(b.capacity, x.retries+b.ratio)
	}
}

// Allow reports whether the request may be sent again, and if so takes one retry from both
// budgets.
func (b *Budgets) Allow(now time.Time, k Key) bool {
	if !b.Has(now, k) {
		return false
	}
	for _, x := range b.pair(now, k) {
		x.retries--
	}
	return true
}

// Has reports whether Allow would allow the request to be sent again.
func (b *Budgets) Has(now time.Time, k Key) bool {
	for _, x := range b.pair(now, k) {
		if x.retries < 1 {
			return false
		}
	}
	return true
}

func (b *Budgets) pair(now time.Time, k Key) [2]*budget {
	return [2]*budget{
		b.budget(now, budgetKey{name: k.Workspace}),
		b.budget(now, budgetKey{isService: true, name: k.Service}),
	}
}

// budget returns the budget of the given name, creating it if necessary. Budgets that have not
// been used for long are dropped, one generation at a time; a dropped budget starts anew.
func (b *Budgets) budget(now time.Time, n budgetKey) *budget {
	x, ok := b.current[n]
	if !ok {
		x, ok = b.previous[n]
	}
	if !ok {
		x = &budget{retries: b.initial, refilledAt: now}
	}
	if len(b.current) >= maxBudgets/2 {
		b.previous = b.current
		b.current = make(map[budgetKey]*budget)
	}
	b.current[n] = x
	x.refill(now, b.capacity, b.refillPerSecond)
	return x
}

func (x *budget) refill(now time.Time, capacity, perSecond float64) {
	x.retries = min(capacity, x.retries+perSecond*max(0, now.Sub(x.refilledAt).Seconds()))
	x.refilledAt = now
}
