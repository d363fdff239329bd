package membership

import "time"

// WorkspaceUsage is what one workspace uses at one instance.
type WorkspaceUsage struct {
	Workspace string
	// Pool names the backend servers that the requests are for: a model or a plain service.
	Pool string
	// Demand is the number of requests in flight and waiting, without the workspace's weight.
	Demand   uint32
	InFlight uint32
}

// MaxUsage bounds the workspaces in one report of usage.
const MaxUsage = 64

// UsageExchange supplies this instance's usage and receives that of the others. Its methods
// must not block.
type UsageExchange interface {
	// LocalUsage returns the usage of the active workspaces, the largest first, at most limit.
	LocalUsage(now time.Time, limit int) []WorkspaceUsage
	// HandleUsage receives the whole usage of a peer, which replaces what it sent before.
	// An empty report means that the peer has no active workspace or has gone.
	HandleUsage(now time.Time, peer string, usage []WorkspaceUsage)
}
