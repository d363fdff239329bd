package routing

import (
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by every error that rejects a document.
var ErrInvalid = errors.New("routing: invalid document")

// MaxLayers bounds the layers of a model, since the cost of planning grows with them.
const MaxLayers = 4096

type hostPrefix struct{ host, prefix string }

// Validate returns the first error found in the document, or nil.
func (d *Document) Validate() error {
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if services[s.Name] {
			return fmt.Errorf("%w: service %q is defined twice", ErrInvalid, s.Name)
		}
		services[s.Name] = true
		if s.Engine != nil && (s.Engine.Layers < 0 || s.Engine.Layers > MaxLayers) {
			return fmt.Errorf("%w: service %q has a model of %d layers", ErrInvalid, s.Name, s.Engine.Layers)
		}
	}
	places := make(map[hostPrefix]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		at := hostPrefix{r.Host, r.Prefix}
		if other, ok := places[at]; ok {
			return fmt.Errorf("%w: routes %q and %q have the same host and prefix", ErrInvalid, other, r.Name)
		}
		places[at] = r.Name
	}
	return d.validateKeys()
}

func (r *Route) validate(services map[string]bool) error {
	if r.TimeLimit <= 0 {
		return fmt.Errorf("%w: route %q has no time limit", ErrInvalid, r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return fmt.Errorf("%w: route %q names the unknown service %q", ErrInvalid, r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("%w: route %q has a negative weight", ErrInvalid, r.Name)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fmt.Errorf("%w: the weights of route %q add up to 0", ErrInvalid, r.Name)
	}
	return nil
}

func (d *Document) validateKeys() error {
	holders := make(map[string]string)
	for _, w := range d.Workspaces {
		for _, k := range w.Keys {
			if other, ok := holders[k]; ok && other != w.Name {
				return fmt.Errorf("%w: workspaces %q and %q share a key", ErrInvalid, other, w.Name)
			}
			holders[k] = w.Name
		}
	}
	return nil
}
