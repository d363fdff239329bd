// Package credit counts the answered requests of each member by kind, each request once.
//
// An instance sends its credits in numbered batches, one after the other. A batch that is sent
// again is recognized by its number and counted once. The counter therefore stores only the number
// of each instance's last batch, instead of every request.
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

// Batch holds the credits of one instance since its previous batch.
type Batch struct {
	// Source is the name of the instance. Incarnation grows with each start of the instance.
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
	return sortedCounts(counts)
}

// maxSources bounds the instances whose last batch is stored. If there are more, the instance
// whose last batch is the oldest is removed.
const maxSources = 4096

// LastBatch identifies the last batch of one source.
type LastBatch struct {
	Source      string
	Incarnation uint64
	Sequence    uint64
	// Order grows by one with every batch of any source, so it tells which batch is the oldest.
	Order uint64
}

// Counter holds the counts of all accounts. The control instances replicate it. It is not
// safe for concurrent use.
type Counter struct {
	counts      map[Account]uint64
	lastBatches map[string]LastBatch
	lastOrder   uint64
}

// NewCounter returns a counter without counts.
func NewCounter() *Counter {
	return &Counter{counts: make(map[Account]uint64), lastBatches: make(map[string]LastBatch)}
}

// Add counts a batch unless it, or a later batch of the same source, was already counted.
func (ctr *Counter) Add(batch Batch) {
	last, ok := ctr.lastBatches[batch.Source]
	if ok && cmp.Or(cmp.Compare(batch.Incarnation, last.Incarnation), cmp.Compare(batch.Sequence, last.Sequence)) <= 0 {
		return
	}
	ctr.lastOrder++
	ctr.lastBatches[batch.Source] = LastBatch{Source: batch.Source, Incarnation: batch.Incarnation, Sequence: batch.Sequence, Order: ctr.lastOrder}
	ctr.removeOldestBatch()
	for _, c := range batch.Counts {
		ctr.counts[c.Account] += c.Count
	}
}

// Count counts one entry. The caller must make sure that the entry's request is counted only once.
func (ctr *Counter) Count(e Entry) {
	ctr.counts[Account{Member: e.Member, Kind: e.Kind}]++
}

func (ctr *Counter) removeOldestBatch() {
	if len(ctr.lastBatches) <= maxSources {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(ctr.lastBatches)), func(x, y LastBatch) int { return cmp.Compare(x.Order, y.Order) })
	delete(ctr.lastBatches, oldest.Source)
}

// Counts returns the count of each account. The caller must not modify the map.
func (ctr *Counter) Counts() map[Account]uint64 { return ctr.counts }

// Image is the complete state of a counter, for snapshots. Equal counters have equal images.
type Image struct {
	Counts []Count
	// LastBatches are sorted by Order.
	LastBatches []LastBatch
}

// Image returns a copy of the counter's state.
func (ctr *Counter) Image() Image {
	batches := slices.Collect(maps.Values(ctr.lastBatches))
	slices.SortFunc(batches, func(x, y LastBatch) int { return cmp.Compare(x.Order, y.Order) })
	return Image{Counts: sortedCounts(ctr.counts), LastBatches: batches}
}

// FromImage returns a counter with the state of the image.
func FromImage(im Image) *Counter {
	ctr := NewCounter()
	for _, c := range im.Counts {
		ctr.counts[c.Account] = c.Count
	}
	for _, last := range im.LastBatches {
		ctr.lastBatches[last.Source] = last
		ctr.lastOrder = max(ctr.lastOrder, last.Order)
	}
	return ctr
}

func sortedCounts(counts map[Account]uint64) []Count {
	out := make([]Count, 0, len(counts))
	for a, n := range counts {
		out = append(out, Count{Account: a, Count: n})
	}
	slices.SortFunc(out, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.Account.Member, y.Account.Member), cmp.Compare(x.Account.Kind, y.Account.Kind))
	})
	return out
}
