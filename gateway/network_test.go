package gateway_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/emulate"
)

// network is where a silentCluster listens and connects: in memory or, if that is nil, at the machine's loopback
// interface.
type network struct{ memory *emulate.Network }

func (n network) listen(address string) (net.Listener, error) {
	if n.memory != nil {
		return n.memory.Listen(address)
	}
	return net.Listen("tcp", address)
}

func (n network) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.memory != nil {
		return n.memory.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// listenForCallers is the gateways' option Listen.
func (n network) listenForCallers() func(address string) (net.Listener, error) {
	if n.memory == nil {
		return nil
	}
	return n.memory.Listen
}

func (n network) links() *emulate.Links {
	if n.memory == nil {
		return emulate.NewLinks()
	}
	return emulate.NewLinksOver(n.memory.Dial)
}

// dialer returns the dialer of an instance.
func (n network) dialer(t *testing.T) instance.Dialer {
	t.Helper()
	d := newDialer(t)
	if n.memory == nil {
		return d
	}
	return d.Over(n.memory.Dial)
}

// newTransport returns a transport of callers.
func (n network) newTransport() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, address) }}
}
