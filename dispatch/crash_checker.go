package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

const (
	// crashCheckInterval is how often servers that closed connections are checked for a crash.
	crashCheckInterval = 100 * time.Millisecond
	// fleetCheckInterval is how often the fleet is looked at while no server crashes.
	fleetCheckInterval = time.Second
	// longestLease is longer than any lease. A server that is still available this long after another
	// instance presumed its crash has announced itself since.
	longestLease = 10 * time.Second
)

// runCrashChecks periodically checks, until ctx ends, whether servers have crashed. A server has
// crashed if it has returned as another incarnation. It is presumed to have crashed while it has lost
// its lease without leaving.
func (d *Dispatcher) runCrashChecks(ctx context.Context) error {
	ticker := time.NewTicker(crashCheckInterval)
	defer ticker.Stop()
	var c crashChecker
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.check(now, d)
			d.applyAnnouncements(now)
			d.checkLinks(now)
		}
	}
}

// crashChecker compares the fleet with its earlier state.
type crashChecker struct {
	// known holds the incarnations of the servers that accepted work at knownAt.
	known   map[string]uint64
	knownAt time.Time
	// lost holds the incarnations that have lost their leases, with when that was found.
	lost map[quarantine.Crash]time.Time
}

// fate is what has become of an incarnation of a server.
type fate int

const (
	isRunning fate = iota
	hasLeft
	hasLostLease
	hasRestarted
)

// check records the servers that have crashed or returned. Without a crash or a closed connection to
// explain, it looks at the fleet only every fleetCheckInterval.
func (c *crashChecker) check(now time.Time, d *Dispatcher) {
	rs := d.resilience
	rs.mu.Lock()
	pending := rs.tracker.Pending(now)
	isCalm := len(pending) == 0 && !rs.tracker.HasRecentCrash(now)
	rs.mu.Unlock()
	if isCalm && now.Sub(c.knownAt) < fleetCheckInterval {
		return
	}
	present := make(map[string]uint64)
	for _, s := range d.fleet.Available() {
		present[s.Name] = s.Incarnation
	}
	leaving := d.leaving()
	fateOf := func(server string, incarnation uint64) fate {
		current, ok := present[server]
		switch {
		case ok && current > incarnation:
			return hasRestarted
		case ok:
			return isRunning
		case slices.Contains(leaving, server): // closes its connections without having crashed
			return hasLeft
		default:
			return hasLostLease
		}
	}
	c.checkLost(now, rs, present)
	for name, incarnation := range c.known {
		if f := fateOf(name, incarnation); f == hasRestarted || f == hasLostLease {
			c.recordLoss(now, rs, quarantine.Crash{Server: name, Incarnation: incarnation}, f)
		}
	}
	for _, p := range pending {
		switch f := fateOf(p.Server, p.Incarnation); f {
		case hasRestarted:
			rs.recordCrash(p.Server, p.Incarnation)
		case hasLostLease:
			c.recordLoss(now, rs, quarantine.Crash{Server: p.Server, Incarnation: p.Incarnation}, f)
			rs.recordPresumedCrash(p.Server, p.Incarnation)
		}
	}
	c.known, c.knownAt = present, now
}

// recordLoss records a crash that may have a common cause with others.
func (c *crashChecker) recordLoss(now time.Time, rs *resilience, crash quarantine.Crash, f fate) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.tracker.AddServerCrash(now, crash)
	if f != hasLostLease {
		return
	}
	if c.lost == nil {
		c.lost = make(map[quarantine.Crash]time.Time)
	}
	c.lost[crash] = now
}

// checkLost withdraws the presumed crashes of incarnations that are available again, and confirms those
// of servers that run as a later one.
func (c *crashChecker) checkLost(now time.Time, rs *resilience, present map[string]uint64) {
	for crash, at := range c.lost {
		current, ok := present[crash.Server]
		switch {
		case !ok && now.Sub(at) <= quarantine.TTL:
			continue
		case ok && current == crash.Incarnation:
			rs.recordReturn(crash)
		case ok && current > crash.Incarnation:
			rs.confirmCrash(crash)
		}
		delete(c.lost, crash)
	}
	rs.mu.Lock()
	presumed := rs.tracker.Presumed(now)
	rs.mu.Unlock()
	for _, p := range presumed {
		current, ok := present[p.Server]
		switch {
		case ok && current > p.Incarnation:
			rs.confirmCrash(p.Crash)
		case ok && current == p.Incarnation && now.Sub(p.At) > longestLease:
			rs.recordReturn(p.Crash)
		}
	}
}

// recordPresumedCrash is like recordCrash for a server that has lost its lease.
func (rs *resilience) recordPresumedCrash(server string, incarnation uint64) {
	rs.mu.Lock()
	findings := rs.tracker.PresumeCrashed(time.Now(), server, incarnation)
	rs.mu.Unlock()
	rs.publishFindings(server, findings)
}

// confirmCrash records that an incarnation has been replaced by a later one. Other instances see that
// themselves.
func (rs *resilience) confirmCrash(c quarantine.Crash) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.tracker.Confirm(time.Now(), c)
}

// recordReturn withdraws the presumed crashes of an incarnation. Other instances see its leases
// themselves.
func (rs *resilience) recordReturn(c quarantine.Crash) {
	rs.mu.Lock()
	withdrawn := rs.tracker.Returned(time.Now(), c)
	rs.mu.Unlock()
	for _, f := range withdrawn {
		rs.log.Info("backend server was only silent", "server", c.Server, "incarnation", c.Incarnation, "fingerprint", f.String())
	}
}
