package admission

import (
	"cmp"
	"slices"
)

// WorkspaceUsage is the demand of one workspace in one pool at one instance.
type WorkspaceUsage struct {
	Pool string
	// Workspace is empty if the demand is that of all workspaces together.
	Workspace string
	// Share is the workspace's weight. Instances don't send it to each other: the receiver of a
	// report fills in the weight from its settings.
	Share   int
	Running int
	Waiting int
	// Rank is the rank of the requests, or LateRank.
	Rank int
	// Arriving is the number of requests that are expected to arrive before others hear of them.
	Arriving float64
}

// Usage is the demand that one instance reports to the others.
type Usage []WorkspaceUsage

// maxPeers bounds the number of instances whose reports are kept.
const maxPeers = 1024

// SetPeerUsage replaces the report of another instance. An empty report removes the instance: it
// has no demand, or its reports are missing.
func (c *Controller) SetPeerUsage(instance string, u Usage) {
	if _, known := c.peers[instance]; !known && (len(u) == 0 || len(c.peers) >= maxPeers) {
		return
	}
	c.others = nil
	if len(u) == 0 {
		delete(c.peers, instance)
		return
	}
	c.peers[instance] = u
}

// Usage returns this instance's report of at most limit entries, largest demand first.
func (c *Controller) Usage(limit int) Usage {
	type key struct {
		pool, workspace string
		rank            int
	}
	sums := make(map[key]*WorkspaceUsage)
	for _, e := range c.requests {
		at := key{e.Pool, e.Workspace, e.rank()}
		s, ok := sums[at]
		if !ok {
			s = &WorkspaceUsage{Pool: e.Pool, Workspace: e.Workspace, Rank: e.rank()}
			sums[at] = s
		}
		s.Share = max(s.Share, 1, e.Share)
		if e.running {
			s.Running++
		} else {
			s.Waiting++
		}
	}
	u := make(Usage, 0, len(sums))
	for _, s := range sums {
		u = append(u, *s)
	}
	slices.SortFunc(u, func(a, b WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(b.Running+b.Waiting, a.Running+a.Waiting), cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	return u[:min(len(u), limit)]
}

// workspaceDemand is the demand of one workspace over all instances, and the capacity that it is
// granted.
type workspaceDemand struct {
	workspace string
	share     float64
	demand    float64
	granted   float64
}

func (d *workspaceDemand) add(share, demand int) {
	d.share = max(d.share, float64(max(1, share)))
	d.demand += float64(demand)
}

// divideCapacity grants each workspace its demand or its weighted part of the capacity, whichever
// is less, and divides the rest among the others (weighted max-min fairness).
func divideCapacity(capacity float64, demands []workspaceDemand) {
	slices.SortStableFunc(demands, func(a, b workspaceDemand) int {
		return cmp.Compare(a.demand/a.share, b.demand/b.share)
	})
	shares := 0.0
	for _, d := range demands {
		shares += d.share
	}
	for i := range demands {
		d := &demands[i]
		d.granted = min(d.demand, capacity*d.share/shares)
		capacity -= d.granted
		shares -= d.share
	}
}
