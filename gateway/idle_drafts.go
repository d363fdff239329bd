package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/linkcheck"
	"golang.org/x/sync/errgroup"
)

const (
	// idleCheckInterval is the time between two checks for drafts that are idle at the same time.
	idleCheckInterval = 25 * time.Millisecond
	// idleAfter is the time without an event after which a draft counts as idle. Events of a
	// loaded path are 40 to 80 ms apart, and drafts are late after 200 ms.
	idleAfter = 110 * time.Millisecond
	// progressingWithin is the time after an event during which a draft counts as progressing, and
	// all servers of its path count as working.
	progressingWithin = 60 * time.Millisecond
	// minIdleDrafts is how many drafts must be idle at the same time before servers are probed;
	// fewer are usually waiting for the prompts of other drafts.
	minIdleDrafts = 3
	// minProbeInterval is the least time between two probes of one server.
	minProbeInterval = 300 * time.Millisecond
)

// watchIdleDrafts detects unresponsive servers before the drafts on them count as stalled. Drafts
// that are idle at the same time probably share such a server, and a probe shows whether that
// server can be reached.
func (g *Gateway) watchIdleDrafts(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			if g.pauses.sinceResumed(now) < idleAfter {
				continue // the drafts were idle because this process was paused
			}
			if ids := g.running.probeCandidates(now); len(ids) > 0 {
				g.probe(ctx, now, ids)
			}
		}
	}
}

// probeCandidates returns the servers that at least minIdleDrafts idle drafts share and that no
// progressing draft uses.
func (r *runningAttempts) probeCandidates(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var idle, progressing []*attempt
	for a := range r.attempts {
		switch t, hasEvents := a.progress(now); {
		case hasEvents && t >= idleAfter:
			idle = append(idle, a)
		case hasEvents && t < progressingWithin:
			progressing = append(progressing, a)
		}
	}
	if len(idle) < minIdleDrafts {
		return nil
	}
	working := make(map[string]bool)
	for _, a := range progressing {
		for _, part := range a.currentPath() {
			working[part.ID] = true
		}
	}
	counts := make(map[string]int)
	var ids []string
	for _, a := range idle {
		for _, part := range a.currentPath() {
			if counts[part.ID]++; counts[part.ID] == minIdleDrafts && !working[part.ID] {
				ids = append(ids, part.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// probes records when servers were last probed.
type probes struct {
	mu       sync.Mutex
	probedAt map[string]time.Time
}

// due returns the servers that were not probed within minProbeInterval, and marks them as probed
// now.
func (p *probes) due(now time.Time, ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.probedAt {
		if now.Sub(at) >= minProbeInterval {
			delete(p.probedAt, id)
		}
	}
	var out []string
	for _, id := range ids {
		if _, ok := p.probedAt[id]; !ok {
			p.probedAt[id] = now
			out = append(out, id)
		}
	}
	return out
}

// probe tries to connect to servers concurrently, and marks those that fail as unresponsive.
func (g *Gateway) probe(ctx context.Context, now time.Time, ids []string) {
	v := g.view.Load()
	var eg errgroup.Group
	for _, id := range g.probes.due(now, ids) {
		a := v.servers[id]
		if a == nil || g.isExcluded(v, now, id) {
			continue
		}
		eg.Go(func() error {
			err := reach(ctx, func(ctx context.Context) error { return g.client.Probe(ctx, a.Address) })
			if err != nil && ctx.Err() == nil {
				g.markUnreachable(id, err)
			}
			return nil
		})
	}
	_ = eg.Wait() // the functions always return nil
}

// reach checks whether a connection to a server can be opened. If this process was paused meanwhile, that
// says nothing about the server, so reach returns nil.
func reach(ctx context.Context, open func(ctx context.Context) error) error {
	if err := linkcheck.Reach(ctx, open); !errors.Is(err, linkcheck.ErrPaused) {
		return err
	}
	return nil
}
