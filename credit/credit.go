// Package credit counts answered requests by kind and member, each once.
package credit

// Entry is the credit for one answered request.
type Entry struct {
	// Request identifies the answered request over its re-sends.
	Request string `json:"r"`
	Member  string `json:"m"`
	Kind    string `json:"k"`
}

// Account is what is counted together.
type Account struct {
	Member string
	Kind   string
}

// maxRetainedRequests bounds the deduplication.
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
	b.seen[e.Request] = struct{}{}
	b.order = append(b.order, e.Request)
	if len(b.order) > maxRetainedRequests {
		delete(b.seen, b.order[0])
		b.order = b.order[1:]
	}
	b.counts[Account{Member: e.Member, Kind: e.Kind}]++
}

// Counts returns the count of each account.
func (b *Book) Counts() map[Account]uint64 { return b.counts }
