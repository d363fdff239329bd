package membership

import "time"

// WorkspaceUsage is the usage of one workspace at one instance.
type WorkspaceUsage struct {
	Workspace string
	// Pool names the group of backend servers that serve the requests: a model or a plain service.
	Pool string
	// Demand is the number of requests in flight and waiting, not weighted.
	Demand   uint32
	InFlight uint32
}

// MaxUsage bounds the workspaces in one usage report.
const MaxUsage = 64

// UsageExchange supplies this instance's usage and receives that of its peers. Its methods must
// not block.
type UsageExchange interface {
	// LocalUsage returns the usage of at most limit active workspaces, the largest first.
	LocalUsage(now time.Time, limit int) []WorkspaceUsage
	// HandleUsage receives the complete usage of a peer, which replaces its previous report. An
	// empty report means that the peer has no active workspace or that its connection has ended.
	HandleUsage(now time.Time, peer string, usage []WorkspaceUsage)
}
