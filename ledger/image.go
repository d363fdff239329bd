package ledger

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrImage means that an image is inconsistent and can't be the result of Ledger.Image.
var ErrImage = errors.New("ledger: inconsistent image")

// Image is a copy of a ledger's contents, for snapshots. Equal ledgers have equal images.
type Image struct {
	// Records are sorted in the order in which their Begins were applied.
	Records   []Record
	Withdrawn []Withdrawal
	Filters   []Filter
	Horizons  []Horizon
}

// Withdrawal is an abandoned attempt and the replicated time of its Abandon.
type Withdrawal struct {
	Attempt string
	At      time.Duration
}

// Filter is one Bloom filter of expired keys.
type Filter struct {
	Count uint64
	Bits  []byte
}

// Horizon is the latest trusted time in the expired keys of a workspace. Keys of the workspace
// with a time up to KeyTime are refused.
type Horizon struct {
	Workspace string
	KeyTime   uint64
}

// Image returns a copy of the ledger's contents.
func (l *Ledger) Image() Image {
	im := Image{Records: make([]Record, 0, len(l.records))}
	for _, r := range l.queue.records {
		if !r.removed {
			im.Records = append(im.Records, *r)
		}
	}
	for _, a := range l.withdrawn.order {
		im.Withdrawn = append(im.Withdrawn, Withdrawal{Attempt: a, At: l.withdrawn.abandonedAt[a]})
	}
	for _, f := range l.expired.filters {
		im.Filters = append(im.Filters, Filter{Count: f.count, Bits: bytes.Clone(f.bits)})
	}
	for w, t := range l.expired.horizons {
		im.Horizons = append(im.Horizons, Horizon{Workspace: w, KeyTime: t})
	}
	slices.SortFunc(im.Horizons, func(a, b Horizon) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return im
}

// FromImage returns a ledger with the contents of the image.
func FromImage(im Image) (*Ledger, error) {
	l := New()
	for _, record := range im.Records {
		r := &record
		if _, ok := l.records[r.Key]; ok {
			return nil, ErrImage
		}
		l.queue.push(r)
		l.records[r.Key] = r
		l.answerBytes += len(r.Answer.Body)
	}
	for _, w := range im.Withdrawn {
		l.withdrawn.add(w.Attempt, w.At)
	}
	for i, f := range im.Filters {
		if i >= maxFilters || len(f.Bits) != firstFilterKeys<<i*bitsPerKey/8 {
			return nil, ErrImage
		}
		l.expired.filters = append(l.expired.filters, bloomFilter{count: f.Count, bits: f.Bits})
	}
	for _, h := range im.Horizons {
		l.expired.horizons[h.Workspace] = h.KeyTime
	}
	return l, nil
}
