// Package meter counts the bytes that pass through connections.
package meter

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all connections that were wrapped with it. It is safe for concurrent
// use.
type Traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
	opened   atomic.Uint64
}

// Received returns the number of bytes read from the connections.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Sent returns the number of bytes written to the connections.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Opened returns the number of connections that were wrapped.
func (t *Traffic) Opened() uint64 { return t.opened.Load() }

// Conn wraps a connection so that its bytes are counted.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	t.opened.Add(1)
	return &countingConn{Conn: c, traffic: t}
}

// Listener wraps a listener so that the bytes of the connections it accepts are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countingListener{Listener: l, traffic: t}
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// NetConn returns the connection beneath.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}
