package route

import (
	"math"
	"time"
)

const (
	// prefixHalfLife is the time in which a cache event loses half of its effect. Events arrive
	// late and some are lost, so knowledge about a server's cache is a hint that decays.
	prefixHalfLife = 30 * time.Second
	// prefixTrust is the weight of a new hint.
	prefixTrust = 0.8
	// maxPrefixes bounds the prefixes that are kept for one server.
	maxPrefixes = 512
)

// PrefixKey identifies the beginning of a prompt. 0 means none.
type PrefixKey uint64

// hint says that a server had cached the first tokens of a prompt at a time.
type hint struct {
	tokens int
	at     time.Time
}

// prefixes holds hints about which servers have cached which beginnings of prompts.
type prefixes struct {
	servers map[string]map[PrefixKey]hint
}

func newPrefixes() *prefixes {
	return &prefixes{servers: make(map[string]map[PrefixKey]hint)}
}

// Cached records that the server has probably cached the first tokens of a prompt, because it
// reported so or because it was sent the prompt.
func (r *Router) Cached(now time.Time, server string, key PrefixKey, tokens int) {
	if key == 0 {
		return
	}
	m, ok := r.prefixes.servers[server]
	if !ok {
		m = make(map[PrefixKey]hint)
		r.prefixes.servers[server] = m
	}
	if _, known := m[key]; !known && len(m) >= maxPrefixes {
		dropOldest(m)
	}
	m[key] = hint{tokens: tokens, at: now}
}

// expected estimates the number of the prompt's tokens that the server need not prefill.
func (p *prefixes) expected(now time.Time, server string, key PrefixKey, prompt int) float64 {
	h, ok := p.servers[server][key]
	if !ok || key == 0 {
		return 0
	}
	age := max(0, now.Sub(h.at))
	trust := prefixTrust * math.Exp2(-age.Seconds()/prefixHalfLife.Seconds())
	return trust * float64(min(h.tokens, prompt))
}

func dropOldest(m map[PrefixKey]hint) {
	var oldest PrefixKey
	for key, h := range m {
		if oldest == 0 || h.at.Before(m[oldest].at) {
			oldest = key
		}
	}
	delete(m, oldest)
}

func (p *prefixes) retain(known map[string]bool) {
	for name := range p.servers {
		if !known[name] {
			delete(p.servers, name)
		}
	}
}
