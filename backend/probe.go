package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// probeTimeout bounds the attempt to connect to a server that may have crashed.
const probeTimeout = 100 * time.Millisecond

// WasClosed reports whether err means that the server's side closed or reset the connection.
// It is false for timeouts.
func WasClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RefusesConnections reports whether the connection is refused because no process listens at
// the address.
func RefusesConnections(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
