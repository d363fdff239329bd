package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const callersLimit = 20 * time.Second

// observeFirst lets n first requests come in calm times whose callers state up to the given share less than the limit.
func observeFirst(p *Patience, random *rand.Rand, n int, share float64) (now time.Time) {
	p.SetCalm(epoch, true)
	now = epoch.Add(calmFor)
	for range n {
		now = now.Add(300 * time.Millisecond)
		p.Observe(now, callersLimit, time.Duration((1-share*random.Float64())*float64(callersLimit)))
	}
	return now
}

// Callers state up to 15 in 100 less than the limit from the start: a third of the objective of 500 ms says nothing about lateness.
func TestImpatientFirstCallersAreNotTakenForReturningOnes(t *testing.T) {
	for _, n := range []int{minStatements, 30, 300} {
		random := rand.New(rand.NewPCG(uint64(n), 1))
		var p Patience
		observeFirst(&p, random, n, 0.15)
		taken := 0
		for range 1000 {
			if p.Waited(callersLimit, time.Duration((1-0.15*random.Float64())*float64(callersLimit))) > 250*time.Millisecond {
				taken++
			}
		}
		t.Logf("%d observed: %d of 1,000 first requests taken for late", n, taken)
		is.New(t).True(taken <= 100)
	}
}

func TestWaitedOfCallers(t *testing.T) {
	for _, c := range []struct {
		name        string
		share       float64
		left        time.Duration
		atLeast, at time.Duration
	}{
		{"the whole limit, usual", 0, callersLimit, 0, 0},
		{"no time is stated", 0, 0, 0, 0},
		{"it comes back after a refusal", 0, 17 * time.Second, 3 * time.Second, 3 * time.Second},
		{"it comes back, callers differ", 0.15, 15 * time.Second, 1900 * time.Millisecond, 2500 * time.Millisecond},
		{"no more than callers differ", 0.15, 17500 * time.Millisecond, 0, 0},
		{"little patience", 0, 1500 * time.Millisecond, 0, 0},
		{"more patience than the route's", 0, time.Minute, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Patience
			observeFirst(&p, rand.New(rand.NewPCG(1, 2)), 100, c.share)
			waited := p.Waited(callersLimit, c.left)
			t.Log(waited)
			is.New(t).True(waited >= c.atLeast && waited <= c.at)
		})
	}
}

// What is stated while somebody is refused, or the others aren't heard, says nothing about first requests.
func TestOnlyCalmTimesTeachWhatFirstCallersState(t *testing.T) {
	is := is.New(t)
	var p Patience
	now := epoch
	for range 100 {
		now = now.Add(300 * time.Millisecond)
		p.Observe(now, callersLimit, callersLimit)
	}
	is.Equal(p.Waited(callersLimit, 16*time.Second), time.Duration(0)) // nothing was known of the others
	now = observeFirst(&p, rand.New(rand.NewPCG(1, 2)), 100, 0.15)
	before := p.Waited(callersLimit, 16*time.Second)
	is.True(before > 0)
	p.SetCalm(now, false)
	p.SetCalm(now, true)
	for range 30 {
		now = now.Add(300 * time.Millisecond)
		p.Observe(now, callersLimit, 14*time.Second) // callers that come back
	}
	is.Equal(p.Waited(callersLimit, 16*time.Second), before)
}

func TestCallersThatBecomeMorePatientAreFollowed(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var p Patience
	observeFirst(&p, random, 5000, 0.3)
	is.Equal(p.Waited(callersLimit, 15*time.Second), time.Duration(0))
	observeFirst(&p, random, 10*maxStatements, 0)
	is.Equal(p.Waited(callersLimit, 15*time.Second), 5*time.Second)
}
