package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// pauseLook is the time between two looks for drafts that pause together.
	pauseLook = 25 * time.Millisecond
	// pausedAfter is the time without an event after which a draft counts as paused; events of
	// a loaded path are 40 to 80 ms apart, and drafts are late after 200 ms.
	pausedAfter = 110 * time.Millisecond
	// flowsWithin is the time within which an event shows that all servers of its path work.
	flowsWithin = 60 * time.Millisecond
	// pausedTogether is how many drafts must pause at once before servers are tried: fewer
	// wait for prompts of others.
	pausedTogether = 3
	// probeTimeout bounds one attempt to reach a server, which takes about 2 ms. A lost packet
	// looks the same as a lost server, so that probeTries decide.
	probeTimeout = 30 * time.Millisecond
	probeTries   = 2
	// probeDelay is by how much a timer may be late in a process that gets its processor.
	probeDelay = 15 * time.Millisecond
	// probeFreshFor is for how long a server is not tried again.
	probeFreshFor = 300 * time.Millisecond
)

// watchPauses finds servers that were lost before the drafts on them count as stalled: drafts
// that pause together share a server, and one that is lost can't be reached.
func (g *Gateway) watchPauses(ctx context.Context) error {
	ticker := time.NewTicker(pauseLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if ids := g.running.mayBeLost(now); len(ids) > 0 {
				g.probe(ctx, now, ids)
			}
		}
	}
}

// mayBeLost returns the servers that paused drafts pass through and no flowing one does.
func (r *running) mayBeLost(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var paused, flowing []*draft
	for d := range r.drafts {
		switch silence, isWriting := d.progress(now); {
		case isWriting && silence >= pausedAfter:
			paused = append(paused, d)
		case isWriting && silence < flowsWithin:
			flowing = append(flowing, d)
		}
	}
	if len(paused) < pausedTogether {
		return nil
	}
	works := make(map[string]bool)
	for _, d := range flowing {
		for _, part := range d.currentPath() {
			works[part.ID] = true
		}
	}
	counts := make(map[string]int)
	var ids []string
	for _, d := range paused {
		for _, part := range d.currentPath() {
			if counts[part.ID]++; counts[part.ID] == pausedTogether && !works[part.ID] {
				ids = append(ids, part.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// progress returns the time since a draft's last event, and whether it has brought one.
func (d *draft) progress(now time.Time) (silence time.Duration, isWriting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastAt), !d.isWaiting
}

// probes remembers when servers were tried.
type probes struct {
	mu    sync.Mutex
	tried map[string]time.Time
}

// due leaves out the servers that were tried lately, and notes the others as tried.
func (p *probes) due(now time.Time, ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.tried {
		if now.Sub(at) >= probeFreshFor {
			delete(p.tried, id)
		}
	}
	var out []string
	for _, id := range ids {
		if _, ok := p.tried[id]; !ok {
			p.tried[id] = now
			out = append(out, id)
		}
	}
	return out
}

// probe tries to reach servers at the same time, and notes those that can't be reached.
func (g *Gateway) probe(ctx context.Context, now time.Time, ids []string) {
	v := g.view.Load()
	var eg errgroup.Group
	for _, id := range g.probes.due(now, ids) {
		a := v.servers[id]
		if a == nil || g.avoids(v, now, id) {
			continue
		}
		eg.Go(func() error {
			err := reach(ctx, func(ctx context.Context) error { return g.client.Reach(ctx, a.Address) })
			if err != nil && ctx.Err() == nil {
				g.noteDead(id, "can't be reached: "+err.Error())
			}
			return nil
		})
	}
	_ = eg.Wait() // the probes return no errors
}

// reach tries to open a connection to a server. A refusal is sure at once. A try that took longer
// than it may shows that this process did not run meanwhile, and nothing of the server.
func reach(ctx context.Context, open func(ctx context.Context) error) error {
	var err error
	for range probeTries {
		began := time.Now()
		tryCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err = open(tryCtx)
		cancel()
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		if time.Since(began) > probeTimeout+probeDelay {
			return nil
		}
	}
	return err
}
