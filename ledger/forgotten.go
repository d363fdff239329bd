package ledger

import (
	"crypto/sha256"
	"encoding/binary"
)

// forgotten recognizes keys whose records have expired.
//
// For keys that contain a time it stores one number per workspace, the horizon: every key with
// a time up to the horizon counts as used. Other keys are added to Bloom filters. These have no
// false negatives, and each layer has a false positive rate below 1 in 100,000.
type forgotten struct {
	horizons map[string]uint64
	layers   []layer
}

func newForgotten() forgotten {
	return forgotten{horizons: make(map[string]uint64)}
}

const (
	// firstLayerKeys is the capacity of the first layer. Each further layer has twice the capacity
	// of the one before.
	firstLayerKeys = 1 << 12
	// maxLayers limits the memory to 67 MB. The last layer accepts keys beyond its capacity,
	// which raises its false positive rate.
	maxLayers  = 13
	bitsPerKey = 32
	hashCount  = 8
)

// layer is one Bloom filter. count is the number of keys that were added to it.
type layer struct {
	count uint64
	bits  []byte
}

func (f *forgotten) add(r Record) {
	if r.KeyTime > 0 {
		f.horizons[r.Key.Workspace] = max(f.horizons[r.Key.Workspace], r.KeyTime)
		return
	}
	f.grow()
	last := &f.layers[len(f.layers)-1]
	last.count++
	for _, bit := range bitsOf(r.Key, len(last.bits)) {
		last.bits[bit/8] |= 1 << (bit % 8)
	}
}

// grow adds a layer when the last one is full.
func (f *forgotten) grow() {
	n := len(f.layers)
	if n == maxLayers || n > 0 && f.layers[n-1].count < firstLayerKeys<<(n-1) {
		return
	}
	f.layers = append(f.layers, layer{bits: make([]byte, firstLayerKeys<<n*bitsPerKey/8)})
}

// has reports whether the key may have been used. It considers the time in the key even if that
// time is not trusted: this can only refuse additional keys.
func (f *forgotten) has(k Key) bool {
	if t := keyTime(k.Idempotency); t > 0 && t <= f.horizons[k.Workspace] {
		return true
	}
	for _, l := range f.layers {
		if l.has(k) {
			return true
		}
	}
	return false
}

func (l *layer) has(k Key) bool {
	for _, bit := range bitsOf(k, len(l.bits)) {
		if l.bits[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// bitsOf returns the bits of a key in a filter of size bytes, computed by double hashing.
func bitsOf(k Key, size int) [hashCount]uint64 {
	h := sha256.New()
	for _, part := range []string{k.Workspace, k.Service, k.Idempotency} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	sum := h.Sum(nil)
	first := binary.LittleEndian.Uint64(sum)
	second := binary.LittleEndian.Uint64(sum[8:]) | 1
	var bits [hashCount]uint64
	for i := range bits {
		bits[i] = (first + uint64(i)*second) % (uint64(size) * 8)
	}
	return bits
}
