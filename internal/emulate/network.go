package emulate

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is a network in memory without latency. Whoever waits for it waits on a sync.Cond, so that tests can
// play it in the virtual time of testing/synctest. Its connections behave as TCP connections over a loopback
// interface whose buffers are never full: a write never waits. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*networkListener
	lastPort  uint16
}

// firstPort is the first of the ports that the network chooses itself.
const firstPort = 32768

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[netip.AddrPort]*networkListener), lastPort: firstPort}
}

// Listen returns a listener on an address (IP:port). Port 0 stands for one that is free.
func (n *Network) Listen(address string) (net.Listener, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ap.Port() == 0 {
		ap = n.choosePort(ap.Addr())
	}
	if _, isUsed := n.listeners[ap]; isUsed {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(ap), Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &networkListener{network: n, address: ap}
	l.changed.L = &l.mu
	n.listeners[ap] = l
	return l, nil
}

// choosePort returns a port of the IP address that no listener uses. The caller holds the lock.
func (n *Network) choosePort(ip netip.Addr) netip.AddrPort {
	for {
		n.lastPort = max(firstPort, n.lastPort+1)
		ap := netip.AddrPortFrom(ip, n.lastPort)
		if _, isUsed := n.listeners[ap]; !isUsed {
			return ap
		}
	}
}

// Dial opens a connection to a listener. An address without one refuses it.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(address)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	n.mu.Lock()
	l, local := n.listeners[ap], n.choosePort(ap.Addr())
	n.mu.Unlock()
	near, far := newNetworkConns(net.TCPAddrFromAddrPort(local), net.TCPAddrFromAddrPort(ap))
	if l == nil || !l.offer(far) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: near.remote, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	return near, nil
}

type networkListener struct {
	network *Network
	address netip.AddrPort

	mu       sync.Mutex
	changed  sync.Cond
	queue    []*networkConn
	isClosed bool
}

// offer queues a connection. It returns false if the listener is closed.
func (l *networkListener) offer(c *networkConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return false
	}
	l.queue = append(l.queue, c)
	l.changed.Signal()
	return true
}

// Accept waits for a connection.
func (l *networkListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.isClosed {
		l.changed.Wait()
	}
	if l.isClosed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil
}

// Close closes the listener and resets the connections that nobody has accepted.
func (l *networkListener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
	l.isClosed = true
	for _, c := range l.queue {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	l.queue = nil
	l.changed.Broadcast()
	return nil
}

// Addr returns the address of the listener.
func (l *networkListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// networkConn is one end of a connection. Both ends share a lock, which guards their fields.
type networkConn struct {
	mu            *sync.Mutex
	changed       *sync.Cond
	peer          *networkConn
	local, remote net.Addr

	received []byte // and not read yet
	hasEnded bool   // nothing more is received
	isBroken bool   // nothing can be sent
	// isReset means that the next read or write tells that the peer has reset the connection.
	isReset     bool
	isClosed    bool
	resets      bool // Close resets the connection
	read, write deadline
}

func newNetworkConns(near, far net.Addr) (*networkConn, *networkConn) {
	var mu sync.Mutex
	changed := sync.NewCond(&mu)
	a := &networkConn{mu: &mu, changed: changed, local: near, remote: far}
	b := &networkConn{mu: &mu, changed: changed, local: far, remote: near, peer: a}
	a.peer = b
	return a, b
}

func (c *networkConn) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Read reads what has arrived.
func (c *networkConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.isClosed:
			return 0, c.fail("read", net.ErrClosed)
		case c.read.hasPassed:
			return 0, c.fail("read", os.ErrDeadlineExceeded)
		case len(c.received) > 0 || len(p) == 0:
			n := copy(p, c.received)
			c.received = c.received[n:]
			return n, nil
		case c.isReset:
			c.isReset = false
			return 0, c.fail("read", os.NewSyscallError("read", syscall.ECONNRESET))
		case c.hasEnded:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

// Write writes p. As with TCP, the first write to a peer that has closed its end seems to succeed.
func (c *networkConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isClosed:
		return 0, c.fail("write", net.ErrClosed)
	case c.write.hasPassed:
		return 0, c.fail("write", os.ErrDeadlineExceeded)
	case c.isReset:
		c.isReset = false
		return 0, c.fail("write", os.NewSyscallError("write", syscall.ECONNRESET))
	case c.isBroken:
		return 0, c.fail("write", os.NewSyscallError("write", syscall.EPIPE))
	case c.peer.isClosed:
		c.isBroken = true
	default:
		c.peer.received = append(c.peer.received, p...)
		c.changed.Broadcast()
	}
	return len(p), nil
}

// Close closes the connection. As with TCP, the peer is reset if it has sent what was not read.
func (c *networkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return c.fail("close", net.ErrClosed)
	}
	c.isClosed = true
	c.read.stop()
	c.write.stop()
	if c.resets || len(c.received) > 0 {
		c.peer.isReset = !c.peer.hasEnded
		c.peer.isBroken = true
	}
	c.peer.hasEnded = true
	c.received = nil
	c.changed.Broadcast()
	return nil
}

// CloseWrite closes the direction to the peer.
func (c *networkConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return c.fail("close", net.ErrClosed)
	}
	c.isBroken, c.peer.hasEnded = true, true
	c.changed.Broadcast()
	return nil
}

// SetLinger makes Close reset the connection if the time is 0, as for a TCP connection.
func (c *networkConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = seconds == 0
	return nil
}

// IsQuiet reports whether the connection is open and nothing that was received is unread.
func (c *networkConn) IsQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isClosed && len(c.received) == 0 && !c.hasEnded && !c.isBroken
}

// IsDown reports whether nothing more can be received or sent.
func (c *networkConn) IsDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed || c.hasEnded && c.isBroken
}

func (c *networkConn) LocalAddr() net.Addr  { return c.local }
func (c *networkConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadlines of reads and writes.
func (c *networkConn) SetDeadline(t time.Time) error { return c.setDeadlines(t, &c.read, &c.write) }

// SetReadDeadline sets the deadline of reads.
func (c *networkConn) SetReadDeadline(t time.Time) error { return c.setDeadlines(t, &c.read) }

// SetWriteDeadline sets the deadline of writes.
func (c *networkConn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(t, &c.write) }

func (c *networkConn) setDeadlines(t time.Time, deadlines ...*deadline) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return c.fail("set", net.ErrClosed)
	}
	for _, d := range deadlines {
		d.set(c, t)
	}
	c.changed.Broadcast()
	return nil
}

// deadline is a deadline of reads or writes. The connection's lock guards it.
type deadline struct {
	timer     *time.Timer // nil without a deadline in the future
	hasPassed bool
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func (d *deadline) set(c *networkConn, t time.Time) {
	d.stop()
	left := time.Until(t)
	d.hasPassed = !t.IsZero() && left <= 0
	if t.IsZero() || d.hasPassed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if d.timer == timer { // it was not replaced meanwhile
			d.hasPassed = true
			c.changed.Broadcast()
		}
	})
	d.timer = timer
}
