package lab

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// instancePair names the instance that opens a connection (from) and the instance that accepts it
// (to).
type instancePair struct {
	from, to string
}

// relays forward the traffic from other instances to each instance. They can block the traffic of a
// pair of instances and let all other traffic pass.
type relays struct {
	mu sync.Mutex
	// nameByIP holds the name of each instance by its IP address.
	nameByIP    map[string]string
	partitioned map[instancePair]bool
	// epoch is incremented by every BlackholeConnections of the pair. Connections that were
	// opened in an earlier epoch are blackholed.
	epoch map[instancePair]int
	// changed is closed and replaced by every update.
	changed chan struct{}
}

func newRelays() *relays {
	return &relays{
		nameByIP:    make(map[string]string),
		partitioned: make(map[instancePair]bool),
		epoch:       make(map[instancePair]int),
		changed:     make(chan struct{}),
	}
}

// serve relays the connections that the listener accepts to the target until ctx ends. to is
// the name of the instance at the target.
func (r *relays) serve(ctx context.Context, l net.Listener, to, target string) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		inbound, err := l.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(inbound.RemoteAddr().String())
		r.mu.Lock()
		p := instancePair{from: r.nameByIP[host], to: to}
		epoch := r.epoch[p]
		r.mu.Unlock()
		go r.relayConnection(ctx, inbound, p, epoch, target)
	}
}

func (r *relays) relayConnection(ctx context.Context, inbound net.Conn, p instancePair, epoch int, target string) {
	defer inbound.Close()
	if !r.waitOpen(ctx, p, epoch) {
		return
	}
	outbound, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer outbound.Close()
	done := make(chan struct{}, 2)
	go func() { r.copyWhileOpen(ctx, outbound, inbound, p, epoch); done <- struct{}{} }()
	go func() { r.copyWhileOpen(ctx, inbound, outbound, p, epoch); done <- struct{}{} }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

const relayBufferBytes = 32 << 10

// copyWhileOpen copies from src to dst. It holds data back while the pair is partitioned.
func (r *relays) copyWhileOpen(ctx context.Context, dst io.Writer, src io.Reader, p instancePair, epoch int) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.waitOpen(ctx, p, epoch) {
				return
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitOpen waits until the pair is not partitioned in either direction. For a blackholed
// connection it waits until ctx ends. It returns false when ctx has ended.
func (r *relays) waitOpen(ctx context.Context, p instancePair, epoch int) bool {
	for {
		r.mu.Lock()
		open := !r.partitioned[p] && !r.partitioned[instancePair{from: p.to, to: p.from}] && r.epoch[p] == epoch
		wake := r.changed
		r.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *relays) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// listen opens a TCP listener on the address.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "lab: listen on %s", address)
}
