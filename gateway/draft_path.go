package gateway

import (
	"context"
	"errors"
	"slices"
	"sort"
	"time"

	"github.com/balsamlb/balsamlb/layers"
)

// awaitPath returns the best path for the draft. If no path has capacity, it waits. New drafts wait
// up to capacityWait, at most maxCapacityWaiters of them at a time. A started stream waits until its
// deadline.
func (g *Gateway) awaitPath(ctx context.Context, d *draft) (layers.Path, bool) {
	if !d.isStarted.Load() {
		g.awaitTrial(ctx, d.job)
	}
	if d.place.ranked && !d.isStarted.Load() {
		return g.awaitPlaceAndPath(ctx, d)
	}
	path, ok := g.findNewPath(d)
	if ok {
		return path, true
	}
	if !d.isStarted.Load() && g.checkContent(d.job) != nil {
		return nil, false
	}
	if !d.isStarted.Load() && g.draftPause(d) > capacityWait {
		return nil, false
	}
	if d.isStarted.Load() {
		return g.pollPath(ctx, d, resumePollInterval, time.Until(d.deadline))
	}
	defer g.waiters.Add(-1)
	if g.waiters.Add(1) > maxCapacityWaiters {
		return nil, false
	}
	return g.pollPath(ctx, d, capacityPollInterval, capacityWait)
}

// awaitPlaceAndPath waits until the admission engine starts the draft and a path has capacity. The engine says
// how long a draft waits; without a copy of the model it waits capacityWait.
func (g *Gateway) awaitPlaceAndPath(ctx context.Context, d *draft) (layers.Path, bool) {
	for d.place.await(ctx) {
		path, ok := g.findNewPath(d)
		if !ok && (g.needsOther(d) || !g.hasCopy(d)) {
			// What it lacks is not the room that others wait for, too.
			path, ok = g.pollPath(ctx, d, capacityPollInterval, capacityWait)
		}
		switch {
		case ok && len(path) > 0:
			return path, true
		case ok, g.checkContent(d.job) != nil, g.draftPause(d) > capacityWait, !g.hasCopy(d):
			return nil, false
		}
		d.place.blocked()
	}
	return nil, false
}

// needsOther reports whether a draft without a path may lack something else than requests of mean length: it was
// left to other instances, or needs more memory.
func (g *Gateway) needsOther(d *draft) bool {
	e := d.service.Engine
	return d.isHeldBack.Load() || d.size.PromptTokens+d.size.AnswerTokens > 1.5*(e.MeanPromptTokens+e.MeanAnswerTokens)
}

// hasCopy reports whether the servers that may take the draft hold a whole copy of the model.
func (g *Gateway) hasCopy(d *draft) bool {
	v := g.view.Load()
	now := time.Now()
	s := v.searches[d.service.Name]
	return s != nil && s.paths.HasWholeCopy(func(id string) bool { return g.isExcluded(v, now, id) || g.isHeldBack(d.job, v, now, id) })
}

// pollPath searches for a path at an interval until one is found or the wait is over.
func (g *Gateway) pollPath(ctx context.Context, d *draft, interval, wait time.Duration) (path layers.Path, ok bool) {
	poll(ctx, interval, wait, func() bool {
		if g.hasRelay(d.job) {
			return true
		}
		path, ok = g.findNewPath(d)
		return ok
	})
	return path, ok
}

// findNewPath returns the best path for an attempt, if the draft may run now.
func (g *Gateway) findNewPath(d *draft) (layers.Path, bool) {
	if g.checkContent(d.job) != nil {
		return nil, false
	}
	return g.findPath(d, layers.Part{})
}

// errNoCompleteCopy means that the available servers hold no complete copy of the model.
var errNoCompleteCopy = errors.New("gateway: no data centre holds a whole copy of the model")

// noPathFailure returns the failure for a draft without a path: either too few layers of the model
// are loaded, or no path has capacity.
func (g *Gateway) noPathFailure(d *draft) *failure {
	if f := g.checkContent(d.job); f != nil {
		return f
	}
	if wait := g.draftPause(d); wait > 0 {
		return &failure{reason: "the servers of all copies of the model want nothing for a time", retryAfter: g.spreadRetry(wait)}
	}
	v := g.view.Load()
	now := time.Now()
	if !g.hasCopy(d) {
		return &failure{reason: "no data centre holds a whole copy of the model", err: errNoCompleteCopy}
	}
	if d.place.refusal != nil {
		return d.place.failure()
	}
	if wait := g.limitedHeadWait(d, v, now); wait > 0 {
		return &failure{reason: "the first servers of all paths take no more requests now", retryAfter: g.spreadRetry(wait)}
	}
	return &failure{reason: "no path through the model's layers has room"}
}

// draftPause returns the time until servers that want nothing now complete a copy of the model. It returns
// 0 if there is a copy now, or no such servers would complete one.
func (g *Gateway) draftPause(d *draft) time.Duration {
	if g.selfReports.count.Load() == 0 {
		return 0
	}
	v := g.view.Load()
	now := time.Now()
	s := v.searches[d.service.Name]
	if s == nil {
		return 0
	}
	// hasCopy reports whether the servers that take drafts at a time hold a whole copy.
	hasCopy := func(at time.Time) bool {
		return s.paths.HasWholeCopy(func(id string) bool {
			next, mayReturn := g.selfReports.pauseEnd(now, v.server(id))
			return !mayReturn || next.After(at) || g.isUnresponsive(v, id) || v.isSilent(id) && g.faults.isUnrecovered(id)
		})
	}
	if hasCopy(now) {
		return 0
	}
	returns := g.selfReports.returns(now)
	i := sort.Search(len(returns), func(i int) bool { return hasCopy(returns[i]) })
	if i == len(returns) {
		return 0
	}
	return returns[i].Sub(now)
}

// findPath returns the best path for a new attempt of the draft. If head names a server, head is the first
// part of the path.
func (g *Gateway) findPath(d *draft, head layers.Part) (layers.Path, bool) {
	return g.searchPath(d, head, nil)
}

// searchPath returns the best path for the draft and counts the traffic on the links that it uses. If
// head names a server, head stays the first part of the path. running is the path that the draft moves from,
// if it moves.
func (g *Gateway) searchPath(d *draft, head layers.Part, running layers.Path) (layers.Path, bool) {
	v := g.view.Load()
	s := v.searches[d.service.Name]
	if s == nil {
		return nil, false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.usage.apply(s.paths, g.options.Mesh.PeerUsage())
	avoided := d.avoidedHeads()
	heldBack := func(id string) bool { return id != head.ID && g.isHeldBack(d.job, v, now, id) }
	failed := func(id string) bool {
		return id != head.ID && (g.isExcluded(v, now, id) || slices.Contains(avoided, id))
	}
	query := layers.Query{
		Draft: d.size,
		Home:  g.options.DataCentre,
		Head:  head,
		Avoid: func(id string) bool { return failed(id) || heldBack(id) },
		AvoidHead: func(id string) bool {
			return g.isLimited(d.job, v, now, id)
		},
		Started: d.isStarted.Load(),
		PipeWait: func(from, to string) time.Duration {
			return g.linkTraffic.wait(now, from, to)
		},
		Running: running,
		Claim:   g.claim(v, d, now),
	}
	path, _, ok := s.paths.Find(query)
	if !ok && g.faults.hasAnswering() {
		query.Avoid = func(id string) bool { return failed(id) && !g.faults.isAnswering(id) || heldBack(id) }
		path, _, ok = s.paths.Find(query)
	}
	if ok {
		// Done under the same lock, so that concurrent searches don't all choose the same link
		// between data centres.
		g.recordLinkTraffic(v, d, path)
	}
	isHeldBack := !ok && query.Claim.HeldBack > 0
	d.isHeldBack.Store(isHeldBack)
	if isHeldBack {
		g.metrics.ClaimsHeldBack.WithLabelValues().Inc()
	}
	return path, ok
}
