package upstream

import (
	"sync"
	"time"
)

// maxIdle bounds the idle connections to one server. A server handles one request at a time per
// connection.
const maxIdle = 64

// sweepInterval is the shortest time between two sweeps for idle connections that have expired.
const sweepInterval = time.Second

// pool keeps the idle connections to each server.
type pool struct {
	mu        sync.Mutex
	idle      map[string][]*conn
	nextSweep time.Time
	isClosed  bool
}

// take returns an idle connection to the server, or nil.
func (p *pool) take(now time.Time, server string) *conn {
	for {
		c := p.pop(server)
		if c == nil {
			return nil
		}
		if now.Before(c.usableUntil) && c.isIdle() {
			c.isReused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(server string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[server]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[server] = idle[:len(idle)-1]
	return c
}

// put keeps an idle connection. It also closes those to all servers that have expired, since nothing else
// does for servers that are never asked again.
func (p *pool) put(now time.Time, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.nextSweep) {
		p.nextSweep = now.Add(sweepInterval)
		p.sweep(now)
	}
	if p.isClosed || len(p.idle[c.server]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.server] = append(p.idle[c.server], c)
}

func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
}

// close closes all idle connections, and from now on each connection as it becomes idle.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, idle := range p.idle {
		for _, c := range idle {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// sweep closes connections that may no longer be reused, and removes servers that have no connection
// left.
func (p *pool) sweep(now time.Time) {
	for server, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(idle[len(kept):])
		p.idle[server] = kept
		if len(kept) == 0 {
			delete(p.idle, server)
		}
	}
}
