package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// probeTimeout bounds the try to connect to a server that may have died.
const probeTimeout = 100 * time.Millisecond

// WasClosed reports whether the server's end closed or reset the connection. Silence and
// timeouts are not that.
func WasClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RefusesConnections reports whether nothing listens at the address of a server any more.
func RefusesConnections(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
