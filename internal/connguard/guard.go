// Package connguard bounds the memory and descriptors that the connections of a process's clients hold. A guard
// wraps the listener of a server, counts what arrives below the server, and closes connections as the account of
// package intake decides.
package connguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

const (
	// connectionBytes is the memory of a connection: its goroutine, the buffers of the server, and the socket.
	connectionBytes = 24 << 10
	// lineBytes is the memory of a line of a head once it is parsed and copied, as a head may consist of very short
	// fields.
	lineBytes = 160
	// requestBytes is the memory of a request that is worked on, besides its head and body.
	requestBytes = 32 << 10
	// socketBuffer is the size in bytes of the kernel's buffers of a connection in each direction. The kernel doubles
	// it, which is the size that a connection begins with, and doesn't let it grow. smallBuffer is their size if memory
	// is short.
	socketBuffer = 64 << 10
	smallBuffer  = 16 << 10
	// queuedFactor is the memory of the kernel for each byte in a queue.
	queuedFactor = 2
	// shortestLine is the size in bytes of the shortest line of a head.
	shortestLine = 3
	// tlsBytes is the memory of a TLS connection besides: a record in each direction, once more while it is decrypted,
	// and the state of the handshake.
	tlsBytes = 64 << 10
	// maxAheadBytes is the size of requests sent ahead from which a connection is closed after its answer if memory
	// is short.
	maxAheadBytes = 8 << 10
	// sweepInterval is the time between two looks at the kernel's queues, and logInterval between two log lines.
	sweepInterval = 200 * time.Millisecond
	logInterval   = time.Second
	// acceptWait bounds the wait for connections that are being closed in favour of a new one.
	acceptWait = 100 * time.Millisecond
	// blockedTime is how long a write must have been blocked before the answer counts as unread.
	blockedTime = sweepInterval
)

// HeadLimits bound what clients may send, and how long they may take.
type HeadLimits struct {
	// Bytes bounds the head of a request; 0 means no bound.
	Bytes int
	// Time is how long a head may take to arrive, and IdleTime how long a connection is kept without a request; 0
	// means that the server's own times hold.
	Time     time.Duration
	IdleTime time.Duration
}

// Options describe a guard.
type Options struct {
	// Name names the listener in logs and metrics.
	Name string
	intake.Limits
	// KeepsBuffers leaves the size of the kernel's buffers to the kernel, for clients on long links that send or read
	// much, until memory is short.
	KeepsBuffers bool
	// ReadBuffer is the size in bytes of the server's read buffer; 0 means 4 KiB.
	ReadBuffer int
	// HasTLS means that the connections carry TLS, which the server speaks. Their heads are charged as if they consisted
	// of the shortest lines.
	HasTLS bool
	// HasCalls means that the connections carry calls between instances, which BeginCall, EndMessage and EndCall report.
	HasCalls bool
	Log      logr.Logger
}

func (o *Options) readAhead() int { return max(readAhead, o.ReadBuffer) }

// maxReadAhead bounds what the part of a read buffer is charged that follows a request.
func (o *Options) maxReadAhead() int64 {
	return int64(2*o.readAhead() + o.readAhead()/shortestLine*lineBytes)
}

// connectionBytes returns the memory of a connection.
func (o *Options) connectionBytes() int64 {
	bytes := int64(connectionBytes + o.readAhead() - readAhead)
	if o.HasTLS {
		bytes += tlsBytes
	}
	return bytes
}

// Guard bounds the connections of one listener. It is safe for concurrent use.
type Guard struct {
	Options
	limits atomic.Pointer[HeadLimits]
	// freed is signalled when a connection has given its memory back.
	freed chan struct{}

	mu      sync.Mutex
	account *intake.Account
	conns   map[*Conn]bool
	closed  [intake.Working]uint64 // connections closed for lack of room, by their stage
	refused uint64
	logged  uint64
}

// New returns a guard.
func New(o Options) *Guard {
	g := &Guard{Options: o, account: intake.New(o.Limits), conns: make(map[*Conn]bool), freed: make(chan struct{}, 1)}
	g.limits.Store(&HeadLimits{})
	return g
}

// SetHeadLimits changes the limits of requests.
func (g *Guard) SetHeadLimits(l HeadLimits) { g.limits.Store(&l) }

// Status is the state of a guard for metrics.
type Status struct {
	Bytes       int64
	Connections int
	// Closed counts the connections that were closed for lack of room, by what they waited for.
	Closed map[string]uint64
}

// Names of the stages in logs and metrics.
const (
	stageIdle     = "idle"
	stageArriving = "arriving"
	stageUnread   = "unread"
	stageRefused  = "refused"
)

// Status returns the state of the guard.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Bytes: g.account.Used(), Connections: g.account.Connections(), Closed: map[string]uint64{
		stageIdle: g.closed[intake.Idle], stageArriving: g.closed[intake.Arriving], stageUnread: g.closed[intake.Unread], stageRefused: g.refused,
	}}
}

// Run watches the kernel's queues of the connections until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	logged := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.sweep(now)
			if now.Sub(logged) >= logInterval {
				logged = now
				g.logClosed()
			}
		}
	}
}

func (g *Guard) logClosed() {
	s := g.Status()
	total := uint64(0)
	for _, n := range s.Closed {
		total += n
	}
	if total != g.logged {
		g.Log.Info("closed connections of clients for lack of room", "listener", g.Name, "closed", total-g.logged, "bytes", s.Bytes,
			"connections", s.Connections, "idle", s.Closed[stageIdle], "arriving", s.Closed[stageArriving], "unread", s.Closed[stageUnread], "refused", s.Closed[stageRefused])
		g.logged = total
	}
}

// sweep charges what the kernel's queues hold for requests, and notes whose answers aren't read.
func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	conns := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		if s := c.state.Stage(); (s != intake.Idle || g.HasCalls) && s < intake.Closing {
			conns = append(conns, c)
		}
	}
	g.mu.Unlock()
	for _, c := range conns {
		if g.HasCalls {
			c.observeCalls()
		} else {
			c.observe(now)
		}
	}
}

// change changes the account and carries its outcome out.
func (g *Guard) change(f func(a *intake.Account) intake.Outcome) {
	g.mu.Lock()
	out := f(g.account)
	g.carryOut(out)
	g.mu.Unlock()
}

func (g *Guard) carryOut(out intake.Outcome) {
	for _, s := range out.Granted {
		s.Owner.(*Conn).decided <- true
	}
	for _, s := range out.Refused {
		g.refused++
		s.Owner.(*Conn).decided <- false
	}
	for _, s := range out.Close {
		s.Owner.(*Conn).makeWay()
	}
}

// Listener returns a listener whose connections are guarded.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if s, ok := l.(syscall.Conn); ok && !g.KeepsBuffers {
		// Connections begin with the buffer of the listener. Those that wait to be accepted are in no account.
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // fails on a listener that is closed
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer)
			})
		}
	}
	return &listener{l, g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.openInTime(nc); c != nil {
			return c, nil
		}
		l.guard.refuse()
		abort(nc)
	}
}

// openInTime adds a connection once those that make way for it are closed. It returns nil if there is no room.
func (g *Guard) openInTime(nc net.Conn) *Conn {
	c, mayTryAgain := g.open(nc)
	if c != nil || !mayTryAgain {
		return c
	}
	timeout := time.NewTimer(acceptWait)
	defer timeout.Stop()
	for c == nil && mayTryAgain {
		select {
		case <-g.freed:
			c, mayTryAgain = g.open(nc)
		case <-timeout.C:
			return nil
		}
	}
	return c
}

func (g *Guard) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
}

// open adds a connection. It returns nil if there is no room, and whether connections are being closed that leave
// some.
func (g *Guard) open(nc net.Conn) (c *Conn, mayTryAgain bool) {
	now := time.Now()
	c = &Conn{Conn: nc, guard: g, decided: make(chan bool, 1), idleSince: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	size := socketBuffer
	if g.account.IsCrowded() {
		size = smallBuffer
		c.hasSmallBuffers.Store(!g.KeepsBuffers)
	}
	if !g.KeepsBuffers {
		setBuffers(nc, size)
	}
	state, out := g.account.Open(now, g.connectionBytes())
	g.carryOut(out)
	if state == nil {
		return nil, g.account.IsClosing()
	}
	c.state, state.Owner = state, c
	g.conns[c] = true
	return c, false
}

// setBuffers sets the size of the kernel's buffers of a connection.
func setBuffers(c net.Conn, size int) {
	if b, ok := c.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok { // both fail only on a connection that has ended
		_ = b.SetReadBuffer(size)
		_ = b.SetWriteBuffer(size)
	}
}

// abort closes a connection and discards what the kernel would still send.
func abort(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// Reset closes a connection, guarded or not, so that its client can't take what it has received for all that was to come.
func Reset(c net.Conn) {
	if guarded, ok := c.(*Conn); ok {
		abort(guarded.Conn)
	}
	abort(c)
}

type contextKey struct{}

// ConnContext is the ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if guarded, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, guarded)
	}
	return ctx
}

// FromContext returns the connection of a request of an http.Server, or nil if it isn't guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// ConnState is the ConnState hook of an http.Server.
func ConnState(c net.Conn, s http.ConnState) {
	if guarded, ok := c.(*Conn); ok && s == http.StateIdle {
		guarded.endRequest()
	}
}
