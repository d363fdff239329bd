package daemon

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/internal/listen"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// requestTimeout is how long a client may take to send a request with its body. The largest, a
	// configuration of 4 MiB, takes 2 s on a link of 20 Mbit/s.
	requestTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept without a request, unless the server states a time.
	idleTimeout = 60 * time.Second
)

// newHTTPListener returns a listener whose clients can hold neither connections without requests nor
// requests without end.
func newHTTPListener(server *fasthttp.Server, listener net.Listener) *httpListener {
	server.ReadTimeout = requestTimeout
	if server.IdleTimeout == 0 {
		server.IdleTimeout = idleTimeout
	}
	server.Concurrency = listen.MaxConnections()
	return &httpListener{server: server, listener: listener}
}

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

// close ends serve, also if serve is called later, and waits for the open connections to end. The
// listener goes first: it lets the server accept what is queued, which Shutdown may keep it from.
func (l *httpListener) close() error {
	l.isClosing.Store(true)
	_ = l.listener.Close() // a listener that was closed before
	return l.server.Shutdown()
}

// closeAll closes the listeners one after the other.
func closeAll(listeners []*httpListener) {
	for _, l := range listeners {
		_ = l.close()
	}
}
