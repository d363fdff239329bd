package daemon

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// httpListener serves HTTP on one listener until it is closed.
type httpListener struct {
	server    *fasthttp.Server
	listener  net.Listener
	isClosing atomic.Bool
}

// serve serves until close is called. It returns an error if the listener fails earlier.
func (l *httpListener) serve() error {
	err := l.server.Serve(l.listener)
	if l.isClosing.Load() {
		return nil
	}
	return eris.Wrapf(err, "daemon: serve %s", l.listener.Addr())
}

// close ends serve, also if serve is called later, and waits for the open connections to end.
func (l *httpListener) close() error {
	l.isClosing.Store(true)
	err := l.server.Shutdown()
	// Shutdown closes only listeners that the server serves already.
	_ = l.listener.Close()
	return err
}

// closeAll closes the listeners one after the other.
func closeAll(listeners []*httpListener) {
	for _, l := range listeners {
		_ = l.close()
	}
}
