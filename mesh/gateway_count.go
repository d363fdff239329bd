package mesh

import "time"

// gatewaySettleTime is how long a control instance must have been heard before its report of gateways is taken for
// complete. After a restart, each gateway may need 2.25 s to find its watch silent, 0.8 s until it dials again, and the
// first heartbeats of all take their time.
const gatewaySettleTime = 5 * time.Second

// gatewayReport is what a control instance reports about the gateways that watch it.
type gatewayReport struct {
	gateways int
	// rank is this gateway's place among them, from 0, or -1 if it is none of them.
	rank int
	// since is when the first heartbeat of this connection came.
	since     time.Time
	isSettled bool
}

// gatewayCount merges the reports of gateways. While no control instance that is connected has been heard for
// gatewaySettleTime, the last report that was lost counts as well, since gateways that have lost all control instances
// are not alone, and control instances that have just started know few of them.
type gatewayCount struct {
	reports map[string]gatewayReport
	kept    gatewayReport
}

// report records a report that arrived with a heartbeat, and returns whether the number of gateways may have changed.
func (c *gatewayCount) report(now time.Time, address string, gateways, rank int) bool {
	r, isConnected := c.reports[address]
	if !isConnected {
		r.since = now
	}
	changed := !isConnected || r.gateways != gateways
	r.gateways, r.rank = gateways, rank
	r.isSettled = now.Sub(r.since) >= gatewaySettleTime
	c.reports[address] = r
	if r.isSettled && c.kept.gateways > 0 {
		c.kept, changed = gatewayReport{}, true
	}
	return changed
}

// forget removes the report of a control instance that is no longer connected.
func (c *gatewayCount) forget(address string) {
	lost := c.reports[address]
	delete(c.reports, address)
	for _, r := range c.reports {
		if r.isSettled {
			return
		}
	}
	if lost.gateways > c.kept.gateways {
		c.kept = lost
	}
}

// gateways returns the largest number of gateways that is reported, at least 1.
func (c *gatewayCount) gateways() int {
	n := max(1, c.kept.gateways)
	for _, r := range c.reports {
		n = max(n, r.gateways)
	}
	return n
}

// rank returns this gateway's place, from 0, in the report of the most gateways that contains it, and their number. The
// rank is -1 if it isn't known.
func (c *gatewayCount) rank() (rank, gateways int) {
	rank, gateways = -1, 1
	consider := func(r gatewayReport) {
		if r.rank >= 0 && (r.gateways > gateways || r.gateways == gateways && (rank < 0 || r.rank < rank)) {
			rank, gateways = r.rank, r.gateways
		}
	}
	if c.kept.gateways > 0 {
		consider(c.kept)
	}
	for _, r := range c.reports {
		consider(r)
	}
	return rank, gateways
}
