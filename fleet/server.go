// Package fleet keeps track of the backend servers that have announced themselves.
package fleet

import (
	"reflect"
	"time"
)

// Range is a half-open range of layers.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// MaxLayers bounds the layers of a model, and so the end of a Range.
const MaxLayers = 4096

// Len returns the number of layers in the range.
func (r Range) Len() int { return r.To - r.From }

// Load is the load that a backend server reports, in requests. It arrives with a delay.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// BackendServer is the description that a backend server announces.
type BackendServer struct {
	Name string `json:"name"`
	// Incarnation increases with every start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with every announcement of an incarnation.
	Sequence   uint64 `json:"sequence"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Accelerator is the kind of accelerator.
	Accelerator string `json:"accelerator,omitempty"`
	// Services are the plain services that the server runs.
	Services []string `json:"services,omitempty"`
	Model    string   `json:"model,omitempty"`
	Layers   Range    `json:"layers,omitzero"`
	// Version is the version of the model, Adapters are the loaded adapters.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Role is the phase of inference that the engine runs: "prefill" or "decode" in the settings;
	// "" means both.
	Role string `json:"role,omitempty"`
	// Order is the last order that the server has accepted.
	Order OrderReport `json:"order,omitzero"`
	// PartialRange means that the server can run part of its layers.
	PartialRange bool `json:"partial_range,omitempty"`
	// Slots is the number of requests that the server can batch.
	Slots int `json:"slots"`
	// StepMicros is the time of one decoding step with one request, in microseconds.
	StepMicros int `json:"step_micros,omitempty"`
	// PrefillMicros is the time to prefill one token, in microseconds.
	PrefillMicros int `json:"prefill_micros,omitempty"`
	// ChecksFences means that the server refuses orders with an old fencing token.
	ChecksFences bool `json:"checks_fences,omitempty"`
	// ResolvesRequests means that the server can report the outcome of an earlier request.
	ResolvesRequests bool `json:"resolves_requests,omitempty"`
	// Leaving means that the server accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	Load    Load `json:"load"`
}

// SameDescription reports whether a and b are equal except for sequence and load.
func (b BackendServer) SameDescription(a BackendServer) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Load, b.Load = Load{}, Load{}
	return reflect.DeepEqual(a, b)
}

// Runs reports whether the server runs the plain service.
func (b BackendServer) Runs(service string) bool {
	for _, s := range b.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Lease is the time during which a backend server may be given new work.
type Lease struct {
	Server  BackendServer
	Expires time.Time
	// Direct means that the server announced itself to this instance.
	Direct bool
	// FirstSequence is, for a direct lease, the sequence number of the first announcement since the
	// server last changed its description, announced itself elsewhere or skipped a sequence
	// number.
	FirstSequence uint64
}
