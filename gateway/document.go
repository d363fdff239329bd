package gateway

import (
	"cmp"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/mesh"
)

// documentGate decides what this gateway does by a routing document that may be older than the one in force. It is
// safe for concurrent use.
type documentGate struct {
	mesh *mesh.Mesh
	// bound is the age from which on the document denies nothing.
	bound time.Duration

	// opened is set once this instance serves by its document without waiting. started is when it started.
	opened  atomic.Bool
	started time.Time

	mu      sync.Mutex
	start   *membership.ViewGate
	monitor mesh.AgeMonitor
}

// maxStartWait is how long after the start requests wait for a better document. It is longer than a ViewGate waits
// for one that was heard of, which may never come.
const maxStartWait = 5 * time.Second

func newDocumentGate(o Options) *documentGate {
	bound, now := cmp.Or(o.RoutingApplyTime, DefaultRoutingApplyTime), time.Now()
	return &documentGate{
		mesh: o.Mesh, bound: bound, started: now,
		start:   membership.NewViewGate(now),
		monitor: mesh.AgeMonitor{Bound: bound, Log: o.Log},
	}
}

// isOpen reports whether this instance, which has started, may serve by its document of the version: once that is
// confirmed, or, after a while, with the newest that it has heard of.
func (d *documentGate) isOpen(version uint64) bool {
	if d.opened.Load() {
		return true
	}
	c, now := d.mesh.RoutingConfirmation(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start.ObservePeerIndex(c.Newest)
	if d.start.IsOpen(now, version, !c.IsExpected || c.IsWithin(d.bound, version)) || now.Sub(d.started) > maxStartWait {
		d.opened.Store(true)
	}
	return d.opened.Load()
}

// mayDeny reports whether a document of the version holds all that must be in force by now.
func (d *documentGate) mayDeny(version uint64) bool {
	c := d.mesh.RoutingConfirmation()
	return !c.IsExpected || c.IsWithin(d.bound, version)
}

// mayUse reports whether requests are routed by the document of the view without further waiting.
func (g *Gateway) mayUse(v *view) bool { return v.table != nil && g.document.isOpen(v.table.Version) }

// deny returns the refusal of a request that the document of the view doesn't allow. A document that may be outdated
// may lack the route or the key, so the caller is asked to come back.
func (g *Gateway) deny(v *view, status int, reason string) *refusal {
	if g.document.mayDeny(v.table.Version) {
		return &refusal{status, reason, 0}
	}
	g.metrics.UnconfirmedDenials.WithLabelValues().Inc()
	return &refusal{http.StatusServiceUnavailable, reason + ", in a routing document that may be outdated", noRouteRetry}
}

// followDocumentAge logs how old the document is known to be.
func (g *Gateway) followDocumentAge() {
	c := g.options.Mesh.RoutingConfirmation()
	g.document.mu.Lock()
	g.document.monitor.Observe(c)
	g.document.mu.Unlock()
}
