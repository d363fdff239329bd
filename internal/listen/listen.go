// Package listen opens listeners that cut off no client when they are closed.
package listen

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// drainTime is how long a listener that is being closed still accepts. The kernel has completed
	// the connections in its queue, and their clients may have sent requests; closing the listener
	// would reset them.
	drainTime = 50 * time.Millisecond
	// defaultConnections is the number of connections that a listener may hold if the limit of open
	// files isn't known, and maxConnections the most at any limit.
	defaultConnections = 768
	maxConnections     = 1 << 16
	// minAcceptPause and maxAcceptPause bound the pause after an Accept that has failed for want of
	// file descriptors or memory. Clients wait in the kernel's queue meanwhile.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
	// closeTimeout bounds the wait for the end of the accepting, if nobody accepts any longer.
	closeTimeout = 2 * drainTime
)

// Listener is a TCP listener whose Close first lets the connections be accepted that the kernel has
// queued. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	accept    func() (net.Conn, error)
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
	return &Listener{TCPListener: tcp, accept: tcp.Accept, drained: make(chan struct{})}, nil
}

// Accept returns the next connection. It goes on after errors that pass, such as too many open files.
// After Close was called, it returns the connections that are still queued, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(maxAcceptPause, 2*pause) {
		c, err := l.accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.drainOnce.Do(func() { close(l.drained) })
			return nil, net.ErrClosed
		case !isPassing(err):
			return c, err
		}
		time.Sleep(pause)
	}
}

// isPassing reports whether a later Accept may succeed.
func isPassing(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED},
		func(passing error) bool { return errors.Is(err, passing) })
}

// MaxFiles returns the number of descriptors that this process may open.
func MaxFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultConnections / 3 * 4
	}
	return int(min(limit.Cur, 2*maxConnections))
}

// MachineMemoryMB returns the memory of the machine in MiB, or 0 if it isn't known.
func MachineMemoryMB() int {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int(uint64(info.Totalram) * uint64(info.Unit) >> 20)
}

// MaxConnections returns the number of connections that a listener of this process may hold, so that
// files and connections to others can still be opened.
func MaxConnections() int {
	return min(MaxFiles()/4*3, maxConnections)
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
