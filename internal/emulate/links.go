package emulate

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// LinkFault is what is wrong with the way from an instance to backend servers.
type LinkFault int

const (
	// LinkSound means that nothing is wrong.
	LinkSound LinkFault = iota
	// LinkSilent loses everything, in both directions. What was written arrives once the fault ends.
	LinkSilent
	// LinkReset resets open connections and refuses new ones.
	LinkReset
	// LinkRefusesNew leaves open connections alone and refuses new ones.
	LinkRefusesNew
	// LinkLosesAnswers is LinkSilent in the direction from the servers only.
	LinkLosesAnswers
)

func (f LinkFault) String() string {
	return [...]string{"sound", "silent", "reset", "refuses new", "loses answers"}[f]
}

// linkUnackedTimeout is the TCP_USER_TIMEOUT of the connections.
const linkUnackedTimeout = 2500 * time.Millisecond

// Links are the ways from one instance to backend servers, which can be broken by address. It is safe for
// concurrent use.
type Links struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	faults map[string]LinkFault // by address, "" for all others
	conns  map[*linkConn]struct{}
	// changed is closed and replaced when faults change.
	changed chan struct{}
}

// NewLinks returns links without faults, over TCP.
func NewLinks() *Links {
	return NewLinksOver(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
}

// NewLinksOver returns links without faults whose connections dial opens.
func NewLinksOver(dial func(ctx context.Context, address string) (net.Conn, error)) *Links {
	return &Links{dial: dial, faults: make(map[string]LinkFault), conns: make(map[*linkConn]struct{}), changed: make(chan struct{})}
}

// Break sets the fault of the ways to some addresses, or, without addresses, of all.
func (l *Links) Break(f LinkFault, addresses ...string) {
	l.mu.Lock()
	if len(addresses) == 0 {
		clear(l.faults)
		addresses = []string{""}
	}
	for _, a := range addresses {
		l.faults[a] = f
	}
	close(l.changed)
	l.changed = make(chan struct{})
	var ended []*linkConn
	for c := range l.conns {
		if l.faultOf(c.address) == LinkReset {
			ended = append(ended, c)
		}
	}
	l.mu.Unlock()
	for _, c := range ended {
		c.fail(syscall.ECONNRESET)
	}
}

// faultOf returns the fault of the way to an address. The caller holds the lock.
func (l *Links) faultOf(address string) LinkFault {
	if f, ok := l.faults[address]; ok {
		return f
	}
	return l.faults[""]
}

// await waits until a fault is none of the given ones. It returns false if done is closed before.
func (l *Links) await(address string, done <-chan struct{}, faults ...LinkFault) bool {
	for {
		l.mu.Lock()
		f, changed := l.faultOf(address), l.changed
		l.mu.Unlock()
		if !slices.Contains(faults, f) {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Reach returns an error if no new connection to the address can be opened. It waits for a silent one until
// ctx ends.
func (l *Links) Reach(ctx context.Context, address string) error {
	if !l.await(address, ctx.Done(), LinkSilent, LinkLosesAnswers) {
		return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.faultOf(address); f == LinkReset || f == LinkRefusesNew {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	return nil
}

// Dial opens a connection to a server.
func (l *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := l.Reach(ctx, address); err != nil {
		return nil, err
	}
	nc, err := l.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: nc, links: l, address: address, ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if tcp, ok := nc.(*net.TCPConn); ok {
		return &socketLinkConn{linkConn: c, tcp: tcp}, nil
	}
	return c, nil
}

// linkConn is a connection whose bytes wait while its way is silent.
type linkConn struct {
	net.Conn
	links   *Links
	address string

	once  sync.Once
	ended chan struct{}
	cause error // why the connection has ended, set before ended is closed
}

// fail ends the connection.
func (c *linkConn) fail(cause error) {
	c.once.Do(func() {
		c.cause = &net.OpError{Op: "read", Net: "tcp", Err: cause}
		close(c.ended)
		_ = c.Conn.Close()
		c.links.mu.Lock()
		defer c.links.mu.Unlock()
		delete(c.links.conns, c)
	})
}

// socketLinkConn is a linkConn over a socket.
type socketLinkConn struct {
	*linkConn
	tcp *net.TCPConn
}

// SyscallConn gives access to the socket, as for other TCP connections.
func (c *socketLinkConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// IsQuiet reports whether a connection of a Network is open and nothing that was received is unread.
func (c *linkConn) IsQuiet() bool {
	q, ok := c.Conn.(interface{ IsQuiet() bool })
	return ok && q.IsQuiet()
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.fail(net.ErrClosed)
	return nil
}

// Read reads what has arrived. While the way is silent, nothing does.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.links.await(c.address, c.ended, LinkSilent, LinkLosesAnswers) {
		return 0, c.cause
	}
	if err != nil {
		select {
		case <-c.ended:
			return 0, c.cause
		default:
		}
	}
	return n, err
}

// Write writes p, in the background while the way is silent: the kernel takes it.
func (c *linkConn) Write(p []byte) (int, error) {
	c.links.mu.Lock()
	isSilent := c.links.faultOf(c.address) == LinkSilent
	c.links.mu.Unlock()
	if !isSilent {
		return c.Conn.Write(p)
	}
	unacked := time.AfterFunc(linkUnackedTimeout, func() { c.fail(syscall.ETIMEDOUT) })
	held := slices.Clone(p)
	go func() {
		if c.links.await(c.address, c.ended, LinkSilent) {
			unacked.Stop()
			_, _ = c.Conn.Write(held) // a failure shows at the next read
		}
	}()
	return len(p), nil
}
