package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// When a site recovers, every request fails for a while and every caller retries. The number of
// retries stays within the budget, whereas unlimited retries multiply the load.
func TestRetriesStayWithinBudgetWhenEverythingFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		b := NewBudgets()
		now := epoch
		n := rapid.IntRange(100, 1000).Draw(t, "requests")
		gap := time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
		bounded, naive := 0, 0
		for i := range n {
			k := Key{Workspace: fmt.Sprint("w", i%5), Service: "stock"}
			b.RecordRequest(now, k)
			for range 3 {
				naive++
				if b.Allow(now, k) {
					bounded++
				}
			}
			now = now.Add(gap)
		}
		limit := defaultCapacity + defaultRatio*float64(n) + defaultRefillPerSecond*now.Sub(epoch).Seconds()
		is.True(float64(bounded) <= limit+1e-6)
		is.True(naive == 3*n)
	})
}

func TestWorkspacesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	loud := Key{Workspace: "loud", Service: "stock"}
	for b.Allow(epoch, loud) {
	}
	is.True(!b.Allow(epoch, loud))
	is.True(b.Allow(epoch, Key{Workspace: "quiet", Service: "layout"}))
}

func TestBudgetsAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	for i := range 3 * maxBudgets {
		b.Allow(epoch, Key{Workspace: fmt.Sprint(i), Service: fmt.Sprint(i)})
	}
	is.True(len(b.current)+len(b.previous) <= maxBudgets)
}

func TestBackoffGrowsAndIsJittered(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for range 50 {
		d := Backoff(20, random)
		is.True(d >= maxBackoff/2 && d <= maxBackoff)
		seen[d] = true
	}
	is.True(len(seen) > 40)
	is.True(Backoff(1, random) <= minBackoff)
}

func TestFailedServerIsProbedByOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	h.Failed(epoch, "a")
	h.Failed(epoch, "a") // a request that was sent before the first failure
	is.Equal(h.Excluded(epoch), []string{"a"})
	now := epoch.Add(minEjection)
	is.Equal(len(h.Excluded(now)), 0)
	h.Chosen(now, "a")
	is.Equal(h.Excluded(now), []string{"a"}) // the probe is in flight
	h.Failed(now, "a")
	is.Equal(h.Excluded(now.Add(minEjection)), []string{"a"}) // the ejection time has doubled
	now = now.Add(2 * minEjection)
	is.Equal(len(h.Excluded(now)), 0)
	h.Chosen(now, "a")
	h.Succeeded("a")
	is.Equal(len(h.Excluded(now)), 0)
}

func TestHedgesOnlyTheSlowestCalls(t *testing.T) {
	is := is.New(t)
	l := NewLatencies()
	_, ok := l.HedgeDelay("stock")
	is.True(!ok)
	for i := range 1000 {
		l.Observe("stock", time.Duration(10+i%100)*time.Millisecond)
	}
	d, ok := l.HedgeDelay("stock")
	is.True(ok)
	is.True(d >= 95*time.Millisecond && d <= 109*time.Millisecond)
}
