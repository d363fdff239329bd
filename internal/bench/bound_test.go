package bench

import (
	"math"
	"testing"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
)

func TestBoundIsThatOfTheNarrowestLayers(t *testing.T) {
	is := is.New(t)
	server := func(from, to, slots int) fleet.BackendServer {
		return fleet.BackendServer{Model: benchModel, Layers: fleet.Range{From: from, To: to}, Slots: slots, StepMicros: 10_000}
	}
	one := capacity(server(0, 32, 1), 0, 1)
	is.Equal(one, 100.0)
	two := []fleet.BackendServer{server(0, 16, 1), server(0, 16, 1), server(16, 32, 1)}
	is.Equal(bound(two, 32, 0, 1), one)
	is.Equal(bound(append(two, server(0, 32, 1)), 32, 0, 1), 2*one)
	// A path that was taken first must be given back: 0-16-32 and 0-8-16, 8-32.
	crossed := []fleet.BackendServer{server(0, 8, 1), server(0, 16, 1), server(8, 16, 1), server(8, 32, 1), server(16, 32, 1)}
	is.True(math.Abs(bound(crossed, 32, 0, 1)-2*one) < 1e-6)
}
