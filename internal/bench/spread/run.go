package spread

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Strategy is one way of spreading.
type Strategy struct {
	Name string
	new  func(id, n int, now time.Time) protocol
}

// Strategies returns the ways that are compared.
func Strategies() []Strategy {
	return []Strategy{
		{Name: "mesh", new: newMesh},
		{Name: "gossip", new: newGossip},
		{Name: "ring", new: newRing},
		{Name: "json_mesh", new: newJSONMesh},
	}
}

// Result is what one way costs and how fast it is. Rates are for one node.
type Result struct {
	MessagesPerSecond  float64 // sent
	KilobytesPerSecond float64 // sent and received
	PercentOfCore      float64
	AgeP99             time.Duration
	// DetectOne is the time until all other nodes hold a dead node failed, DetectFive that
	// of five nodes that die together. FalseFailures counts live nodes held failed at a look.
	DetectOne     time.Duration
	DetectFive    time.Duration
	FalseFailures int
}

// node runs one protocol over a socket.
type node struct {
	id      int
	conn    *net.UDPConn
	mu      sync.Mutex
	p       protocol
	stopped atomic.Bool
}

// cluster is all nodes of one run.
type cluster struct {
	nodes     []*node
	addresses []*net.UDPAddr
	messages  atomic.Uint64
	bytes     atomic.Uint64
}

const maxDatagramBytes = 64 << 10

// Run measures a way with n nodes.
func Run(ctx context.Context, w Strategy, n int, measure time.Duration) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(w, n)
	if err != nil {
		return Result{}, err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, nd := range c.nodes {
		g.Go(func() error { return c.tick(ctx, nd) })
		g.Go(func() error { return c.receive(ctx, nd) })
	}
	r, err := c.measure(measure)
	cancel()
	for _, nd := range c.nodes {
		_ = nd.conn.Close()
	}
	_ = g.Wait()
	return r, err
}

func newCluster(w Strategy, n int) (*cluster, error) {
	c := &cluster{}
	now := time.Now()
	for id := range n {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, eris.Wrap(err, "spread: listen")
		}
		c.nodes = append(c.nodes, &node{id: id, conn: conn, p: w.new(id, n, now)})
		c.addresses = append(c.addresses, conn.LocalAddr().(*net.UDPAddr))
	}
	return c, nil
}

func (c *cluster) tick(ctx context.Context, nd *node) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if nd.stopped.Load() {
			continue
		}
		nd.mu.Lock()
		out := nd.p.Tick(time.Now())
		nd.mu.Unlock()
		c.send(nd, out)
	}
}

func (c *cluster) receive(ctx context.Context, nd *node) error {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, err := nd.conn.Read(buf)
		if err != nil {
			return nil
		}
		if nd.stopped.Load() {
			continue
		}
		nd.mu.Lock()
		out := nd.p.Receive(time.Now(), buf[:n])
		nd.mu.Unlock()
		c.send(nd, out)
	}
	return nil
}

func (c *cluster) send(nd *node, packets []packet) {
	for _, p := range packets {
		c.messages.Add(1)
		c.bytes.Add(uint64(len(p.data)))
		_, _ = nd.conn.WriteToUDP(p.data, c.addresses[p.to])
	}
}

const (
	warmUp = 1500 * time.Millisecond
	// lookInterval is how often ages and failures are looked at.
	lookInterval = 10 * time.Millisecond
	detectLimit  = 6 * time.Second
	group        = 5
)

func (c *cluster) measure(d time.Duration) (Result, error) {
	time.Sleep(warmUp)
	n := float64(len(c.nodes))
	messages, bytes := c.messages.Load(), c.bytes.Load()
	processor := processorTime()
	start := time.Now()
	ages, failures := c.look(d)
	seconds := time.Since(start).Seconds()
	r := Result{
		MessagesPerSecond:  float64(c.messages.Load()-messages) / seconds / n,
		KilobytesPerSecond: 2 * float64(c.bytes.Load()-bytes) / 1000 / seconds / n,
		PercentOfCore:      100 * (processorTime() - processor).Seconds() / seconds / n,
		AgeP99:             ages[len(ages)*99/100],
		FalseFailures:      failures,
	}
	r.DetectOne = c.kill(1)
	r.DetectFive = c.kill(group)
	return r, nil
}

// look samples the ages of all that all nodes know, and counts live nodes held failed.
func (c *cluster) look(d time.Duration) ([]time.Duration, int) {
	var ages []time.Duration
	failures := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * lookInterval) {
		for _, nd := range c.nodes {
			nd.mu.Lock()
			now := time.Now()
			for other := range c.nodes {
				if other == nd.id {
					continue
				}
				ages = append(ages, nd.p.Age(now, other))
				if nd.p.HasFailed(now, other) {
					failures++
				}
			}
			nd.mu.Unlock()
		}
	}
	slices.Sort(ages)
	return ages, failures
}

// kill stops the next nodes that run and returns the time until all others hold them failed,
// or the limit.
func (c *cluster) kill(count int) time.Duration {
	start := time.Now()
	var dead []int
	for _, nd := range c.nodes[1:] {
		if len(dead) < count && !nd.stopped.Load() {
			nd.stopped.Store(true)
			dead = append(dead, nd.id)
		}
	}
	for time.Since(start) < detectLimit {
		if c.allHoldFailed(dead) {
			return time.Since(start)
		}
		time.Sleep(lookInterval)
	}
	return detectLimit
}

func (c *cluster) allHoldFailed(dead []int) bool {
	for _, nd := range c.nodes {
		if nd.stopped.Load() {
			continue
		}
		nd.mu.Lock()
		now := time.Now()
		all := !slices.ContainsFunc(dead, func(d int) bool { return !nd.p.HasFailed(now, d) })
		nd.mu.Unlock()
		if !all {
			return false
		}
	}
	return true
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
