// Package meter counts the bytes that pass through connections.
package meter

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all connections that were made with it.
type Traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
	opened   atomic.Uint64
}

// Received returns the number of bytes that were read.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Sent returns the number of bytes that were written.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Opened returns the number of connections that were made.
func (t *Traffic) Opened() uint64 { return t.opened.Load() }

// Conn counts the bytes of a connection.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	t.opened.Add(1)
	return &conn{Conn: c, traffic: t}
}

// Listener counts the bytes of the connections that a listener accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, traffic: t}
}

type conn struct {
	net.Conn
	traffic *Traffic
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

type listener struct {
	net.Listener
	traffic *Traffic
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}
