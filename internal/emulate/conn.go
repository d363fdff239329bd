package emulate

import (
	"net"
	"sync"
)

// faultyListener accepts connections that are subject to the faults of its engine.
type faultyListener struct {
	net.Listener
	faults *faults

	mu    sync.Mutex
	conns map[*faultyConn]bool
}

func newFaultyListener(l net.Listener, f *faults) *faultyListener {
	return &faultyListener{Listener: l, faults: f, conns: make(map[*faultyConn]bool)}
}

// Accept waits for a connection.
func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &faultyConn{Conn: c, listener: l, epoch: l.faults.currentEpoch(), closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[fc] = true
	l.mu.Unlock()
	return fc, nil
}

// crash closes the listener and all connections.
func (l *faultyListener) crash() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// faultyConn is an accepted connection that is subject to faults.
type faultyConn struct {
	net.Conn
	listener *faultyListener
	epoch    int
	once     sync.Once
	closed   chan struct{}
}

func (c *faultyConn) isBlackholed() bool { return c.epoch != c.listener.faults.currentEpoch() }

// Read reads from the connection. On a blackholed connection it blocks until Close is called.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.faults.waitWhileFrozen()
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. On a blackholed connection it discards the data and reports
// success.
func (c *faultyConn) Write(p []byte) (int, error) {
	c.listener.faults.waitWhileFrozen()
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.conns, c)
	})
	return c.Conn.Close()
}
