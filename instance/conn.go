// Package instance talks to the other instances: consensus messages, proposals, leases and
// versions in force.
package instance

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
)

const (
	dialTimeout = 250 * time.Millisecond
	// callTimeout bounds a call that needs no commit.
	callTimeout = 500 * time.Millisecond
)

// link is one connection to a peer with at most one call at a time. It is redialled after
// any failure, since a connection that missed an answer may have gone silent for good.
type link struct {
	address string
	mu      sync.Mutex
	conn    *drpcconn.Conn
}

// call runs f on the link's connection.
func (l *link) call(ctx context.Context, f func(context.Context, wire.DRPCInstanceClient) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		d := net.Dialer{Timeout: dialTimeout}
		c, err := d.DialContext(ctx, "tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "instance: dial %s", l.address)
		}
		l.conn = drpcconn.New(c)
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

// links holds one link for each address and purpose, so that a slow call of one purpose
// never holds up another.
type links struct {
	mu   sync.Mutex
	open map[string]*link
}

func newLinks() *links {
	return &links{open: make(map[string]*link)}
}

func (ls *links) get(address string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l, ok := ls.open[address]
	if !ok {
		l = &link{address: address}
		ls.open[address] = l
	}
	return l
}
