package emulate

import (
	"container/list"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixBlock is the number of prompt tokens in a block, the unit of the prefix cache. A word of the
// prompt counts as one token.
const prefixBlock = 16

// prefixCache emulates the prefix cache of an engine. It holds hashes of prompt prefixes, up to a
// number of blocks, and evicts the least recently used.
type prefixCache struct {
	mu       sync.Mutex
	capacity int // in blocks
	blocks   map[uint64]*list.Element
	lru      *list.List
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens / prefixBlock, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// prefixHashes returns a hash of each prefix of the prompt that consists of whole blocks.
func prefixHashes(prompt string) []uint64 {
	words := strings.Fields(prompt)
	d := xxhash.New()
	var out []uint64
	for i, w := range words {
		// Writing to a hash never fails.
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if (i+1)%prefixBlock == 0 {
			out = append(out, d.Sum64())
		}
	}
	return out
}

// cachedTokens returns the number of the prompt's tokens that are cached.
func (c *prefixCache) cachedTokens(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := 0
	for _, h := range prefixHashes(prompt) {
		el, ok := c.blocks[h]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		tokens += prefixBlock
	}
	return tokens
}

// add adds the prompt's prefixes to the cache.
func (c *prefixCache) add(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range prefixHashes(prompt) {
		if el, ok := c.blocks[h]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
	}
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}
