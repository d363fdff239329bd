package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// stallAfter is the time without an event after which a draft's path is looked at. The
	// longest pause of known deployments that is still on time is 250 ms; callers leave
	// after 2 s.
	stallAfter = 600 * time.Millisecond
	// repathTimeout bounds one question or order to the first server of a path.
	repathTimeout = 500 * time.Millisecond
)

// guard watches over the progress of one stream and changes its path when a server of it
// holds the draft up.
type guard struct {
	timer *time.Timer
	once  sync.Once
	done  chan struct{}
}

func (g *Gateway) guardStream(ctx context.Context, d *draft) *guard {
	gd := &guard{done: make(chan struct{})}
	gd.timer = time.AfterFunc(stallAfter, func() {
		select {
		case <-gd.done:
		default:
			g.relieve(ctx, d)
			gd.timer.Reset(stallAfter)
		}
	})
	return gd
}

// progress notes that an event has come.
func (gd *guard) progress() { gd.timer.Reset(stallAfter) }

func (gd *guard) stop() {
	gd.once.Do(func() {
		close(gd.done)
		gd.timer.Stop()
	})
}

// relieve asks the first server who holds up the draft, and leads the path around that server.
func (g *Gateway) relieve(ctx context.Context, d *draft) {
	ctx, cancel := context.WithTimeout(ctx, repathTimeout)
	defer cancel()
	d.mu.Lock()
	path := d.path
	d.mu.Unlock()
	if len(path) == 0 || g.options.Orders == nil {
		return
	}
	head := path[0]
	v := g.view.Load()
	fault := ""
	for _, part := range path[1:] {
		if _, ok := v.servers[part.ID]; !ok {
			fault = part.ID
		}
	}
	if fault == "" {
		address, err := g.options.Orders.Stalled(ctx, head.Address, d.call.ID)
		if err != nil {
			g.options.Log.Info("could not ask what holds up a draft", "request", d.call.ID, "head", head.ID, "reason", err.Error())
			return
		}
		for _, part := range path[1:] {
			if part.Address == address {
				fault = part.ID
			}
		}
		if fault == "" {
			return
		}
		g.noteHealth(fault, false)
	}
	d.avoid = append(d.avoid, fault)
	next, ok := g.findPath(d, head.ID)
	if !ok {
		g.options.Log.Info("no way around a server that holds up a draft", "request", d.call.ID, "server", fault)
		return
	}
	refused, err := g.options.Orders.Repath(ctx, head.Address, d.call.ID, next, v.fence)
	if err != nil {
		if id := v.byAddress[refused]; id != "" {
			d.avoid = append(d.avoid, id)
		}
		g.options.Log.Info("could not change the path of a draft", "request", d.call.ID, "server", fault, "reason", err.Error())
		return
	}
	g.stats.repaths.Inc()
	d.setPath(next)
	g.options.Log.Info("changed the path of a draft", "request", d.call.ID, "around", fault, "parts", len(next))
}
