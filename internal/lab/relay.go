package lab

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// pair is a directed pair of instances.
type pair struct {
	from, to string
}

// relays carry the traffic into each instance and can cut it by its source.
type relays struct {
	mu sync.Mutex
	// names maps the IP of an instance to its name.
	names map[string]string
	cut   map[pair]bool
	// epoch grows with every Silence of a pair; connections of an older epoch are silent.
	epoch map[pair]int
	wake  chan struct{}
}

func newRelays() *relays {
	return &relays{
		names: make(map[string]string),
		cut:   make(map[pair]bool),
		epoch: make(map[pair]int),
		wake:  make(chan struct{}),
	}
}

// serve relays connections from the listener to the target until ctx ends.
func (r *relays) serve(ctx context.Context, l net.Listener, to, target string) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
		r.mu.Lock()
		p := pair{from: r.names[host], to: to}
		epoch := r.epoch[p]
		r.mu.Unlock()
		go r.carry(ctx, in, p, epoch, target)
	}
}

func (r *relays) carry(ctx context.Context, in net.Conn, p pair, epoch int, target string) {
	defer in.Close()
	if !r.waitOpen(ctx, p, epoch) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go func() { r.copy(ctx, out, in, p, epoch); done <- struct{}{} }()
	go func() { r.copy(ctx, in, out, p, epoch); done <- struct{}{} }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

const relayBufferBytes = 32 << 10

// copy passes bytes on while the pair is open, and keeps them back while it is cut.
func (r *relays) copy(ctx context.Context, dst io.Writer, src io.Reader, p pair, epoch int) {
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
func (r *relays) waitOpen(ctx context.Context, p pair, epoch int) bool {
	for {
		r.mu.Lock()
		open := !r.cut[p] && !r.cut[pair{from: p.to, to: p.from}] && r.epoch[p] == epoch
		wake := r.wake
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

func (r *relays) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.wake)
	r.wake = make(chan struct{})
}

// listen opens the relay's listener for an instance.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "lab: listen on %s", address)
}
