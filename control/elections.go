package control

import (
	"time"

	"github.com/balsamlb/balsamlb/consensus"
)

// Observer takes measured values, in seconds. It must be safe for concurrent use.
type Observer interface{ Observe(seconds float64) }

// Observers observe what delays a replica. Each may be nil.
type Observers struct {
	// LoopDelay is by how much the replica's loop ran later than its next tick was due, Sync the time to save a
	// batch, and InputWait the time that a message of another replica waited in the queue.
	LoopDelay, Sync, InputWait Observer
}

// Elections is what a replica has seen of elections since the process started or its data folder was reset.
type Elections struct {
	consensus.ElectionCounts
	Term   uint64
	Leader string
}

// delayWindow is the time for which the greatest delays are kept, at least.
const delayWindow = time.Second

// recentMax is the greatest of the values of the last delayWindow, and of up to another one before.
type recentMax struct {
	began             time.Duration
	current, previous time.Duration
}

func (r *recentMax) add(now, value time.Duration) {
	if age := now - r.began; age >= delayWindow {
		r.previous = r.current
		if age >= 2*delayWindow {
			r.previous = 0
		}
		r.began, r.current = now, 0
	}
	r.current = max(r.current, value)
}

func (r *recentMax) get(now time.Duration) time.Duration {
	r.add(now, 0)
	return max(r.current, r.previous)
}

// delays are the latest delays of a replica, which its loop alone uses.
type delays struct {
	observers Observers
	// passBegan is when the loop last ran.
	passBegan             time.Duration
	loop, sync, inputWait recentMax
}

// observe records a delay.
func observe(o Observer, r *recentMax, now, delay time.Duration) {
	r.add(now, delay)
	if o != nil {
		o.Observe(delay.Seconds())
	}
}

// beginPass records that the loop runs.
func (d *delays) beginPass(now time.Duration) {
	if d.passBegan > 0 && now-d.passBegan >= tickInterval {
		observe(d.observers.LoopDelay, &d.loop, now, now-d.passBegan-tickInterval)
	}
	d.passBegan = now
}

// In electionLogInterval at most maxElectionLogs lines about elections are logged.
const (
	electionLogInterval = 10 * time.Second
	maxElectionLogs     = 20
)

// logElections logs why this replica campaigns or has stopped leading, and publishes the counts.
func (h *Host) logElections() {
	now := h.clock.last
	for _, e := range h.node.ElectionEvents() {
		leftOut := h.electionLog.Begin(now)
		if !h.electionLog.Allows() {
			continue
		}
		values := []any{
			"term", e.Term, "silent_ms", (time.Duration(e.SilentTicks) * tickInterval).Milliseconds(),
			"loop_delay_ms", h.delays.loop.get(now).Milliseconds(), "sync_ms", h.delays.sync.get(now).Milliseconds(),
			"input_wait_ms", h.delays.inputWait.get(now).Milliseconds(), "not_logged", leftOut,
		}
		if e.StepDown == 0 {
			h.log.Info("campaigns", values...)
			continue
		}
		h.log.Info("stepped down", append(values, "reason", e.StepDown.String())...)
	}
	e := Elections{ElectionCounts: h.node.ElectionCounts(), Term: h.node.Term(), Leader: h.node.Leader()}
	if last := h.elections.Load(); last == nil || *last != e {
		h.elections.Store(&e)
	}
}

// Elections returns what this replica has seen of elections. It is safe for concurrent use.
func (h *Host) Elections() Elections {
	if e := h.elections.Load(); e != nil {
		return *e
	}
	return Elections{}
}
