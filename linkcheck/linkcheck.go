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

// Target is a server that may be sampled. Servers are judged among those of their service.
type Target struct{ ID, Address, Service string }

// Options describe a Checker. All functions must be safe for concurrent use.
type Options struct {
	// Probe opens a connection to an address and closes it.
	Probe func(ctx context.Context, address string) error
	// Targets returns the servers that announce themselves.
	Targets func() []Target
	// OnChange is called when the instance is cut off or connected again.
	OnChange func(service string, isCutOff bool, s reachability.Sample)
	Seed     uint64
}

// Checker tracks whether an instance reaches the servers of each service. It is safe for concurrent use.
type Checker struct {
	options Options
	started time.Time
	// pending counts the samples in progress, and cutOff the services from whose servers the instance is cut
	// off.
	pending atomic.Int32
	cutOff  atomic.Int32

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
}

// service is the state of the links to the servers of a service. The checker's lock guards its fields, but for
// sampling, lastBegan and last.
type service struct {
	observer reachability.Observer
	// answeredAt is when one of the servers last answered, as the time since the checker's start.
	answeredAt atomic.Int64
	checkedAt  time.Time
	// connected ends when the instance is cut off.
	connected context.Context
	end       context.CancelFunc

	// sampling is held while servers are sampled for Judge, and guards the latest sample.
	sampling  sync.Mutex
	lastBegan time.Time
	last      reachability.Sample
}

// New returns a checker of an instance that counts as connected.
func New(o Options) *Checker {
	return &Checker{options: o, started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 2)), services: make(map[string]*service)}
}

// service returns the state of a service. The caller holds the lock.
func (c *Checker) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{}
		s.connected, s.end = context.WithCancel(context.Background())
		s.answeredAt.Store(int64(time.Since(c.started)))
		c.services[name] = s
	}
	return s
}

// IsCutOff reports whether the instance is cut off from the servers of a service.
func (c *Checker) IsCutOff(name string) bool {
	if c.cutOff.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(name).observer.IsCutOff()
}

// IsAnyCutOff reports whether the instance is cut off from the servers of some service.
func (c *Checker) IsAnyCutOff() bool { return c.cutOff.Load() > 0 }

// IsPending reports whether servers are being sampled. What the instance has failed to reach may then show
// that it is cut off.
func (c *Checker) IsPending() bool { return c.pending.Load() > 0 }

// UntilCutOff returns a context that ends when the instance is cut off from the servers of a service. It returns
// nil if it is already: then the servers may only have crashed together, and each attempt to reach one counts.
func (c *Checker) UntilCutOff(name string) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name)
	if s.observer.IsCutOff() {
		return nil
	}
	return s.connected
}

// RecordAnswer records that a server of a service has answered.
func (c *Checker) RecordAnswer(now time.Time, name string) {
	c.mu.Lock()
	s := c.service(name)
	c.mu.Unlock()
	s.answeredAt.Store(int64(now.Sub(c.started)))
}

// Judge returns what may be said about a server that was not reached at a time. It samples others of its service,
// unless that was done since.
func (c *Checker) Judge(failedAt time.Time, id, name string) reachability.Blame {
	c.mu.Lock()
	s := c.service(name)
	isCutOff := s.observer.IsCutOff()
	c.mu.Unlock()
	if isCutOff {
		return reachability.BlameNone
	}
	c.pending.Add(1)
	defer c.pending.Add(-1)
	s.sampling.Lock()
	defer s.sampling.Unlock()
	if s.lastBegan.Before(failedAt) {
		s.lastBegan = time.Now()
		s.last = c.sample(reachability.SampleSize, name, id)
	}
	sample := s.last
	sample.Unreached++
	c.add(name, sample)
	return sample.Blame()
}

// CheckIfDue samples servers of each service in the background if that is due. hasWork reports whether the
// instance has requests at servers of a service.
func (c *Checker) CheckIfDue(now time.Time, hasWork func(service string) bool) {
	for _, name := range c.due(now, hasWork) {
		c.pending.Add(1)
		go func() {
			defer c.pending.Add(-1)
			c.check(name)
		}()
	}
}

// check samples servers of a service: first a single one, unless the instance is cut off.
func (c *Checker) check(name string) {
	if !c.IsCutOff(name) && c.sample(1, name, "").Unreached == 0 {
		return
	}
	if s := c.sample(reachability.RecheckSize, name, ""); s.Reached+s.Unreached > 0 {
		c.add(name, s)
	}
}

// due returns the services whose links have to be checked, and marks them as checked now.
func (c *Checker) due(now time.Time, hasWork func(service string) bool) (names []string) {
	known := make(map[string]bool)
	for _, t := range c.options.Targets() {
		known[t.Service] = true
	}
	for name := range known {
		known[name] = hasWork(name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, isWorking := range known {
		s := c.service(name)
		quiet := now.Sub(c.started.Add(time.Duration(s.answeredAt.Load())))
		interval := recheckInterval
		switch {
		case s.observer.IsCutOff():
		case isWorking && quiet >= quietAfter:
			interval = quietAfter
		case quiet >= idleInterval:
			interval = idleInterval
		default:
			continue
		}
		if now.Sub(s.checkedAt) >= interval {
			s.checkedAt = now
			names = append(names, name)
		}
	}
	return names
}

// add records a sample, and reports a change.
func (c *Checker) add(name string, sample reachability.Sample) {
	c.mu.Lock()
	s := c.service(name)
	changed := s.observer.Add(time.Now(), sample)
	isCutOff := s.observer.IsCutOff()
	switch {
	case changed && isCutOff:
		c.cutOff.Add(1)
		s.end()
	case changed:
		c.cutOff.Add(-1)
		s.connected, s.end = context.WithCancel(context.Background())
	}
	c.mu.Unlock()
	if changed {
		c.options.OnChange(name, isCutOff, sample)
	}
}

// sample tries to open connections to up to size servers of a service but one.
func (c *Checker) sample(size int, name, except string) reachability.Sample {
	targets, isWhole := c.chooseTargets(size, name, except)
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
				c.RecordAnswer(time.Now(), name)
			case !errors.Is(err, ErrPaused):
				s.Unreached++
			}
			return nil
		})
	}
	_ = eg.Wait() // the functions always return nil
	return s
}

// chooseTargets returns up to size servers of a service in random order, and whether these are all.
func (c *Checker) chooseTargets(size int, name, except string) (out []Target, isWhole bool) {
	for _, t := range c.options.Targets() {
		if t.Service == name && t.ID != except {
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
