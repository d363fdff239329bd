// Package listen opens listeners that cut off no client when they are closed.
package listen

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// drainTime is how long a listener that is being closed still accepts. The kernel has completed
	// the connections in its queue, and their clients may have sent requests; closing the listener
	// would reset them.
	drainTime = 50 * time.Millisecond
	// closeTimeout bounds the wait for the end of the accepting, if nobody accepts any longer.
	closeTimeout = 2 * drainTime
)

// Listener is a TCP listener whose Close first lets the connections be accepted that the kernel has
// queued. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	drained   chan struct{} // closed when Accept has found the queue empty after Close was called
	drainOnce sync.Once
	closeOnce sync.Once
	closeErr  error
}

// TCP returns a listener on an address (IP:port).
func TCP(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen: listen on %s", address)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, eris.Errorf("listen: %s is no TCP address", address)
	}
	return &Listener{TCPListener: tcp, drained: make(chan struct{})}, nil
}

// Accept returns the next connection. After Close was called, it returns those that are still queued,
// and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.drainOnce.Do(func() { close(l.drained) })
		return nil, net.ErrClosed
	}
	return c, err
}

// Close closes the listener once the queued connections are accepted.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		if err := l.SetDeadline(time.Now().Add(drainTime)); err == nil {
			timeout := time.NewTimer(closeTimeout)
			defer timeout.Stop()
			select {
			case <-l.drained:
			case <-timeout.C:
			}
		}
		l.closeErr = l.TCPListener.Close()
	})
	return l.closeErr
}
