package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// instancePair names the instance that opens a connection (from) and the instance that accepts it
// (to), or the sender and the receiver of bytes.
type instancePair struct {
	from, to string
}

func (p instancePair) reverse() instancePair { return instancePair{from: p.to, to: p.from} }

// LinkFault is what happens to the traffic between two instances, in either direction.
type LinkFault struct {
	// RefusesNew resets new connections, and HangsNew accepts them and passes nothing on.
	RefusesNew, HangsNew bool
	// Delay is added to each write.
	Delay time.Duration
	// Loss is the share of writes and of new connections that wait as if a packet was sent again,
	// for minRetransmit to maxRetransmit.
	Loss float64
	// BytesPerSecond limits the link; 0: unlimited.
	BytesPerSecond int
}

const (
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = time.Second
)

// relays forward the traffic from other instances to each instance. They can block, harm or limit the
// traffic of a pair of instances and let all other traffic pass.
type relays struct {
	mu sync.Mutex
	// nameByIP holds the name of each instance by its IP address.
	nameByIP map[string]string
	// partitioned holds the pairs, by sender and receiver, between which no bytes pass.
	partitioned map[instancePair]bool
	// faults holds both orders of each pair that has a fault.
	faults map[instancePair]LinkFault
	// epoch is incremented by every BlackholeConnections of the pair. Connections that were
	// opened in an earlier epoch are blackholed.
	epoch map[instancePair]int
	// lines hold when the link of each machine is free again, by the machine's name and direction.
	lines map[string]*line
	// lineRate is the bandwidth of each machine's link in bytes per second; 0: unlimited.
	lineRate map[string]int
	open     map[*net.TCPConn]instancePair
	// listeners holds the listener before each instance, and paused the instances before which no
	// connection is accepted.
	listeners map[string]*net.TCPListener
	paused    map[string]bool
	// changed is closed and replaced by every update.
	changed chan struct{}
}

// line is one direction of a link of limited bandwidth.
type line struct{ free time.Time }

// reserve books n bytes and returns when the last of them has passed.
func (l *line) reserve(now time.Time, n, bytesPerSecond int) time.Time {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
	return l.free
}

func newRelays() *relays {
	return &relays{
		nameByIP:    make(map[string]string),
		partitioned: make(map[instancePair]bool),
		faults:      make(map[instancePair]LinkFault),
		epoch:       make(map[instancePair]int),
		lines:       make(map[string]*line),
		lineRate:    make(map[string]int),
		open:        make(map[*net.TCPConn]instancePair),
		listeners:   make(map[string]*net.TCPListener),
		paused:      make(map[string]bool),
		changed:     make(chan struct{}),
	}
}

// serve relays the connections that the listener accepts to the target until ctx ends. to is
// the name of the instance at the target.
func (r *relays) serve(ctx context.Context, l net.Listener, to, target string) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	r.update(func() { r.listeners[to] = l.(*net.TCPListener) })
	for {
		inbound, err := l.Accept()
		if err != nil || !r.waitWhile(ctx, func() bool { return r.paused[to] }) {
			return
		}
		host, _, _ := net.SplitHostPort(inbound.RemoteAddr().String())
		r.mu.Lock()
		p := instancePair{from: r.nameByIP[host], to: to}
		epoch := r.epoch[p]
		r.mu.Unlock()
		go r.relayConnection(ctx, inbound.(*net.TCPConn), p, epoch, target)
	}
}

func (r *relays) relayConnection(ctx context.Context, inbound *net.TCPConn, p instancePair, epoch int, target string) {
	r.track(inbound, p)
	defer r.untrack(inbound)
	fault := r.fault(p)
	if fault.RefusesNew {
		_ = inbound.SetLinger(0)
		return
	}
	if fault.HangsNew {
		epoch-- // never open
	}
	if !r.waitOpen(ctx, p, epoch, p, p.reverse()) {
		return
	}
	r.sleepForLoss(ctx, p)
	c, err := net.Dial("tcp", target)
	if err != nil {
		_ = inbound.SetLinger(0)
		return
	}
	outbound := c.(*net.TCPConn)
	r.track(outbound, p)
	defer r.untrack(outbound)
	done := make(chan struct{}, 2)
	go func() { r.copyWhileOpen(ctx, outbound, inbound, p, epoch, p); done <- struct{}{} }()
	go func() { r.copyWhileOpen(ctx, inbound, outbound, p, epoch, p.reverse()); done <- struct{}{} }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

const (
	relayBufferBytes = 32 << 10
	// socketBufferBytes keeps what a relay takes in advance small, so that a slow link slows the sender.
	socketBufferBytes = 64 << 10
)

func (r *relays) track(c *net.TCPConn, p instancePair) {
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = p
}

func (r *relays) untrack(c *net.TCPConn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// reset resets the open connections for which isMeant returns true.
func (r *relays) reset(isMeant func(instancePair) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, p := range r.open {
		if isMeant(p) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// copyWhileOpen copies from src to dst, which is the direction d of a connection of the pair p. It holds
// data back while the direction is partitioned, and as long as faults and links want it.
func (r *relays) copyWhileOpen(ctx context.Context, dst io.Writer, src io.Reader, p instancePair, epoch int, d instancePair) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			r.sleepForLoss(ctx, d)
			sleepUntil(ctx, r.reserve(d, n))
			if !r.waitOpen(ctx, p, epoch, d) {
				return
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relays) fault(p instancePair) LinkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[p]
}

func (r *relays) sleepForLoss(ctx context.Context, d instancePair) {
	if f := r.fault(d); f.Loss > 0 && rand.Float64() < f.Loss {
		sleepUntil(ctx, time.Now().Add(minRetransmit+rand.N(maxRetransmit-minRetransmit)))
	}
}

// reserve returns when n bytes in the direction d have passed the links on their way.
func (r *relays) reserve(d instancePair, n int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	passed := now
	pass := func(name string, bytesPerSecond int) {
		if bytesPerSecond == 0 {
			return
		}
		l := r.lines[name]
		if l == nil {
			l = &line{}
			r.lines[name] = l
		}
		if t := l.reserve(now, n, bytesPerSecond); t.After(passed) {
			passed = t
		}
	}
	fault := r.faults[d]
	pass("from "+d.from, r.lineRate[d.from])
	pass("to "+d.to, r.lineRate[d.to])
	pass("between "+d.from+" and "+d.to, fault.BytesPerSecond)
	return passed.Add(fault.Delay)
}

func sleepUntil(ctx context.Context, t time.Time) {
	wait := time.Until(t)
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// waitOpen waits until none of the directions is partitioned. For a blackholed connection of the pair p it
// waits until ctx ends. It returns false when ctx has ended.
func (r *relays) waitOpen(ctx context.Context, p instancePair, epoch int, directions ...instancePair) bool {
	return r.waitWhile(ctx, func() bool {
		return r.epoch[p] != epoch || slices.ContainsFunc(directions, func(d instancePair) bool { return r.partitioned[d] })
	})
}

// waitWhile waits until holds returns false, and returns false if ctx ends before. holds is called with the lock.
func (r *relays) waitWhile(ctx context.Context, holds func() bool) bool {
	for {
		r.mu.Lock()
		isOver := !holds()
		wake := r.changed
		r.mu.Unlock()
		if isOver {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *relays) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// listen opens a TCP listener on the address.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "lab: listen on %s", address)
}
