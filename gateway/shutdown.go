package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// DefaultShutdownDelay is how long the load balancer in front of the gateways takes to stop
	// sending new callers: two failed readiness checks at one per second, and network time.
	DefaultShutdownDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the end of the process.
	graceMargin = 400 * time.Millisecond
)

// shutDown makes NotReady report that the instance is leaving, accepts callers for the shutdown
// delay, and then waits for the requests in flight.
func (g *Gateway) shutDown(server *http.Server, listener net.Listener) {
	started := time.Now()
	g.leaving.Store(true)
	g.options.Log.Info("leaving", "in_flight", g.inFlight.Load())
	time.Sleep(g.options.ShutdownDelay)
	left := max(0, g.options.GracePeriod-graceMargin-time.Since(started))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	// First, since the server accepts nothing more while Shutdown closes the listener.
	if err := listener.Close(); err != nil {
		g.options.Log.Info("could not close the listener for callers", "reason", err.Error())
	}
	err := server.Shutdown(ctx)
	poll(ctx, capacityPollInterval, left, func() bool { return g.relays.Taken() == 0 })
	if err != nil || g.relays.Taken() > 0 {
		g.options.Log.Info("aborted requests after the grace period", "in_flight", g.inFlight.Load())
	}
}
