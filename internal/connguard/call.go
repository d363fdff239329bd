package connguard

import (
	"io"
	"net"
	"time"

	"github.com/balsamlb/balsamlb/intake"
)

// maxCallWait bounds the wait for connections that make way for a message.
const maxCallWait = time.Second

// calls is the state of a connection of an instance, and what the account knows of it.
type calls struct {
	intake.Calls
	stage   intake.Stage
	charged int64
}

// readMessage reads a part of a message.
func (c *Conn) readMessage(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), intake.FreeMessage)])
	if n > 0 && !c.changeCalls(func(s *calls) { s.Read(n, len(p)) }) {
		return 0, io.EOF
	}
	return n, err
}

// changeCalls changes the state of the calls, and the account with it. It returns false if there is no memory, or if
// the connection is being closed.
func (c *Conn) changeCalls(f func(s *calls)) bool {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	return c.changeCallsLocked(f)
}

func (c *Conn) changeCallsLocked(f func(s *calls)) bool {
	s, queued := &c.calls, c.calls.Queued()
	f(s)
	isOpen, now := true, time.Now()
	stage, more := s.Stage(), s.Cost()-s.charged
	if stage != s.stage || more < 0 || s.Queued() != queued {
		c.guard.change(func(a *intake.Account) intake.Outcome {
			if isOpen = a.Enter(now, c.state, stage); !isOpen {
				return intake.Outcome{}
			}
			out := a.Observe(now, c.state, s.Queued()*queuedFactor)
			return out.And(a.Release(now, c.state, max(0, -more)))
		})
	}
	if !isOpen || more > 0 && !c.reserveForCall(more) {
		return false
	}
	s.stage = stage
	s.charged += more
	return true
}

// reserveForCall asks for bytes and waits until the account has decided. The server of a connection that makes way may
// notice it late, since it reads nothing while a message waits for its handler.
func (c *Conn) reserveForCall(n int64) bool {
	if c.tryReserve(n) {
		return true
	}
	timeout := time.NewTimer(maxCallWait)
	defer timeout.Stop()
	select {
	case isReserved := <-c.decided:
		return isReserved
	case <-timeout.C:
		_ = c.Close() // takes it out of the line
		return <-c.decided
	}
}

// BeginCall reports that a call of another instance begins. If it returns false, the connection is being closed.
func (c *Conn) BeginCall() bool {
	return c == nil || c.changeCalls(func(s *calls) { s.SetInCall(true) })
}

// EndMessage reports that a message of a call has been received.
func (c *Conn) EndMessage() {
	if c != nil {
		c.changeCalls(func(s *calls) { s.EndMessage() })
	}
}

// EndCall reports that a call has ended: the connection waits for the next one.
func (c *Conn) EndCall() {
	if c != nil {
		c.changeCalls(func(s *calls) { s.SetInCall(false) })
	}
}

// observeCalls charges what waits in the kernel to be read.
func (c *Conn) observeCalls() {
	if !c.workMu.TryLock() {
		return // the sweep doesn't wait for a connection that waits for others
	}
	defer c.workMu.Unlock()
	received, _ := c.queues()
	c.changeCallsLocked(func(s *calls) { s.SetQueued(received) })
}

// Of returns the guarded connection beneath a connection, or nil if there is none.
func Of(c any) *Conn {
	for {
		switch t := c.(type) {
		case *Conn:
			return t
		case interface{ NetConn() net.Conn }: // TLS, or a counter of bytes
			c = t.NetConn()
		default:
			return nil
		}
	}
}
