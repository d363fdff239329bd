// Package credit counts answered requests by kind and member, each once.
package credit

import (
	"cmp"
	"maps"
	"slices"
)

// Entry is the credit for one answered request.
type Entry struct {
	// Request identifies the answered request over its re-sends.
	Request string
	Member  string
	Kind    string
}

// Account is what is counted together.
type Account struct {
	Member string
	Kind   string
}

// maxRetainedRequests bounds the deduplication. A proposer sends a batch again only for
// seconds, which is less than this many requests take.
const maxRetainedRequests = 100_000

// Book holds the counts. It is replicated by the control instances.
type Book struct {
	counts map[Account]uint64
	seen   map[string]struct{}
	order  []string
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{counts: make(map[Account]uint64), seen: make(map[string]struct{})}
}

// Add credits an entry unless its request was credited before.
func (b *Book) Add(e Entry) {
	if _, ok := b.seen[e.Request]; ok {
		return
	}
	b.remember(e.Request)
	b.counts[Account{Member: e.Member, Kind: e.Kind}]++
}

// Count credits an entry whose request the caller knows to be credited once.
func (b *Book) Count(e Entry) {
	b.counts[Account{Member: e.Member, Kind: e.Kind}]++
}

func (b *Book) remember(request string) {
	b.seen[request] = struct{}{}
	b.order = append(b.order, request)
	if len(b.order) > maxRetainedRequests {
		delete(b.seen, b.order[0])
		b.order = b.order[1:]
	}
}

// Counts returns the count of each account.
func (b *Book) Counts() map[Account]uint64 { return b.counts }

// Image is all that a book holds, for snapshots. Equal books have equal images.
type Image struct {
	Counts []Count
	// Requests are those that are deduplicated, oldest first.
	Requests []string
}

// Count is the credit of one account.
type Count struct {
	Account Account
	Count   uint64
}

// Image returns a copy of what the book holds.
func (b *Book) Image() Image {
	im := Image{Requests: slices.Clone(b.order)}
	accounts := slices.SortedFunc(maps.Keys(b.counts), func(x, y Account) int {
		return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.Kind, y.Kind))
	})
	for _, a := range accounts {
		im.Counts = append(im.Counts, Count{Account: a, Count: b.counts[a]})
	}
	return im
}

// FromImage returns a book that holds what the image does.
func FromImage(im Image) *Book {
	b := NewBook()
	for _, c := range im.Counts {
		b.counts[c.Account] = c.Count
	}
	for _, r := range im.Requests {
		b.remember(r)
	}
	return b
}
