// Package placement plans the orders that bring the engines on backend servers to their
// configured state.
//
// A Planner is a pure state machine that runs on the leader. It compares the desired state with
// what the servers report and keeps at most one order open per server. An order carries a
// fencing token, by which a server can refuse a late order of an earlier leader.
package placement

import (
	"cmp"
	"slices"

	"github.com/balsamlb/balsamlb/fleet"
)

// Engine describes the model, layers and adapters that an engine holds, and its role.
type Engine struct {
	Model   string      `json:"model"`
	Layers  fleet.Range `json:"layers"`
	Version string      `json:"version,omitempty"`
	// Adapters are sorted by name.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the phase of inference that the engine runs: "prefill" or "decode" in the settings;
	// "" means both.
	Role string `json:"role,omitempty"`
}

// engineOf returns the engine that the server reports.
func engineOf(s fleet.BackendServer) Engine {
	return Engine{Model: s.Model, Layers: s.Layers, Version: s.Version, Adapters: s.Adapters, Role: s.Role}
}

// needsWeights reports whether weights must be loaded to get from a to b.
func needsWeights(a, b Engine) bool {
	return a.Model != b.Model || a.Layers != b.Layers || a.Version != b.Version
}

func equal(a, b Engine) bool {
	return !needsWeights(a, b) && a.Role == b.Role &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// Desired is the configured engine of one server.
type Desired struct {
	Server string
	Engine Engine
}

// Order directs a server to change its engine to a given state.
type Order struct {
	Server      string
	Address     string
	Incarnation uint64
	Fence       fleet.Fence
	Engine      Engine
	// LoadsWeights means that the order loads weights from the weight store.
	LoadsWeights bool
}

// Answer is the result of sending an order.
type Answer uint8

// The possible answers to an order.
const (
	// AnswerAccepted means that the server accepted the order; its reports show the progress.
	AnswerAccepted Answer = iota + 1
	// AnswerRefused means that the server refused the order and will not carry it out.
	AnswerRefused
	// AnswerLost means that it is not known whether the server accepted the order.
	AnswerLost
)

// pendingLoad is an order that loads weights, with its priority: the number of copies of the least
// covered layer in the order.
type pendingLoad struct {
	order     Order
	minCopies int
}

// compareLoads sorts loads by priority: fewest copies first, then the longest range, then by
// server.
func compareLoads(a, b pendingLoad) int {
	return cmp.Or(
		cmp.Compare(a.minCopies, b.minCopies),
		cmp.Compare(b.order.Engine.Layers.Len(), a.order.Engine.Layers.Len()),
		cmp.Compare(a.order.Server, b.order.Server),
	)
}
