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

// Strategy is a named dissemination protocol.
type Strategy struct {
	Name        string
	newProtocol func(id, n int, now time.Time) protocol
}

// Strategies returns the strategies that are compared.
func Strategies() []Strategy {
	return []Strategy{
		{Name: "mesh", newProtocol: newMesh},
		{Name: "gossip", newProtocol: newGossip},
		{Name: "ring", newProtocol: newRing},
		{Name: "json_mesh", newProtocol: newJSONMesh},
	}
}

// Result holds the cost and the detection times of one strategy. Rates are per node.
type Result struct {
	MessagesPerSecond  float64 // sent
	KilobytesPerSecond float64 // sent and received
	PercentOfCore      float64
	AgeP99             time.Duration
	// DetectOne is the time until all other nodes consider a stopped node failed. DetectFive is the
	// same time for five nodes that stop together. FalseFailures counts, over all samples, how
	// often a node considered a running node failed.
	DetectOne     time.Duration
	DetectFive    time.Duration
	FalseFailures int
}

// node runs one protocol over a socket.
type node struct {
	id       int
	conn     *net.UDPConn
	mu       sync.Mutex
	protocol protocol
	stopped  atomic.Bool
}

// cluster is all nodes of one run.
type cluster struct {
	nodes     []*node
	addresses []*net.UDPAddr
	messages  atomic.Uint64
	bytes     atomic.Uint64
}

const maxDatagramBytes = 64 << 10

// Run measures a strategy with n nodes.
func Run(ctx context.Context, strategy Strategy, n int, measure time.Duration) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(strategy, n)
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

func newCluster(strategy Strategy, n int) (*cluster, error) {
	c := &cluster{}
	now := time.Now()
	for id := range n {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, eris.Wrap(err, "spread: listen")
		}
		c.nodes = append(c.nodes, &node{id: id, conn: conn, protocol: strategy.newProtocol(id, n, now)})
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
		out := nd.protocol.Tick(time.Now())
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
		out := nd.protocol.Receive(time.Now(), buf[:n])
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
	// checkInterval is the pause between two checks whether all nodes have detected a failure. The
	// ages of states are sampled at 20 times this interval.
	checkInterval = 10 * time.Millisecond
	detectTimeout = 6 * time.Second
	groupSize     = 5
)

func (c *cluster) measure(d time.Duration) (Result, error) {
	time.Sleep(warmUp)
	n := float64(len(c.nodes))
	messages, bytes := c.messages.Load(), c.bytes.Load()
	cpuBefore := cpuTime()
	start := time.Now()
	ages, failures := c.sample(d)
	seconds := time.Since(start).Seconds()
	r := Result{
		MessagesPerSecond:  float64(c.messages.Load()-messages) / seconds / n,
		KilobytesPerSecond: 2 * float64(c.bytes.Load()-bytes) / 1000 / seconds / n,
		PercentOfCore:      100 * (cpuTime() - cpuBefore).Seconds() / seconds / n,
		AgeP99:             ages[len(ages)*99/100],
		FalseFailures:      failures,
	}
	r.DetectOne = c.stopNodes(1)
	r.DetectFive = c.stopNodes(groupSize)
	return r, nil
}

// sample returns the sorted ages of the states that every node has of every other node, and how
// often a node considered a running node failed.
func (c *cluster) sample(d time.Duration) ([]time.Duration, int) {
	var ages []time.Duration
	failures := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * checkInterval) {
		for _, nd := range c.nodes {
			nd.mu.Lock()
			now := time.Now()
			for other := range c.nodes {
				if other == nd.id {
					continue
				}
				ages = append(ages, nd.protocol.Age(now, other))
				if nd.protocol.HasFailed(now, other) {
					failures++
				}
			}
			nd.mu.Unlock()
		}
	}
	slices.Sort(ages)
	return ages, failures
}

// stopNodes stops count running nodes and returns the time until all other nodes consider the
// stopped nodes failed, at most detectTimeout.
func (c *cluster) stopNodes(count int) time.Duration {
	start := time.Now()
	var stopped []int
	for _, nd := range c.nodes[1:] {
		if len(stopped) < count && !nd.stopped.Load() {
			nd.stopped.Store(true)
			stopped = append(stopped, nd.id)
		}
	}
	for time.Since(start) < detectTimeout {
		if c.allConsiderFailed(stopped) {
			return time.Since(start)
		}
		time.Sleep(checkInterval)
	}
	return detectTimeout
}

func (c *cluster) allConsiderFailed(stopped []int) bool {
	for _, nd := range c.nodes {
		if nd.stopped.Load() {
			continue
		}
		nd.mu.Lock()
		now := time.Now()
		all := !slices.ContainsFunc(stopped, func(d int) bool { return !nd.protocol.HasFailed(now, d) })
		nd.mu.Unlock()
		if !all {
			return false
		}
	}
	return true
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
