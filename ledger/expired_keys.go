package ledger

import (
	"crypto/sha256"
	"encoding/binary"
)

// expiredKeys recognizes keys whose records have expired.
//
// For keys that contain a time it stores one number per workspace, the horizon: every key with
// a time up to the horizon counts as used. Other keys are added to a series of Bloom filters.
// These have no false negatives, and each has a false positive rate below 1 in 100,000.
type expiredKeys struct {
	horizons map[string]uint64
	filters  []bloomFilter
}

func newExpiredKeys() expiredKeys {
	return expiredKeys{horizons: make(map[string]uint64)}
}

const (
	// firstFilterKeys is the capacity of the first filter. Each further filter has twice the
	// capacity of the one before.
	firstFilterKeys = 1 << 12
	// maxFilters limits the memory to 134 MB, of which the last filter uses 67 MB. That filter
	// accepts keys beyond its capacity, which raises its false positive rate.
	maxFilters = 13
	bitsPerKey = 32
	hashCount  = 8
)

// bloomFilter is one Bloom filter. count is the number of keys that were added to it.
type bloomFilter struct {
	count uint64
	bits  []byte
}

func (f *expiredKeys) add(r Record) {
	if r.KeyTime > 0 {
		f.horizons[r.Key.Workspace] = max(f.horizons[r.Key.Workspace], r.KeyTime)
		return
	}
	f.grow()
	last := &f.filters[len(f.filters)-1]
	last.count++
	for _, bit := range filterBits(r.Key, len(last.bits)) {
		last.bits[bit/8] |= 1 << (bit % 8)
	}
}

// grow adds a filter when the last one is full.
func (f *expiredKeys) grow() {
	n := len(f.filters)
	if n == maxFilters || n > 0 && f.filters[n-1].count < firstFilterKeys<<(n-1) {
		return
	}
	f.filters = append(f.filters, bloomFilter{bits: make([]byte, firstFilterKeys<<n*bitsPerKey/8)})
}

// has reports whether the key may have been used. It compares the time in the key with the horizon
// even if that time is not trusted. At worst, this refuses a key that was never used.
func (f *expiredKeys) has(k Key) bool {
	if t := keyTime(k.Idempotency); t > 0 && t <= f.horizons[k.Workspace] {
		return true
	}
	for _, filter := range f.filters {
		if filter.has(k) {
			return true
		}
	}
	return false
}

func (b *bloomFilter) has(k Key) bool {
	for _, bit := range filterBits(k, len(b.bits)) {
		if b.bits[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// filterBits returns the bits of a key in a filter of size bytes, computed by double hashing.
func filterBits(k Key, size int) [hashCount]uint64 {
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
