package gateway

import (
	"net"

	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/listen"
)

// listen opens the listener for callers.
func (g *Gateway) listen() (net.Listener, error) {
	if g.options.Listen != nil {
		return g.options.Listen(g.options.ListenAddress)
	}
	return listen.TCP(g.options.ListenAddress)
}

// applyLimits puts the limits of the view's routing document in force at the connections of callers.
func (g *Gateway) applyLimits(v *view) {
	if g.options.Guard != nil && v.table != nil {
		l := v.table.Limits
		g.options.Guard.SetHeadLimits(connguard.HeadLimits{Bytes: l.HeaderBytes, Time: l.HeaderTimeout, IdleTime: l.IdleTimeout})
	}
}
