package route

import (
	"math"
	"time"
)

const (
	// prefixHalfLife is the time in which a cache event loses half of its effect. Events arrive
	// late and some are lost, so knowledge about a server's cache is a hint that decays.
	prefixHalfLife = 30 * time.Second
	// prefixHintWeight is the weight of a new hint.
	prefixHintWeight = 0.8
	// maxPrefixes bounds the prefixes that are kept for one server.
	maxPrefixes = 512
)

// PrefixKey identifies the beginning of a prompt. 0 means none.
type PrefixKey uint64

// prefixHint says that a server had probably cached the first tokens of a prompt at the given
// time.
type prefixHint struct {
	tokens int
	at     time.Time
}

// prefixes holds hints about which servers have cached which beginnings of prompts.
type prefixes struct {
	servers map[string]map[PrefixKey]prefixHint
}

func newPrefixes() *prefixes {
	return &prefixes{servers: make(map[string]map[PrefixKey]prefixHint)}
}

// Cached records that the server has probably cached the first tokens of a prompt, because the
// server reported so or was sent the prompt.
func (r *Router) Cached(now time.Time, server string, key PrefixKey, tokens int) {
	if key == 0 {
		return
	}
	m, ok := r.prefixes.servers[server]
	if !ok {
		m = make(map[PrefixKey]prefixHint)
		r.prefixes.servers[server] = m
	}
	if _, known := m[key]; !known && len(m) >= maxPrefixes {
		dropOldest(m)
	}
	m[key] = prefixHint{tokens: tokens, at: now}
}

// expectedTokens estimates the number of the prompt's tokens that the server need not prefill.
func (p *prefixes) expectedTokens(now time.Time, server string, key PrefixKey, prompt int) float64 {
	h, ok := p.servers[server][key]
	if !ok || key == 0 {
		return 0
	}
	age := max(0, now.Sub(h.at))
	weight := prefixHintWeight * math.Exp2(-age.Seconds()/prefixHalfLife.Seconds())
	return weight * float64(min(h.tokens, prompt))
}

func dropOldest(m map[PrefixKey]prefixHint) {
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
