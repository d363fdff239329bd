package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(Probe(ctx, address), syscall.ECONNREFUSED)
}

// Probe opens a connection to an address and closes it.
func Probe(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "backend: probe %s", address)
	}
	_ = c.Close() // nothing was sent on it
	return nil
}
