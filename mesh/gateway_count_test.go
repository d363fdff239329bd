package mesh

import (
	"testing"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

// Pattern: all control instances are overloaded or lost, and each gateway loses all its watches. Guards against gateways
// that then take the whole of what all share: limits of servers, their room, and the retry reserve
// (docs/incidents/election-storm.md).
func TestGatewayWithoutControlInstancesKeepsItsShare(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	const a, b = "10.0.0.1:7", "10.0.0.2:7"
	m.mergeHeartbeat(a, &wire.WatchBeat{Gateways: 195, Rank: 18})
	m.mergeHeartbeat(b, &wire.WatchBeat{Gateways: 190, Rank: 17})
	m.forgetReports(a)
	is.Equal(m.Gateways(), 190) // one is still connected
	m.forgetReports(b)
	rank, gateways := m.Rank()
	is.Equal(gateways, 190)
	is.Equal(rank, 16)
	is.Equal(m.Gateways(), 190)
	m.forgetReports(b) // another try to connect has failed
	is.Equal(m.Gateways(), 190)

	m.mergeHeartbeat(a, &wire.WatchBeat{Gateways: 3, Rank: 2})
	rank, gateways = m.Rank()
	is.Equal(gateways, 3) // what is connected counts again
	is.Equal(rank, 1)
	m.mergeHeartbeat(b, &wire.WatchBeat{Gateways: 4, Rank: 1})
	m.forgetReports(a)
	is.Equal(m.Gateways(), 4)
}
