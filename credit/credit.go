// Package credit counts answered requests by kind and member, each once.
//
// An instance sends its credits in batches that it numbers, one after the other, so that a
// batch which is sent again counts once, and the book remembers one number an instance
// instead of every request.
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

// Account is what is counted together.
type Account struct {
	Member string
	Kind   string
}

// Count is the credit of one account.
type Count struct {
	Account Account
	Count   uint64
}

// Batch is what one instance has to credit since its last batch.
type Batch struct {
	// Source is the instance's name; Incarnation grows with each of its starts.
	Source      string
	Incarnation uint64
	// Sequence grows by one with each batch of an incarnation, from 1.
	Sequence uint64
	Counts   []Count
}

// Collect adds up entries, by account.
func Collect(entries []Entry) []Count {
	counts := make(map[Account]uint64)
	for _, e := range entries {
		counts[Account{Member: e.Member, Kind: e.Kind}]++
	}
	return sorted(counts)
}

// maxSources bounds the instances whose last batch is remembered; the one that has been
// quiet for longest is forgotten.
const maxSources = 4096

// Mark is the last batch of one source.
type Mark struct {
	Source      string
	Incarnation uint64
	Sequence    uint64
	// Turn grows with every batch of any source.
	Turn uint64
}

// Book holds the counts. It is replicated by the control instances.
type Book struct {
	counts map[Account]uint64
	marks  map[string]Mark
	turn   uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{counts: make(map[Account]uint64), marks: make(map[string]Mark)}
}

// Add credits a batch unless it, or a later one of its source, was credited before.
func (b *Book) Add(batch Batch) {
	m, ok := b.marks[batch.Source]
	if ok && cmp.Or(cmp.Compare(batch.Incarnation, m.Incarnation), cmp.Compare(batch.Sequence, m.Sequence)) <= 0 {
		return
	}
	b.turn++
	b.marks[batch.Source] = Mark{Source: batch.Source, Incarnation: batch.Incarnation, Sequence: batch.Sequence, Turn: b.turn}
	b.forgetQuietest()
	for _, c := range batch.Counts {
		b.counts[c.Account] += c.Count
	}
}

// Count credits an entry whose request the caller knows to be credited once.
func (b *Book) Count(e Entry) {
	b.counts[Account{Member: e.Member, Kind: e.Kind}]++
}

func (b *Book) forgetQuietest() {
	if len(b.marks) <= maxSources {
		return
	}
	quietest := slices.MinFunc(slices.Collect(maps.Values(b.marks)), func(x, y Mark) int { return cmp.Compare(x.Turn, y.Turn) })
	delete(b.marks, quietest.Source)
}

// Counts returns the count of each account.
func (b *Book) Counts() map[Account]uint64 { return b.counts }

// Image is all that a book holds, for snapshots. Equal books have equal images.
type Image struct {
	Counts []Count
	// Marks are ordered by their turns.
	Marks []Mark
}

// Image returns a copy of what the book holds.
func (b *Book) Image() Image {
	marks := slices.Collect(maps.Values(b.marks))
	slices.SortFunc(marks, func(x, y Mark) int { return cmp.Compare(x.Turn, y.Turn) })
	return Image{Counts: sorted(b.counts), Marks: marks}
}

// FromImage returns a book that holds what the image does.
func FromImage(im Image) *Book {
	b := NewBook()
	for _, c := range im.Counts {
		b.counts[c.Account] = c.Count
	}
	for _, m := range im.Marks {
		b.marks[m.Source] = m
		b.turn = max(b.turn, m.Turn)
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
