// Package instance talks to the other instances: consensus messages, proposals, leases and
// versions in force.
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
	// callTimeout bounds a call that needs no commit.
	callTimeout = 500 * time.Millisecond
)

// Dialer opens connections to other instances from one local address, by which they can
// tell who calls.
type Dialer struct {
	local net.IP
	certs *keys.Certificates // nil without TLS
	// traffic counts the bytes of all connections.
	traffic *meter.Traffic
}

// NewDialer returns a dialer for an instance that listens on the address (IP:port). certs is
// nil without TLS. traffic counts the bytes of the connections.
func NewDialer(address string, certs *keys.Certificates, traffic *meter.Traffic) (Dialer, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return Dialer{}, eris.Wrap(err, "instance: local address")
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
	if d.certs == nil {
		return c, nil
	}
	return d.handshake(ctx, c, address)
}

// open returns a new connection for calls to the instance at the address.
func (d Dialer) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c, err := d.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(c), nil
}

// handshake checks the certificate of the instance at the address.
func (d Dialer) handshake(ctx context.Context, c net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "instance: address %s", address)
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

// link is one connection to a peer with at most one call at a time. It is redialled after
// any failure, since a connection that missed an answer may have gone silent for good.
type link struct {
	dialer  Dialer
	address string
	mu      sync.Mutex
	conn    *drpcconn.Conn
}

// call runs f on the link's connection.
func (l *link) call(ctx context.Context, f func(context.Context, wire.DRPCInstanceClient) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		c, err := l.dialer.open(ctx, l.address)
		if err != nil {
			return err
		}
		l.conn = c
	}
	if err := f(ctx, wire.NewDRPCInstanceClient(l.conn)); err != nil {
		l.close()
		return eris.Wrapf(err, "instance: call %s", l.address)
	}
	return nil
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
