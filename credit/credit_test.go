package credit

import (
	"fmt"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEveryBatchCountsOnce adds numbered batches of two instances repeatedly, while the counter is
// restored from its image and the instances restart. It compares the count with the set of all
// batches.
func TestEveryBatchCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewCounter()
		naive := make(map[string]bool) // batches that were counted
		var total uint64
		last := make(map[string]Batch)
		t.Repeat(map[string]func(*rapid.T){
			"batch": func(t *rapid.T) {
				source := rapid.SampledFrom([]string{"kandy-1", "galle-1"}).Draw(t, "source")
				batch := last[source]
				if batch.Sequence == 0 || rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					batch = Batch{Source: source, Incarnation: batch.Incarnation + 1}
				}
				batch.Sequence++
				batch.Counts = Collect([]Entry{{Member: "m", Kind: "draft"}, {Member: "m", Kind: "draft"}})
				last[source] = batch
				add(b, batch, naive, &total)
			},
			"send again": func(t *rapid.T) {
				for _, batch := range last {
					add(b, batch, naive, &total)
				}
			},
			"restore": func(*rapid.T) { b = FromImage(b.Image()) },
			"": func(t *rapid.T) {
				if got := b.Counts()[Account{Member: "m", Kind: "draft"}]; got != total {
					t.Fatalf("counted %d, want %d", got, total)
				}
			},
		})
	})
}

func add(b *Counter, batch Batch, naive map[string]bool, total *uint64) {
	id := fmt.Sprint(batch.Source, batch.Incarnation, "/", batch.Sequence)
	if !naive[id] {
		naive[id] = true
		*total += 2
	}
	b.Add(batch)
}

func TestMarksAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewCounter()
	for i := range maxSources + 10 {
		b.Add(Batch{Source: fmt.Sprint(i), Incarnation: 1, Sequence: 1})
	}
	is.Equal(len(b.marks), maxSources)
	_, ok := b.marks["9"]
	is.True(!ok)
	_, ok = b.marks["10"]
	is.True(ok)
}
