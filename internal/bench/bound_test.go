package bench

import (
	"math"
	"testing"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
)

func TestBoundIsLimitedByLayersWithLeastCapacity(t *testing.T) {
	is := is.New(t)
	server := func(from, to, slots int) fleet.BackendServer {
		return fleet.BackendServer{Model: benchModel, Layers: fleet.Range{From: from, To: to}, Slots: slots, StepMicros: 10_000}
	}
	one := capacity(server(0, 32, 1), 0, 1)
	is.Equal(one, 100.0)
	two := []fleet.BackendServer{server(0, 16, 1), server(0, 16, 1), server(16, 32, 1)}
	is.Equal(throughputBound(two, 32, 0, 1), one)
	is.Equal(throughputBound(append(two, server(0, 32, 1)), 32, 0, 1), 2*one)
	// The maximum flow takes the paths 0-8-32 and 0-16-32. An algorithm that first sends flow over
	// 0-8-16-32 has to undo that flow.
	crossed := []fleet.BackendServer{server(0, 8, 1), server(0, 16, 1), server(8, 16, 1), server(8, 32, 1), server(16, 32, 1)}
	is.True(math.Abs(throughputBound(crossed, 32, 0, 1)-2*one) < 1e-6)
}
