// Package upstream exchanges HTTP/1.1 messages with backend servers.
//
// It never sends a request twice, and reports for each failure whether the request may have reached
// the server. Neither net/http's client nor fasthttp's does both: they retry some requests without
// being asked, and they return the next answer on a connection without checking that it belongs to
// the request.
package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/internal/answers"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the dialling of a connection. It allows for one lost SYN packet, which
	// is retransmitted after one second.
	dialTimeout = 1200 * time.Millisecond
	// unackedTimeout closes connections with data that is not acknowledged (TCP_USER_TIMEOUT).
	unackedTimeout = 2500 * time.Millisecond
	// unreadTimeout replaces it while a body is written that may not fit into the server's window: a
	// server that reads late acknowledges nothing either.
	unreadTimeout  = 15 * time.Second
	readBufferSize = 4 << 10
	// defaultIdle is how long an idle connection is kept if the server states no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server states.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address string
	server  string
	answers *answers.Reader
	// usableUntil is the time from which the idle connection is not reused, since the server may
	// close it.
	usableUntil time.Time
	isReused    bool
	// writesLongBody means that unreadTimeout is set.
	writesLongBody bool
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, address: address, answers: answers.NewReader(nc, readBufferSize)}, nil
}

// setLongBody sets the time after which unacknowledged data closes the connection.
func (c *conn) setLongBody(isLong bool) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.writesLongBody == isLong {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	c.writesLongBody = isLong
	if isLong {
		return setTimeout(raw, unreadTimeout)
	}
	return setTimeout(raw, unackedTimeout)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error { return setTimeout(raw, unackedTimeout) }

func setTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// quietConn is a connection without a socket, as that of a network in memory, which knows itself whether it is open
// and has no unread bytes.
type quietConn interface{ IsQuiet() bool }

// downConn is one that knows itself whether nothing more can be received or sent.
type downConn interface{ IsDown() bool }

// isIdle reports whether an idle connection is still open and has no unread bytes. Unread bytes on
// an idle connection belong to no request.
func (c *conn) isIdle() bool {
	if c.answers.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		q, ok := c.Conn.(quietConn)
		return !ok || q.IsQuiet()
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// checkEnd is called when a read has returned io.EOF. It returns nil if the server has ended the connection in order, and
// the error that broke it otherwise. The kernel reports an error of a connection to one call only: if that was a write of w,
// a read returns io.EOF as after an end in order.
func (c *conn) checkEnd(w *writing) error {
	isDown, err := c.isDown()
	if err != nil {
		return err
	}
	if isDown {
		<-w.ended // at once, since nothing can be written any more
	}
	if !w.hasEnded() || errors.Is(w.err, syscall.EPIPE) { // EPIPE: the server had ended its direction before the break
		return nil
	}
	return w.err
}

// isDown reports whether nothing more can be received or sent on the connection.
func (c *conn) isDown() (isDown bool, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		d, ok := c.Conn.(downConn)
		return ok && d.IsDown(), nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd)}} // POLLHUP is always reported
		for {
			if _, err = unix.Poll(state, 0); err != unix.EINTR {
				break
			}
		}
		isDown = err == nil && state[0].Revents&unix.POLLHUP != 0
	})
	return isDown, errors.Join(controlErr, err)
}
