package gateway

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/layers"
)

// linkTraffic estimates how much this instance sends over the links between data centres. It is
// safe for concurrent use.
type linkTraffic struct {
	mu    sync.Mutex
	links *layers.Pipes
}

// wait returns how long a transfer that starts now waits for earlier ones on the link between two
// data centres.
func (t *linkTraffic) wait(now time.Time, from, to string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links.Wait(now, from, to)
}

// recordLinkTraffic counts a draft's traffic on the links of its path. Gateways are assumed to be
// spread evenly over the data centres, and those of one data centre to share its links.
func (g *Gateway) recordLinkTraffic(v *view, d *draft, path layers.Path) {
	gatewaysPerCentre := g.options.Mesh.Gateways() / max(1, v.dataCentres)
	g.linkTraffic.mu.Lock()
	defer g.linkTraffic.mu.Unlock()
	g.linkTraffic.links.Begin(time.Now(), d.service.Engine, d.size, path, gatewaysPerCentre)
}
