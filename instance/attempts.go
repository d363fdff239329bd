package instance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// proposeTimeout is how long a control instance is waited for before another one is asked as well: it may be late, and
	// answer yet, or be paused.
	proposeTimeout = 400 * time.Millisecond
	// proposeRetryDelay is the pause after a control instance that could not help and named no other one. It doubles up to
	// maxProposeRetryDelay, so that proposers don't take the time of those that elect a leader.
	proposeRetryDelay    = 25 * time.Millisecond
	maxProposeRetryDelay = 100 * time.Millisecond
)

// attempts decides when a proposer asks another control instance for the result of one command. It is not safe for
// concurrent use.
type attempts struct {
	// open holds when each control instance was asked that has not answered, and overdue those of them that
	// takeOverdue has returned.
	open    map[string]time.Time
	overdue map[string]bool
	// next is when another control instance may be asked.
	next  time.Time
	delay time.Duration
	// failed counts the attempts that have ended without a result.
	failed map[string]int
}

func newAttempts() *attempts {
	return &attempts{open: make(map[string]time.Time), overdue: make(map[string]bool), failed: make(map[string]int), delay: proposeRetryDelay}
}

// isOpen reports whether a control instance was asked and has not answered.
func (a *attempts) isOpen(address string) bool {
	_, ok := a.open[address]
	return ok
}

// begin records that a control instance is asked.
func (a *attempts) begin(now time.Time, address string) {
	a.open[address], a.next = now, now.Add(proposeTimeout)
}

// end records that an attempt has ended without a result. target is the control instance to ask next, or empty. One that
// is asked already is waited for.
func (a *attempts) end(now time.Time, address, target string) {
	wasOverdue := a.overdue[address]
	delete(a.open, address)
	delete(a.overdue, address)
	a.failed[address]++
	switch {
	case target != "" && !a.isOpen(target):
		a.next = now
	case target != "":
		a.delay = maxProposeRetryDelay
		a.postpone(now)
	case !wasOverdue:
		a.postpone(now)
	}
}

// postpone delays the next attempt.
func (a *attempts) postpone(now time.Time) {
	a.next = now.Add(a.delay)
	a.delay = min(2*a.delay, maxProposeRetryDelay)
}

// takeOverdue returns the control instances that have not answered within proposeTimeout, each once.
func (a *attempts) takeOverdue(now time.Time) []string {
	var out []string
	for address, asked := range a.open {
		if !a.overdue[address] && now.Sub(asked) >= proposeTimeout {
			a.overdue[address] = true
			out = append(out, address)
		}
	}
	return out
}

// describe says what became of the attempts.
func (a *attempts) describe(now time.Time) string {
	var parts []string
	for address, n := range a.failed {
		parts = append(parts, fmt.Sprintf("%s: %d attempts failed", address, n))
	}
	for address, asked := range a.open {
		parts = append(parts, fmt.Sprintf("%s: no answer for %d ms", address, now.Sub(asked).Milliseconds()))
	}
	if len(parts) == 0 {
		return "none is known"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
