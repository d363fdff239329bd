package lab

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// instancePair is a directed instancePair of instances.
type instancePair struct {
	from, to string
}

// relays carry the traffic into each instance and can cut it by its source.
type relays struct {
	mu sync.Mutex
	// nameByIP maps the IP of an instance to its name.
	nameByIP    map[string]string
	partitioned map[instancePair]bool
	// epoch grows with every Silence of a pair; connections of an older epoch are silent.
	epoch   map[instancePair]int
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

// serve relays connections from the listener to the target until ctx ends.
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

// copyWhileOpen passes bytes on while the pair is open, and keeps them back while it is cut.
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

// waitOpen waits while the pair is cut, or for ever when the connection has been silenced;
// false means that ctx has ended.
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

// listen opens the relay's listener for an instance.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "lab: listen on %s", address)
}
