package credit

import (
	"fmt"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEveryBatchIsCountedOnce adds numbered batches of two instances repeatedly, while the counter
// is restored from its image and the instances restart. It compares the count with the set of all
// batches.
func TestEveryBatchIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctr := NewCounter()
		counted := make(map[string]bool)
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
				add(ctr, batch, counted, &total)
			},
			"send again": func(t *rapid.T) {
				for _, batch := range last {
					add(ctr, batch, counted, &total)
				}
			},
			"restore": func(*rapid.T) { ctr = FromImage(ctr.Image()) },
			"": func(t *rapid.T) {
				if got := ctr.Counts()[Account{Member: "m", Kind: "draft"}]; got != total {
					t.Fatalf("counted %d, want %d", got, total)
				}
			},
		})
	})
}

func add(ctr *Counter, batch Batch, counted map[string]bool, total *uint64) {
	id := fmt.Sprint(batch.Source, batch.Incarnation, "/", batch.Sequence)
	if !counted[id] {
		counted[id] = true
		*total += 2
	}
	ctr.Add(batch)
}

func TestStoredBatchesAreBounded(t *testing.T) {
	is := is.New(t)
	ctr := NewCounter()
	for i := range maxSources + 10 {
		ctr.Add(Batch{Source: fmt.Sprint(i), Incarnation: 1, Sequence: 1})
	}
	is.Equal(len(ctr.lastBatches), maxSources)
	_, ok := ctr.lastBatches["9"]
	is.True(!ok)
	_, ok = ctr.lastBatches["10"]
	is.True(ok)
}
