// Package linkcheck finds out whether an instance is cut off from the backend servers: it opens connections to
// some of them when one can't be reached, or none has answered for some time. Package reachability judges
// the outcome.
package linkcheck

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/reachability"
	"golang.org/x/sync/errgroup"
)

const (
	// quietAfter is the time without an answer of any server after which an instance with requests at servers
	// checks its links, and idleInterval the time after which it does without requests.
	quietAfter   = 500 * time.Millisecond
	idleInterval = 2 * time.Second
	// recheckInterval is the time between two checks of an instance that is cut off.
	recheckInterval = 250 * time.Millisecond
	// probeTimeout bounds one attempt to connect to a server, which usually takes about 2 ms. A lost packet
	// looks like an unreachable server, so there are ProbeTries attempts.
	probeTimeout = 30 * time.Millisecond
	ProbeTries   = 2
	// maxTimerDelay is how late a timer may fire in a process that is scheduled normally.
	maxTimerDelay = 15 * time.Millisecond
)

// ErrPaused means that this process was paused while it tried to reach a server, so that nothing is known.
var ErrPaused = errors.New("linkcheck: the process was paused")

// Target is a server that may be sampled.
type Target struct{ ID, Address string }

// Options describe a Checker. All functions must be safe for concurrent use.
type Options struct {
	// Probe opens a connection to an address and closes it.
	Probe func(ctx context.Context, address string) error
	// Targets returns the servers that announce themselves.
	Targets func() []Target
	// OnChange is called when the instance is cut off or connected again.
	OnChange func(isCutOff bool, s reachability.Sample)
	Seed     uint64
}

// Checker tracks whether an instance reaches the servers. It is safe for concurrent use.
type Checker struct {
	options Options
	started time.Time
	// pending counts the samples in progress.
	pending atomic.Int32
	// answeredAt is when a server last answered, as the time since started.
	answeredAt atomic.Int64

	// sampling is held while servers are sampled for Judge. lastBegan and last are the latest sample.
	sampling  sync.Mutex
	lastBegan time.Time
	last      reachability.Sample

	mu        sync.Mutex
	random    *rand.Rand
	observer  reachability.Observer
	checkedAt time.Time
	// connected ends when the instance is cut off.
	connected context.Context
	cutOff    context.CancelFunc
}

// New returns a checker of an instance that counts as connected.
func New(o Options) *Checker {
	c := &Checker{options: o, started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 2))}
	c.connected, c.cutOff = context.WithCancel(context.Background())
	return c
}

// IsCutOff reports whether the instance reaches no server.
func (c *Checker) IsCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observer.IsCutOff()
}

// IsPending reports whether servers are being sampled. What the instance has failed to reach may then show
// that it is cut off.
func (c *Checker) IsPending() bool { return c.pending.Load() > 0 }

// UntilCutOff returns a context that ends when the instance is cut off. It returns nil if it is already: then
// the servers may only have crashed together, and each attempt to reach one counts.
func (c *Checker) UntilCutOff() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observer.IsCutOff() {
		return nil
	}
	return c.connected
}

// RecordAnswer records that a server has answered.
func (c *Checker) RecordAnswer(now time.Time) { c.answeredAt.Store(int64(now.Sub(c.started))) }

// Judge returns what may be said about a server that was not reached at a time. It samples other servers,
// unless that was done since.
func (c *Checker) Judge(failedAt time.Time, id string) reachability.Blame {
	if c.IsCutOff() {
		return reachability.BlameNone
	}
	c.pending.Add(1)
	defer c.pending.Add(-1)
	c.sampling.Lock()
	defer c.sampling.Unlock()
	if c.lastBegan.Before(failedAt) {
		c.lastBegan = time.Now()
		c.last = c.sample(reachability.SampleSize, id)
	}
	s := c.last
	s.Unreached++
	c.add(s)
	return s.Blame()
}

// CheckIfDue samples servers in the background if that is due. hasWork means that the instance has requests at
// servers.
func (c *Checker) CheckIfDue(now time.Time, hasWork bool) {
	if !c.isDue(now, hasWork) {
		return
	}
	c.pending.Add(1)
	go func() {
		defer c.pending.Add(-1)
		if s := c.sample(reachability.RecheckSize, ""); s.Reached+s.Unreached > 0 {
			c.add(s)
		}
	}()
}

// isDue reports whether the links have to be checked, and marks them as checked now.
func (c *Checker) isDue(now time.Time, hasWork bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := now.Sub(c.started.Add(time.Duration(c.answeredAt.Load())))
	interval := recheckInterval
	switch {
	case c.observer.IsCutOff():
	case hasWork && quiet >= quietAfter:
	case quiet >= idleInterval:
		interval = idleInterval
	default:
		return false
	}
	if now.Sub(c.checkedAt) < interval {
		return false
	}
	c.checkedAt = now
	return true
}

// add records a sample, and reports a change.
func (c *Checker) add(s reachability.Sample) {
	c.mu.Lock()
	changed := c.observer.Add(time.Now(), s)
	isCutOff := c.observer.IsCutOff()
	if changed && isCutOff {
		c.cutOff()
	}
	if changed && !isCutOff {
		c.connected, c.cutOff = context.WithCancel(context.Background())
	}
	c.mu.Unlock()
	if changed {
		c.options.OnChange(isCutOff, s)
	}
}

// sample tries to open connections to up to size servers but one.
func (c *Checker) sample(size int, except string) reachability.Sample {
	targets, isWhole := c.chooseTargets(size, except)
	s := reachability.Sample{IsWhole: isWhole}
	var mu sync.Mutex
	var eg errgroup.Group
	for _, t := range targets {
		eg.Go(func() error {
			err := Reach(context.Background(), func(ctx context.Context) error { return c.options.Probe(ctx, t.Address) })
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				s.Reached++
				c.RecordAnswer(time.Now())
			case !errors.Is(err, ErrPaused):
				s.Unreached++
			}
			return nil
		})
	}
	_ = eg.Wait() // the functions always return nil
	return s
}

// chooseTargets returns up to size servers in random order, and whether these are all.
func (c *Checker) chooseTargets(size int, except string) (out []Target, isWhole bool) {
	for _, t := range c.options.Targets() {
		if t.ID != except {
			out = append(out, t)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(size, len(out))], len(out) <= size
}

// Reach checks whether a connection to a server can be opened. A refused connection fails without a second
// attempt. If an attempt takes longer than its timeout allows, this process was paused, and Reach returns
// ErrPaused.
func Reach(ctx context.Context, open func(ctx context.Context) error) error {
	var err error
	for range ProbeTries {
		began := time.Now()
		tryCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err = open(tryCtx)
		cancel()
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		if time.Since(began) > probeTimeout+maxTimerDelay {
			return ErrPaused
		}
	}
	return err
}
