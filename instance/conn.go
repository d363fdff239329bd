// Package instance implements the drpc protocol between instances: consensus messages, proposals,
// subscriptions to leases and views, and watches of control instances.
package instance

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/keys"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
)

const (
	dialTimeout = 250 * time.Millisecond
	// largeDialTimeout bounds a dial for large messages, whose earlier bytes may still fill the link.
	largeDialTimeout = 500 * time.Millisecond
	// handshakeTimeout bounds a TLS handshake, which needs the peer's process, not only its kernel. One that is given up
	// because the peer is late makes it later.
	handshakeTimeout = time.Second
	// callTimeout bounds a call that doesn't wait for a commit.
	callTimeout = 500 * time.Millisecond
)

// errStalled means that a call was broken off because no byte moved.
var errStalled = errors.New("instance: the call has stalled")

// Dialer opens connections to other instances. All connections use the same local address, so
// that the other instances can identify the caller by it.
type Dialer struct {
	local net.IP
	certs *keys.Certificates // nil if TLS is disabled
	// traffic counts the bytes sent and received on all connections.
	traffic *meter.Traffic
	// onReceived, unless it is nil, is called with the number of bytes of each read, and with 0 for a new connection.
	onReceived func(bytes int)
	// onDialed, unless it is nil, is called with each new connection.
	onDialed func(*net.TCPConn)
	// timeout is dialTimeout unless it is set.
	timeout time.Duration
	// openConn, unless it is nil, opens connections in place of TCP.
	openConn func(ctx context.Context, address string) (net.Conn, error)
}

// NewDialer returns a dialer for an instance that listens on the address (IP:port). certs is
// nil if TLS is disabled. traffic counts the bytes of all connections.
func NewDialer(address string, certs *keys.Certificates, traffic *meter.Traffic) (Dialer, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return Dialer{}, eris.Wrap(err, "instance: parse local address")
	}
	return Dialer{local: ap.Addr().AsSlice(), certs: certs, traffic: traffic}, nil
}

// Over returns a dialer whose connections open opens in place of TCP.
func (d Dialer) Over(open func(ctx context.Context, address string) (net.Conn, error)) Dialer {
	d.openConn = open
	return d
}

// dialConn opens a connection within the time for it.
func (d Dialer) dialConn(ctx context.Context, address string) (net.Conn, error) {
	timeout := cmp.Or(d.timeout, dialTimeout)
	if d.openConn != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d.openConn(ctx, address)
	}
	nd := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: d.local}}
	return nd.DialContext(ctx, "tcp", address)
}

func (d Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.dialConn(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "instance: dial %s", address)
	}
	if tcp, ok := c.(*net.TCPConn); ok && d.onDialed != nil {
		d.onDialed(tcp)
	}
	c = d.traffic.Conn(c)
	if d.onReceived != nil {
		d.onReceived(0)
		c = &observedConn{Conn: c, onReceived: d.onReceived}
	}
	if d.certs == nil {
		return c, nil
	}
	return d.handshake(ctx, c, address)
}

// observedConn reports what is received on a connection.
type observedConn struct {
	net.Conn
	onReceived func(bytes int)
}

func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onReceived(n)
	}
	return n, err
}

// open dials the instance at the address and returns a drpc connection.
func (d Dialer) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c, err := d.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(c), nil
}

// handshake starts TLS on c and verifies the certificate of the instance at the address.
func (d Dialer) handshake(ctx context.Context, c net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "instance: parse address %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure := tls.Client(c, d.certs.ClientConfig(host))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, eris.Wrapf(err, "instance: TLS handshake with %s", address)
	}
	return secure, nil
}

// peerConn is a connection to a peer that carries at most one call at a time. It is redialled
// after any failure, since a connection that lost a response may never deliver another one.
type peerConn struct {
	dialer  Dialer
	address string
	mu      sync.Mutex
	conn    *drpcconn.Conn
	// tcp is the connection below conn once callWhileMoving has opened it.
	tcp atomic.Pointer[net.TCPConn]
}

// stallChecks is the number of times that a call is looked at within the time after which it counts as stalled.
const stallChecks = 10

// callWhileMoving runs f as call does, for as long as the peer acknowledges or sends bytes on the connection. It
// returns errStalled if none has moved for the time stall, or, while the peer's kernel has acknowledged all, for the time
// limit.
func (pc *peerConn) callWhileMoving(ctx context.Context, stall, limit time.Duration, f func(context.Context, wire.DRPCInstanceClient) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pc.dialer.onDialed = func(c *net.TCPConn) { pc.tcp.Store(c) }
	pc.dialer.timeout = largeDialTimeout
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(stall / stallChecks)
		defer ticker.Stop()
		moved, at := movedBytes(pc.tcp.Load()), time.Now()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if now := movedBytes(pc.tcp.Load()); now != moved {
				moved, at = now, time.Now()
			}
			if idle := time.Since(at); idle >= limit || idle >= stall && !isAcknowledged(pc.tcp.Load()) {
				cancel(errStalled)
				return
			}
		}
	}()
	err := pc.call(ctx, f)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return eris.Wrapf(errStalled, "instance: call %s", pc.address)
	}
	return err
}

// callWhileReached runs f as call does, for as long as the timeout, or the longer limit while the peer's kernel has
// acknowledged all that was sent.
func (pc *peerConn) callWhileReached(ctx context.Context, timeout, limit time.Duration, f func(context.Context, wire.DRPCInstanceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	pc.dialer.onDialed = func(c *net.TCPConn) { pc.tcp.Store(c) }
	timer := time.AfterFunc(timeout, func() {
		for ctx.Err() == nil && isAcknowledged(pc.tcp.Load()) {
			time.Sleep(timeout / stallChecks)
		}
		cancel()
	})
	defer timer.Stop()
	return pc.call(ctx, f)
}

// isAcknowledged reports whether the peer's kernel has acknowledged all that was written to the connection.
func isAcknowledged(c *net.TCPConn) bool {
	info := tcpInfo(c)
	return info != nil && info.Unacked == 0 && info.Notsent_bytes == 0
}

// movedBytes returns how many bytes the kernel's peer has acknowledged and sent on a connection, or 0 if that isn't known.
func movedBytes(c *net.TCPConn) uint64 {
	if info := tcpInfo(c); info != nil {
		return info.Bytes_acked + info.Bytes_received
	}
	return 0
}

// tcpInfo returns what the kernel knows about a connection, or nil if there is none or it is closed.
func tcpInfo(c *net.TCPConn) *unix.TCPInfo {
	if c == nil {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil
	}
	return info
}

// call runs f on the connection, which it opens if necessary.
func (pc *peerConn) call(ctx context.Context, f func(context.Context, wire.DRPCInstanceClient) error) error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn == nil {
		c, err := pc.dialer.open(ctx, pc.address)
		if err != nil {
			return err
		}
		pc.conn = c
	}
	if err := f(ctx, wire.NewDRPCInstanceClient(pc.conn)); err != nil {
		pc.close()
		return eris.Wrapf(err, "instance: call %s", pc.address)
	}
	return nil
}

func (pc *peerConn) close() {
	if pc.conn != nil {
		_ = pc.conn.Close()
		pc.conn = nil
	}
}
