// Package placement decides which orders the engines on backend servers are given, so that
// each comes to hold what the configuration states.
//
// A Planner is a pure state machine of the leader. It compares the desired state with what
// the servers report and keeps at most one order open a server. An order carries a fencing
// number, by which a server can refuse the late order of an earlier leader.
package placement

import (
	"cmp"
	"slices"

	"github.com/balsamlb/balsamlb/fleet"
)

// Engine is what an engine holds and does.
type Engine struct {
	Model   string      `json:"model"`
	Layers  fleet.Range `json:"layers"`
	Version string      `json:"version,omitempty"`
	// Adapters are in the order of their names.
	Adapters []string `json:"adapters,omitempty"`
	// Role is "" for all work, or the part of the work that the engine does.
	Role string `json:"role,omitempty"`
}

// engineOf returns what the server reports.
func engineOf(s fleet.BackendServer) Engine {
	return Engine{Model: s.Model, Layers: s.Layers, Version: s.Version, Adapters: s.Adapters, Role: s.Role}
}

// needsWeights reports whether getting from a to b loads weights.
func needsWeights(a, b Engine) bool {
	return a.Model != b.Model || a.Layers != b.Layers || a.Version != b.Version
}

func equal(a, b Engine) bool {
	return !needsWeights(a, b) && a.Role == b.Role &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// Desired is what the configuration states for one server.
type Desired struct {
	Server string
	Engine Engine
}

// Order tells a server to come to a state.
type Order struct {
	Server      string
	Address     string
	Incarnation uint64
	Fence       fleet.Fence
	Engine      Engine
	// LoadsWeights means that the order reads from the weight store.
	LoadsWeights bool
}

// Answer is what became of sending an order.
type Answer uint8

// The answers to an order.
const (
	// AnswerTaken means that the server has taken the order; its reports tell the rest.
	AnswerTaken Answer = iota + 1
	// AnswerRefused means that the server refused the order and will not carry it out.
	AnswerRefused
	// AnswerLost means that the server may or may not have taken the order.
	AnswerLost
)

// need is how much a load is needed: the copies of its least served layer.
type need struct {
	order  Order
	copies int
}

// byNeed orders loads, most needed first.
func byNeed(a, b need) int {
	return cmp.Or(
		cmp.Compare(a.copies, b.copies),
		cmp.Compare(b.order.Engine.Layers.Len(), a.order.Engine.Layers.Len()),
		cmp.Compare(a.order.Server, b.order.Server),
	)
}
