package instance

import "sync"

const (
	// MaxPatchBases is the number of texts that an instance keeps if it makes patches for others.
	MaxPatchBases = 8
	// maxCachedBytes bounds the size of the texts together. The newest text is kept whatever its size.
	maxCachedBytes = 16 << 20
)

// PatchCache holds the latest versions of a text, such as a view or a routing document, and what was encoded of
// them. It is safe for concurrent use.
type PatchCache struct {
	maxTexts int

	mu    sync.Mutex
	texts []cachedText
	// encodings are those of the newest version that was asked for, each made once.
	encodings map[encodingKey]*encoding
	// encoder is held while a text is encoded, since that takes much memory.
	encoder sync.Mutex
}

type cachedText struct {
	version uint64
	text    []byte
}

// encodingKey identifies an encoding by the version of its text and the version and hash of the text that its patch
// is based on, 0 if it is no patch.
type encodingKey struct {
	version, have, hash uint64
}

type encoding struct {
	once sync.Once
	data []byte
	err  error
}

// NewPatchCache returns an empty cache that keeps at most maxTexts versions.
func NewPatchCache(maxTexts int) *PatchCache {
	return &PatchCache{maxTexts: maxTexts, encodings: make(map[encodingKey]*encoding)}
}

// Add adds a version of the text, which must not be changed any more. Encodings of other versions are dropped.
func (c *PatchCache) Add(version uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.texts = append(c.texts, cachedText{version: version, text: text})
	size, first := 0, len(c.texts)
	for first > 0 && len(c.texts)-first < c.maxTexts {
		size += len(c.texts[first-1].text)
		if size > maxCachedBytes && first < len(c.texts) {
			break
		}
		first--
	}
	c.texts = append([]cachedText(nil), c.texts[first:]...)
	clear(c.encodings)
}

// Text returns a version of the text, or nil.
func (c *PatchCache) Text(version uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(version)
}

func (c *PatchCache) find(version uint64) []byte {
	for _, t := range c.texts {
		if t.version == version {
			return t.text
		}
	}
	return nil
}

// Patch returns a version as a patch of an earlier one that the caller has, or nil if the cache doesn't hold both, or
// not the earlier one with that hash. The version has to be in the cache.
func (c *PatchCache) Patch(version, have, haveHash uint64) ([]byte, error) {
	base := c.Text(have)
	if base == nil || HashView(base) != haveHash {
		return nil, nil
	}
	return c.encode(encodingKey{version: version, have: have, hash: haveHash}, base)
}

// Whole returns a version in compressed form, or nil if the cache doesn't hold it.
func (c *PatchCache) Whole(version uint64) ([]byte, error) {
	return c.encode(encodingKey{version: version}, nil)
}

// encode compresses a text with the base unless that was done before.
func (c *PatchCache) encode(key encodingKey, base []byte) ([]byte, error) {
	c.mu.Lock()
	text := c.find(key.version)
	if text == nil {
		c.mu.Unlock()
		return nil, nil
	}
	e, ok := c.encodings[key]
	if !ok {
		e = &encoding{}
		c.encodings[key] = e
	}
	c.mu.Unlock()
	e.once.Do(func() {
		c.encoder.Lock()
		defer c.encoder.Unlock()
		e.data, e.err = CompressView(text, base)
	})
	return e.data, e.err
}
