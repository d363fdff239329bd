package settings

import (
	"slices"

	"github.com/balsamlb/balsamlb/fleet"
)

// Engine is what the engine of one backend server is to hold and do.
type Engine struct {
	Model   string
	Layers  fleet.Range
	Version string
	// Adapters are in the order of their names.
	Adapters []string
	// Role is "" for all work.
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
		r.fault(file, section, "model", "", "is required")
	}
	if e.Layers.Len() == 0 {
		r.fault(file, section, "layers", "0-0", "must not be empty")
	}
	return e
}
