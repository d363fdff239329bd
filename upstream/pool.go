package upstream

import (
	"sync"
	"time"
)

// maxIdle bounds the idle connections to one server. A server handles one request at a time per
// connection.
const maxIdle = 64

// pool keeps the idle connections to each server.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
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

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.server]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.server] = append(p.idle[c.server], c)
}

// closeExpired closes connections that may no longer be reused, and removes servers that have no
// connection left.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
