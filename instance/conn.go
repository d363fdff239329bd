// Package instance implements the drpc protocol between instances: consensus messages, proposals,
// subscriptions to leases and views, and watches of control instances.
package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/keys"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
)

const (
	dialTimeout = 250 * time.Millisecond
	// callTimeout bounds a call that doesn't wait for a commit.
	callTimeout = 500 * time.Millisecond
)

// Dialer opens connections to other instances. All connections use the same local address, so
// that the other instances can identify the caller by it.
type Dialer struct {
	local net.IP
	certs *keys.Certificates // nil if TLS is disabled
	// traffic counts the bytes sent and received on all connections.
	traffic *meter.Traffic
	// onReceived, unless it is nil, is called with the number of bytes of each read, and with 0 for a new connection.
	onReceived func(bytes int)
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

func (d Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	nd := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: d.local}}
	c, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "instance: dial %s", address)
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
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
