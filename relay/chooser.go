package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTaken bounds the requests of others that an instance serves at a time. A running draft takes about
	// 100 KB.
	maxTaken = 384
	// avoidedFor is how long an instance that has not taken a request, or whose answer has broken off, is passed
	// over.
	avoidedFor = time.Second
	// remotePenalty is by how many more requests an instance of the own data centre may serve before one of
	// another is chosen.
	remotePenalty = 8
)

// Instance is an instance that may take requests of others.
type Instance struct {
	Name       string
	Address    string
	DataCentre string
}

// Chooser chooses the instances that take this one's requests, and counts the requests that this one takes. It
// is safe for concurrent use.
type Chooser struct {
	taken atomic.Int64

	mu       sync.Mutex
	inFlight map[string]int // by the instance that serves them
	avoided  map[string]time.Time
}

// NewChooser returns a chooser without requests.
func NewChooser() *Chooser {
	return &Chooser{inFlight: make(map[string]int), avoided: make(map[string]time.Time)}
}

// Begin counts a request as passed on to an instance; the returned function subtracts it again.
func (c *Chooser) Begin(name string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[name]++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.inFlight[name]--; c.inFlight[name] == 0 {
			delete(c.inFlight, name)
		}
	})
}

// Avoid passes an instance over for some time.
func (c *Chooser) Avoid(now time.Time, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, other)
		}
	}
	c.avoided[name] = now.Add(avoidedFor)
}

// Choose returns the instance with the fewest requests of this one that was not tried yet.
func (c *Chooser) Choose(now time.Time, known []Instance, dataCentre string, tried []string) (best Instance, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bestScore := 0
	for _, i := range known {
		if slices.Contains(tried, i.Name) || now.Before(c.avoided[i.Name]) {
			continue
		}
		score := c.inFlight[i.Name]
		if i.DataCentre != dataCentre {
			score += remotePenalty
		}
		if !ok || score < bestScore {
			best, bestScore, ok = i, score, true
		}
	}
	return best, ok
}

// Take counts a request of another instance as taken, unless there are too many. The returned function subtracts
// it again.
func (c *Chooser) Take() (release func(), ok bool) {
	if c.taken.Add(1) > maxTaken {
		c.taken.Add(-1)
		return nil, false
	}
	return sync.OnceFunc(func() { c.taken.Add(-1) }), true
}

// Taken returns the number of requests of others in progress.
func (c *Chooser) Taken() int { return int(c.taken.Load()) }
