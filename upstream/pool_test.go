package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/matryer/is"
)

// Guards against connections that stay open to servers that are never asked again: the client of a control instance
// has no maintenance of its own.
func TestIdleConnectionsOfServersThatAreGoneAreClosed(t *testing.T) {
	is := is.New(t)
	p := pool{idle: make(map[string][]*conn)}
	start := time.Unix(100, 0)
	gone, gonePeer := idleConn("gone", start.Add(4*time.Second))
	p.put(start, gone)
	other, otherPeer := idleConn("other", start.Add(9*time.Second))
	p.put(start.Add(5*time.Second), other)
	is.True(isClosedByPeer(gonePeer)) // nobody asked for it
	is.Equal(len(p.idle), 1)
	p.close()
	is.True(isClosedByPeer(otherPeer))
	late, latePeer := idleConn("late", start.Add(9*time.Second))
	p.put(start.Add(5*time.Second), late)
	is.True(isClosedByPeer(latePeer)) // became idle after the client was closed
}

// Guards against requests that are written to a connection without a socket that has ended while it was idle.
func TestConnectionWithoutSocketThatHasEndedIsNotReused(t *testing.T) {
	is := is.New(t)
	p := pool{idle: make(map[string][]*conn)}
	start := time.Unix(100, 0)
	for _, hasEnded := range []bool{true, false} {
		near, far := net.Pipe()
		defer far.Close()
		c := &conn{Conn: quietness{near, !hasEnded}, server: "s", answers: answers.NewReader(near, readBufferSize), usableUntil: start.Add(time.Second)}
		p.put(start, c)
		is.Equal(p.take(start, "s") == c, !hasEnded)
		is.Equal(isClosedByPeer(far), hasEnded)
	}
}

// quietness is a connection that says whether it is quiet.
type quietness struct {
	net.Conn
	isQuiet bool
}

func (c quietness) IsQuiet() bool { return c.isQuiet }

func idleConn(server string, usableUntil time.Time) (c *conn, peer net.Conn) {
	near, far := net.Pipe()
	return &conn{Conn: near, server: server, usableUntil: usableUntil}, far
}

func isClosedByPeer(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now())
	_, err := c.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	return !(ok && ne.Timeout())
}
