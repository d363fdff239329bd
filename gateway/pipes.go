package gateway

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/layers"
)

// pipes is what this instance sends over the links between data centres.
type pipes struct {
	mu    sync.Mutex
	pipes *layers.Pipes
}

func (p *pipes) wait(now time.Time, from, to string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pipes.Wait(now, from, to)
}

// notePipes accounts for a draft that takes a path. The gateways of one data centre are taken
// to use the same links.
func (g *Gateway) notePipes(v *view, d *draft, path layers.Path) {
	sharers := g.options.Mesh.Gateways() / max(1, v.dataCentres)
	g.pipes.mu.Lock()
	defer g.pipes.mu.Unlock()
	g.pipes.pipes.Begin(time.Now(), d.service.Engine, d.size, path, sharers)
}
