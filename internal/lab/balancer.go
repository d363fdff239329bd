package lab

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// probeInterval is the interval of the balancer's readiness checks.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// Balancer emulates the platform's load balancer. It forwards the callers' connections to the
// ready instances in turn.
type Balancer struct {
	lab *Lab
	ln  net.Listener

	mu    sync.Mutex
	ready []*Instance
	next  int
}

// StartBalancer starts a balancer that listens on the address and forwards to the instances of
// the lab. It stops accepting connections when ctx ends.
func (l *Lab) StartBalancer(ctx context.Context, address string) (*Balancer, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, err
	}
	b := &Balancer{lab: l, ln: ln}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	b.updateReady()
	go b.probeLoop(ctx)
	go b.acceptLoop()
	return b, nil
}

// Address returns the address that callers connect to.
func (b *Balancer) Address() string { return b.ln.Addr().String() }

// IsReady reports whether the instance's readiness check succeeds within probeTimeout.
func IsReady(i *Instance) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+i.PlatformAddress()+"/readyz", probeTimeout)
	return err == nil && status == fasthttp.StatusOK
}

func (b *Balancer) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.updateReady()
		}
	}
}

func (b *Balancer) updateReady() {
	var ready []*Instance
	for _, i := range b.lab.Instances {
		if IsReady(i) {
			ready = append(ready, i)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) acceptLoop() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_ = b.forward(c)
		}()
	}
}

var errNoReadyInstance = eris.New("lab: no instance is ready")

func (b *Balancer) pick() (*Instance, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil, errNoReadyInstance
	}
	b.next++
	return b.ready[b.next%len(b.ready)], nil
}

// forward copies bytes in both directions between the client and an instance until the
// instance closes its connection.
func (b *Balancer) forward(client net.Conn) error {
	i, err := b.pick()
	if err != nil {
		return err
	}
	server, err := net.Dial("tcp", i.CallerAddress())
	if err != nil {
		return eris.Wrapf(err, "lab: dial %s", i.Name)
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client)
		// The client has disconnected; closing the connection notifies the instance.
		_ = server.Close()
	}()
	_, err = io.Copy(client, server)
	return eris.Wrapf(err, "lab: forward from %s", i.Name)
}
