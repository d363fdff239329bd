package settings

import (
	"slices"

	"github.com/balsamlb/balsamlb/fleet"
)

// Engine is the desired state of the engine of one backend server.
type Engine struct {
	Model   string
	Layers  fleet.Range
	Version string
	// Adapters are sorted by name.
	Adapters []string
	// Role is the phase of inference that the engine runs: "prefill" or "decode"; "" means both.
	Role string
}

func (r *reader) engine(sources []source, name, file string) Engine {
	section := "server " + name
	layers, _ := parseLayers(r.value(sources, section, "layers"))
	e := Engine{
		Model:    r.value(sources, section, "model"),
		Layers:   layers,
		Version:  r.value(sources, section, "version"),
		Adapters: splitList(r.value(sources, section, "adapters")),
		Role:     r.value(sources, section, "role"),
	}
	slices.Sort(e.Adapters)
	if e.Model == "" {
		r.addFault(file, section, "model", "", "is required")
	}
	if e.Layers.Len() == 0 {
		r.addFault(file, section, "layers", "0-0", "must not be empty")
	}
	return e
}
