package gateway

import "github.com/balsamlb/balsamlb/discovery"

// KnownState returns the state of a server as requests are routed by it, or 0 if the server isn't known. It
// follows the mesh a moment later.
func (g *Gateway) KnownState(id string) discovery.State { return g.view.Load().states[id] }

// KnownRouting returns the version of the routing document that requests are routed by.
func (g *Gateway) KnownRouting() uint64 { return g.routingVersion() }
