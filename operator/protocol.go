// Package operator serves balsamctl over HTTP and holds the client for it.
package operator

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Paths of the operators' interface.
const (
	// PathPage is the status page for browsers.
	PathPage    = "/"
	PathStatus  = "/v1/status"
	PathConfig  = "/v1/config"
	PathDrain   = "/v1/drain"
	PathCredits = "/v1/credits"
	// PathTrace takes the parameter request.
	PathTrace = "/v1/trace"
	// PathDecisions takes the parameter after, the sequence of the last line that was seen.
	PathDecisions = "/v1/decisions"
)

// Status is what one instance knows.
type Status struct {
	Instance      string           `json:"instance"`
	DataCentre    string           `json:"data_centre"`
	ConfigVersion uint64           `json:"config_version"`
	ConfigAgeMs   int64            `json:"config_age_ms"`
	InFlight      int              `json:"in_flight"`
	Control       *ControlStatus   `json:"control,omitempty"`
	Instances     []InstanceStatus `json:"instances"`
	Servers       []ServerStatus   `json:"servers"`
	Drains        []string         `json:"drains"`
}

// ControlStatus is what a control instance knows of its group.
type ControlStatus struct {
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	Commit uint64 `json:"commit"`
	// Applied and Snapshot are log indexes: of the state and of the last snapshot.
	Applied  uint64 `json:"applied"`
	Snapshot uint64 `json:"snapshot"`
	// Lease says that the instance leads and no other can.
	Lease bool `json:"lease"`
	// Voting says that the instance votes; a standby, or one whose disk was lost, does not.
	Voting bool `json:"voting"`
	// Size is the number of voters that the group is repaired to.
	Size   int      `json:"size"`
	Voters []string `json:"voters"`
	// Learners are the replicas that get the log and don't vote, as the leader knows them.
	Learners []LearnerStatus `json:"learners,omitempty"`
}

// LearnerStatus is one replica that does not vote.
type LearnerStatus struct {
	Name     string `json:"name"`
	Match    uint64 `json:"match"`
	CaughtUp bool   `json:"caught_up"`
}

// InstanceStatus is one instance of the system.
type InstanceStatus struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Alive         bool   `json:"alive"`
	ConfigVersion uint64 `json:"config_version"`
	LastSeenMs       int64  `json:"heard_ms"`
}

// ServerStatus is one backend server.
type ServerStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Model      string `json:"model,omitempty"`
	From       int    `json:"from,omitempty"`
	To         int    `json:"to,omitempty"`
	InFlight   int    `json:"in_flight"`
	Leaving    bool   `json:"leaving"`
	LeaseMs    int64  `json:"lease_ms"`
	// ChecksFences means that the server refuses orders with an old fencing number.
	ChecksFences bool `json:"checks_fences"`
	// ResolvesRequests means that the server can tell what became of a request.
	ResolvesRequests bool `json:"resolves_requests"`
	// Version, Adapters, Role and Order are what the server reports of its engine.
	Version  string            `json:"version,omitempty"`
	Adapters []string          `json:"adapters,omitempty"`
	Role     string            `json:"role,omitempty"`
	Order    fleet.OrderReport `json:"order,omitzero"`
}

// DrainRequest starts or ends a drain.
type DrainRequest struct {
	Server string `json:"server"`
	On     bool   `json:"on"`
}

// CreditCount is the credit of one member for one kind of request.
type CreditCount struct {
	Member string `json:"member"`
	Kind   string `json:"kind"`
	Count  uint64 `json:"count"`
}

// errorReply is the answer to a call that failed.
type errorReply struct {
	Error string `json:"error"`
}

// commitTimeout bounds the wait for a quorum on an operator's call.
const commitTimeout = 10 * time.Second
