// Package credit counts the answered requests of each member by kind, each request once.
//
// An instance sends its credits in numbered batches, one after the other. A batch that is sent
// again is counted once, and only the number of each instance's last batch has to be stored, not
// every request.
package credit

import (
	"cmp"
	"maps"
	"slices"
)

// Entry is the credit for one answered request.
type Entry struct {
	// Request identifies the answered request.
	Request string
	Member  string
	Kind    string
}

// Account identifies a count: the requests of one member and kind.
type Account struct {
	Member string
	Kind   string
}

// Count is the number of credits of one account.
type Count struct {
	Account Account
	Count   uint64
}

// Batch holds the credits of one instance since its last batch.
type Batch struct {
	// Source is the name of the instance. Incarnation grows with each of its starts.
	Source      string
	Incarnation uint64
	// Sequence grows by one with each batch of an incarnation, from 1.
	Sequence uint64
	Counts   []Count
}

// Collect returns the number of entries of each account.
func Collect(entries []Entry) []Count {
	counts := make(map[Account]uint64)
	for _, e := range entries {
		counts[Account{Member: e.Member, Kind: e.Kind}]++
	}
	return sorted(counts)
}

// maxSources bounds the instances whose last batch is stored. Beyond it, the instance whose last
// batch is the oldest is removed.
const maxSources = 4096

// LastBatch identifies the last batch of one source.
type LastBatch struct {
	Source      string
	Incarnation uint64
	Sequence    uint64
	// Order grows by one with every batch of any source, so it orders the marks by time.
	Order uint64
}

// Counter holds the counts of all accounts. The control instances replicate it.
type Counter struct {
	counts map[Account]uint64
	marks  map[string]LastBatch
	turn   uint64
}

// NewCounter returns a counter without counts.
func NewCounter() *Counter {
	return &Counter{counts: make(map[Account]uint64), marks: make(map[string]LastBatch)}
}

// Add counts a batch unless it, or a later batch of the same source, was already counted.
func (b *Counter) Add(batch Batch) {
	m, ok := b.marks[batch.Source]
	if ok && cmp.Or(cmp.Compare(batch.Incarnation, m.Incarnation), cmp.Compare(batch.Sequence, m.Sequence)) <= 0 {
		return
	}
	b.turn++
	b.marks[batch.Source] = LastBatch{Source: batch.Source, Incarnation: batch.Incarnation, Sequence: batch.Sequence, Order: b.turn}
	b.forgetQuietest()
	for _, c := range batch.Counts {
		b.counts[c.Account] += c.Count
	}
}

// Count counts one entry. The caller must make sure that its request is counted only once.
func (b *Counter) Count(e Entry) {
	b.counts[Account{Member: e.Member, Kind: e.Kind}]++
}

func (b *Counter) forgetQuietest() {
	if len(b.marks) <= maxSources {
		return
	}
	quietest := slices.MinFunc(slices.Collect(maps.Values(b.marks)), func(x, y LastBatch) int { return cmp.Compare(x.Order, y.Order) })
	delete(b.marks, quietest.Source)
}

// Counts returns the count of each account.
func (b *Counter) Counts() map[Account]uint64 { return b.counts }

// Image is the complete state of a counter, for snapshots. Equal counters have equal images.
type Image struct {
	Counts []Count
	// LastBatches are ordered by Turn.
	LastBatches []LastBatch
}

// Image returns a copy of the counter's state.
func (b *Counter) Image() Image {
	marks := slices.Collect(maps.Values(b.marks))
	slices.SortFunc(marks, func(x, y LastBatch) int { return cmp.Compare(x.Order, y.Order) })
	return Image{Counts: sorted(b.counts), LastBatches: marks}
}

// FromImage returns a counter with the state of the image.
func FromImage(im Image) *Counter {
	b := NewCounter()
	for _, c := range im.Counts {
		b.counts[c.Account] = c.Count
	}
	for _, m := range im.LastBatches {
		b.marks[m.Source] = m
		b.turn = max(b.turn, m.Order)
	}
	return b
}

func sorted(counts map[Account]uint64) []Count {
	out := make([]Count, 0, len(counts))
	for a, n := range counts {
		out = append(out, Count{Account: a, Count: n})
	}
	slices.SortFunc(out, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.Account.Member, y.Account.Member), cmp.Compare(x.Account.Kind, y.Account.Kind))
	})
	return out
}
