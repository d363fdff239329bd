package gateway

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/layers"
)

// linkTraffic estimates what this instance sends over the links between data centres. It is safe
// for concurrent use.
type pipes struct {
	mu    sync.Mutex
	pipes *layers.Pipes
}

func (p *pipes) wait(now time.Time, from, to string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pipes.Wait(now, from, to)
}

// recordLinkTraffic counts a draft's traffic on the links of its path. Gateways are assumed to be
// spread evenly over the data centres, and those of one data centre to share its links.
func (g *Gateway) notePipes(v *view, d *draft, path layers.Path) {
	sharers := g.options.Mesh.Gateways() / max(1, v.dataCentres)
	g.pipes.mu.Lock()
	defer g.pipes.mu.Unlock()
	g.pipes.pipes.Begin(time.Now(), d.service.Engine, d.size, path, sharers)
}
