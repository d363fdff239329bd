// Package retry decides when a request that failed may be sent again: only within a budget,
// after a delay, and not to a server that has just failed.
package retry

import "time"

const (
	// ratio is the number of retries that each request adds to its budgets.
	ratio = 0.1
	// reserve is the most retries that a budget holds, and what it starts with.
	reserve = 10
	// refillPerSecond lets a service with few requests retry at all.
	refillPerSecond = 0.2
	// maxBudgets bounds the budgets that are kept.
	maxBudgets = 4096
)

// Key names the two budgets that a request draws on.
type Key struct {
	Workspace string
	Service   string
}

type budgetName struct {
	isService bool
	name      string
}

type budget struct {
	retries float64
	at      time.Time
}

// Budgets limits retries to a share of the requests, by workspace and by service, so that
// retries can't keep up an overload.
type Budgets struct {
	ratio   float64
	reserve float64
	held    map[budgetName]*budget
	// older is the generation before.
	older map[budgetName]*budget
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets {
	return &Budgets{ratio: ratio, reserve: reserve, held: make(map[budgetName]*budget)}
}

// Limit replaces the number of retries that each request adds, and the most that a budget holds.
func (b *Budgets) Limit(ratio, reserve float64) {
	b.ratio = ratio
	b.reserve = reserve
}

// Requested notes a request that is sent for the first time.
func (b *Budgets) Requested(now time.Time, k Key) {
	for _, x := range b.both(now, k) {
		x.retries = min(b.reserve, x.retries+b.ratio)
	}
}

// Allow reports whether the request may be sent once more, and takes that from both budgets.
func (b *Budgets) Allow(now time.Time, k Key) bool {
	both := b.both(now, k)
	for _, x := range both {
		if x.retries < 1 {
			return false
		}
	}
	for _, x := range both {
		x.retries--
	}
	return true
}

func (b *Budgets) both(now time.Time, k Key) [2]*budget {
	return [2]*budget{
		b.budget(now, budgetName{name: k.Workspace}),
		b.budget(now, budgetName{isService: true, name: k.Service}),
	}
}

// budget finds or makes a budget. Those that were not used for long are forgotten, a
// generation at a time; a forgotten one starts full again.
func (b *Budgets) budget(now time.Time, n budgetName) *budget {
	x, ok := b.held[n]
	if !ok {
		x, ok = b.older[n]
	}
	if !ok {
		x = &budget{retries: b.reserve, at: now}
	}
	if len(b.held) >= maxBudgets/2 {
		b.older = b.held
		b.held = make(map[budgetName]*budget)
	}
	b.held[n] = x
	x.refill(now, b.reserve)
	return x
}

func (x *budget) refill(now time.Time, reserve float64) {
	x.retries = min(reserve, x.retries+refillPerSecond*max(0, now.Sub(x.at).Seconds()))
	x.at = now
}
