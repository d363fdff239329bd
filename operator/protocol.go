// Package operator implements the HTTP API for operators, which balsamctl uses, and its client.
package operator

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Paths of the operator API.
const (
	// PathPage is the status page for browsers.
	PathPage    = "/"
	PathStatus  = "/v1/status"
	PathConfig  = "/v1/config"
	PathDrain   = "/v1/drain"
	PathCredits = "/v1/credits"
	// PathTrace takes the query parameter "request", the id of the request.
	PathTrace = "/v1/trace"
	// PathDecisions takes the query parameter "after", the sequence number of the last line that
	// the client has received.
	PathDecisions = "/v1/decisions"
)

// Status is the state of the system as one instance knows it.
type Status struct {
	Instance      string `json:"instance"`
	DataCentre    string `json:"data_centre"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigAgeMs is the time since the instance last knew that its configuration was the newest.
	ConfigAgeMs int64            `json:"config_age_ms"`
	InFlight    int              `json:"in_flight"`
	Control     *ControlStatus   `json:"control,omitempty"`
	Instances   []InstanceStatus `json:"instances"`
	Servers     []ServerStatus   `json:"servers"`
	Drains      []string         `json:"drains"`
}

// ControlStatus is the state of the consensus group as one control instance knows it.
type ControlStatus struct {
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	Commit uint64 `json:"commit"`
	// Applied is the index of the last log entry that was applied to the state. Snapshot is the log
	// index of the last snapshot.
	Applied  uint64 `json:"applied"`
	Snapshot uint64 `json:"snapshot"`
	// Lease means that the instance is the leader and holds a lease, during which no other instance
	// can become leader.
	Lease bool `json:"lease"`
	// Voting means that the instance votes. A standby does not, nor does an instance that lost
	// its disk.
	Voting bool `json:"voting"`
	// Size is the target number of voters.
	Size   int      `json:"size"`
	Voters []string `json:"voters"`
	// Learners are the replicas that receive the log but don't vote, as the leader knows them.
	Learners []LearnerStatus `json:"learners,omitempty"`
	// Build is the build of the instance.
	Build string `json:"build,omitempty"`
	// Level is the level of entries in force, and SupportedLevel the highest one that the build applies.
	Level          uint32 `json:"level,omitempty"`
	SupportedLevel uint32 `json:"supported_level,omitempty"`
	// LevelHeldBy says what holds the next level back, as the leader knows it.
	LevelHeldBy []string `json:"level_held_by,omitempty"`
}

// LearnerStatus is the state of one learner.
type LearnerStatus struct {
	Name string `json:"name"`
	// Match is the highest log index that the learner is known to have stored.
	Match    uint64 `json:"match"`
	CaughtUp bool   `json:"caught_up"`
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Alive         bool   `json:"alive"`
	ConfigVersion uint64 `json:"config_version"`
	// LastSeenMs is the time since the instance was last seen; 0 for the answering instance.
	LastSeenMs int64 `json:"heard_ms"`
}

// ServerStatus is the state of one backend server.
type ServerStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Model      string `json:"model,omitempty"`
	// From and To are the half-open range of the model's layers that the server holds.
	From int `json:"from,omitempty"`
	To   int `json:"to,omitempty"`
	// InFlight is the number of requests that the answering instance has in flight at the server.
	InFlight int  `json:"in_flight"`
	Leaving  bool `json:"leaving"`
	// LeaseMs is the time until the lease of the server expires.
	LeaseMs int64 `json:"lease_ms"`
	// ChecksFences means that the server refuses orders with an outdated fencing token.
	ChecksFences bool `json:"checks_fences"`
	// ResolvesRequests means that the server can report the outcome of an earlier request.
	ResolvesRequests bool `json:"resolves_requests"`
	// Version, Adapters, Role and Order are what the server reports about its engine.
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

// CreditCount is the number of answered requests of one kind that a member is credited with.
type CreditCount struct {
	Member string `json:"member"`
	Kind   string `json:"kind"`
	Count  uint64 `json:"count"`
}

// errorReply is the response to a failed call.
type errorReply struct {
	Error string `json:"error"`
}

// callTimeout bounds how long the server works on a call. A call may wait for a quorum.
const callTimeout = 10 * time.Second
