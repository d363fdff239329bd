package ledger

import (
	"crypto/sha256"
	"encoding/binary"
)

// forgotten tells a key whose record was forgotten from one that was never used.
//
// A key that carries a time needs one number a workspace: every key up to the latest
// forgotten time counts as used. Other keys go into Bloom filters, which never miss a key
// and take a new key for a used one with a chance below 1 in 100,000 a layer.
type forgotten struct {
	horizons map[string]uint64
	layers   []layer
}

func newForgotten() forgotten {
	return forgotten{horizons: make(map[string]uint64)}
}

const (
	// firstLayerKeys is the capacity of the first layer; each further one holds twice as many.
	firstLayerKeys = 1 << 12
	// maxLayers bounds the memory to 67 MB. The last layer goes on beyond its capacity, at
	// the cost of more new keys taken for used ones.
	maxLayers  = 13
	bitsPerKey = 32
	hashCount  = 8
)

// layer is one Bloom filter.
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

// has reports whether the key may have been used. The time in the key counts here even when
// it was not trusted, which can only refuse more.
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

// bitsOf returns the places of a key in a filter of the size, by double hashing.
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
