package connguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/intake"
	"golang.org/x/sys/unix"
)

const (
	// transitMargin is added to the times that clients are promised, since they measure them at their end.
	transitMargin = time.Second
	// readAhead is the size of a server's read buffer, unless the options state it: a head may be followed by as much of
	// what comes after it.
	readAhead = 4 << 10
	// maxHeadRead bounds a read of a head.
	maxHeadRead = 16 << 10
	// lateRead is how long a read that is late looks for bytes that have arrived. A process that was paused must
	// not take its own pause for that of a client.
	lateRead = 5 * time.Millisecond
	// writePart is the size in bytes of one write, and writeTime how long a client may take to read that much.
	writePart = 16 << 10
	writeTime = 30 * time.Second
)

const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"the head is larger than the limit\n"

// Conn is a guarded connection. The methods that report its stage may be called on nil, which stands for a
// connection that isn't guarded. Only the server of the connection may call them.
type Conn struct {
	net.Conn
	guard *Guard
	state *intake.Conn
	// decided receives what the account has decided about the bytes that were asked for.
	decided chan bool

	// isServed is set from the end of a head to the end of the request.
	isServed atomic.Bool
	// writing is when the write in progress began, in Unix nanoseconds, or 0.
	writing atomic.Int64
	// hasSmallBuffers means that the kernel's buffers were made small.
	hasSmallBuffers atomic.Bool
	// isAhead means that the client has sent many requests ahead while memory is short.
	isAhead atomic.Bool

	// The server's goroutine uses the fields below.
	idleSince time.Time
	arrived   time.Time // of the first byte of the head; zero if none has arrived
	headBytes int
	// buffered is what the content of the server's read buffer is worth at most, and head what was charged for reads
	// of a head.
	buffered int64
	head     int64
	// hasMore means that the last read of a head has filled the buffer, so that more may wait in the kernel.
	hasMore bool
	// unobserved is what was written since the kernel's queues were looked at.
	unobserved int

	workMu sync.Mutex
	work   int64 // charged for work and body
	calls  calls
}

// Read reads from the client. The bytes of a head are charged before they are returned.
func (c *Conn) Read(p []byte) (int, error) {
	if c.guard.HasCalls {
		return c.readMessage(p)
	}
	if c.isServed.Load() {
		n, err := c.Conn.Read(p)
		if c.guard.HasTLS || len(p) <= c.guard.readAhead() {
			c.recordRead(p, n)
		}
		return n, err
	}
	p = p[:min(len(p), maxHeadRead)] // what is read is charged afterwards
	limits := c.guard.limits.Load()
	n, err := c.readHead(p, limits)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	if c.arrived.IsZero() {
		c.arrived = now
		c.guard.change(func(a *intake.Account) intake.Outcome {
			a.Enter(now, c.state, intake.Arriving)
			return intake.Outcome{}
		})
	}
	c.headBytes += n
	if limits.Bytes > 0 && c.headBytes > limits.Bytes+c.guard.readAhead() {
		_, _ = io.WriteString(c.Conn, headTooLarge)
		return 0, io.EOF
	}
	cost := c.recordRead(p, n)
	c.hasMore = n == len(p)
	if !c.reserve(cost) {
		return 0, io.EOF
	}
	c.head += cost
	return n, err
}

// recordRead records a read into the server's read buffer, and returns what the bytes are worth as a part of a head.
func (c *Conn) recordRead(p []byte, n int) int64 {
	lines := bytes.Count(p[:n], []byte{'\n'})
	if c.guard.HasTLS {
		lines = n / shortestLine
	} else if len(p) >= c.guard.readAhead() { // the buffer was empty
		c.buffered = 0
	}
	cost := int64(2*n + lineBytes*lines)
	c.buffered = min(c.guard.maxReadAhead(), c.buffered+cost)
	return cost
}

// readHead reads a part of a head, or waits for one, within the times of the limits.
func (c *Conn) readHead(p []byte, l *HeadLimits) (int, error) {
	var deadline time.Time
	switch {
	case c.arrived.IsZero() && l.IdleTime > 0:
		deadline = c.idleSince.Add(l.IdleTime + transitMargin)
	case !c.arrived.IsZero() && l.Time > 0:
		deadline = c.arrived.Add(l.Time + transitMargin)
	default:
		return c.Conn.Read(p)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := c.SetReadDeadline(time.Now().Add(lateRead)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// reserve asks for bytes, waits until the account has decided, and reports whether it has granted them.
func (c *Conn) reserve(n int64) bool { return c.tryReserve(n) || <-c.decided }

// tryReserve asks for bytes and reports whether they were granted at once. Otherwise decided tells once the account has
// decided.
func (c *Conn) tryReserve(n int64) bool {
	isReserved := false
	c.guard.change(func(a *intake.Account) intake.Outcome {
		if isReserved = a.TryReserve(c.state, n); isReserved {
			return intake.Outcome{}
		}
		return a.Reserve(time.Now(), c.state, n)
	})
	return isReserved
}

// BeginBody reports that a head has arrived whole, and that a body follows.
func (c *Conn) BeginBody() {
	if c != nil {
		c.begin(intake.Arriving)
	}
}

// BeginWork reports that a request has arrived whole, so that the connection isn't closed for others any more. If it
// returns false, there is no room for the request, or the connection was closed: it must not be passed on.
func (c *Conn) BeginWork() bool {
	if c == nil {
		return true
	}
	if !c.begin(intake.Working) {
		return false
	}
	if c.hasMore {
		c.observe(time.Now())
	}
	return c.Grow(requestBytes)
}

// observe charges what the kernel's queues hold for a request, and notes whether its answer is read.
func (c *Conn) observe(now time.Time) {
	received, sent := c.queues()
	stage := intake.Working
	if begun := c.writing.Load(); begun != 0 && now.Sub(time.Unix(0, begun)) >= blockedTime {
		stage = intake.Unread
	}
	isCrowded := false
	c.guard.change(func(a *intake.Account) intake.Outcome {
		switch c.state.Stage() {
		case intake.Working, intake.Unread:
			a.Enter(now, c.state, stage)
		case intake.Arriving:
		default:
			return intake.Outcome{} // the request has ended meanwhile
		}
		isCrowded = a.IsCrowded()
		c.isAhead.Store(received > maxAheadBytes && isCrowded)
		return a.Observe(now, c.state, int64(received+sent)*queuedFactor)
	})
	if isCrowded && !c.hasSmallBuffers.Swap(true) {
		setBuffers(c.Conn, smallBuffer)
	}
}

func (c *Conn) begin(s intake.Stage) (isOpen bool) {
	c.isServed.Store(true)
	c.guard.change(func(a *intake.Account) intake.Outcome {
		isOpen = a.Enter(time.Now(), c.state, s)
		return intake.Outcome{}
	})
	return isOpen
}

// Grow asks for memory for the request, which it holds until its end or until Shrink. It returns false if there is
// none.
func (c *Conn) Grow(n int64) bool {
	if c == nil {
		return true
	}
	c.workMu.Lock()
	defer c.workMu.Unlock()
	if !c.reserve(n) {
		return false
	}
	c.work += n
	return true
}

// Shrink gives memory of the request back.
func (c *Conn) Shrink(n int64) {
	if c == nil {
		return
	}
	c.workMu.Lock()
	defer c.workMu.Unlock()
	c.work -= n
	c.guard.change(func(a *intake.Account) intake.Outcome { return a.Release(time.Now(), c.state, n) })
}

// IsAhead reports whether the connection should be closed after the answer, since the client has sent many requests
// ahead while memory is short.
func (c *Conn) IsAhead() bool { return c != nil && c.isAhead.Load() }

// endRequest gives back what the request held. The server's read buffer may hold the begin of the next one.
func (c *Conn) endRequest() {
	now := time.Now()
	c.workMu.Lock()
	defer c.workMu.Unlock()
	held := c.head + c.work - c.buffered
	c.idleSince, c.arrived, c.headBytes, c.head, c.work = now, time.Time{}, 0, c.buffered, 0
	c.isServed.Store(false)
	c.guard.change(func(a *intake.Account) intake.Outcome {
		a.Enter(now, c.state, intake.Idle)
		out := a.Observe(now, c.state, 0)
		return out.And(a.Release(now, c.state, held))
	})
}

// Write writes to the client, which may take writeTime to read each writePart.
func (c *Conn) Write(p []byte) (int, error) {
	if c.guard.HasCalls {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		now := time.Now()
		if err := c.SetWriteDeadline(now.Add(writeTime)); err != nil {
			return written, err
		}
		c.writing.Store(now.UnixNano())
		n, err := c.Conn.Write(part)
		c.writing.Store(0)
		written += n
		if c.unobserved += n; c.unobserved >= writePart {
			c.unobserved = 0
			c.observe(now)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection once its server has ended it.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	delete(c.guard.conns, c)
	c.guard.carryOut(c.guard.account.Closed(time.Now(), c.state))
	select {
	case c.guard.freed <- struct{}{}:
	default: // the listener has not seen the last signal yet
	}
	return err
}

// makeWay closes the socket. The server notices, and calls Close.
func (c *Conn) makeWay() {
	from := c.state.From()
	c.guard.closed[from]++
	if from == intake.Idle {
		_ = c.Conn.Close()
		return
	}
	abort(c.Conn)
}

// queues returns how many bytes wait in the kernel to be read, and to be read by the client.
func (c *Conn) queues() (received, sent int) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, 0
	}
	_ = raw.Control(func(fd uintptr) { // fails on a connection that has ended
		received, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		sent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return received, sent
}
