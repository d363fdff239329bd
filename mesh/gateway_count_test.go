package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

// Pattern: all control instances are overloaded or lost, and each gateway loses all its watches. Guards against gateways
// that then take the whole of what all share: limits of servers, their room, and the retry reserve
// (docs/incidents/election-storm.md).
func TestGatewayWithoutControlInstancesKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newTestMesh(t, "")
		const a, b = "10.0.0.1:7", "10.0.0.2:7"
		for range 2 {
			m.mergeHeartbeat(a, &wire.WatchBeat{Gateways: 195, Rank: 18})
			m.mergeHeartbeat(b, &wire.WatchBeat{Gateways: 190, Rank: 17})
			time.Sleep(gatewaySettleTime)
		}
		m.forgetReports(a)
		is.Equal(m.Gateways(), 190) // one is still connected
		m.forgetReports(b)
		rank, gateways := m.Rank()
		is.Equal(gateways, 190)
		is.Equal(rank, 16)
		is.Equal(m.Gateways(), 190)
		m.forgetReports(b) // another try to connect has failed
		is.Equal(m.Gateways(), 190)

		m.mergeHeartbeat(a, &wire.WatchBeat{Gateways: 191, Rank: 18})
		rank, gateways = m.Rank()
		is.Equal(gateways, 191) // more count at once
		is.Equal(rank, 17)
		time.Sleep(gatewaySettleTime)
		m.mergeHeartbeat(a, &wire.WatchBeat{Gateways: 3, Rank: 2})
		rank, gateways = m.Rank()
		is.Equal(gateways, 3) // what is connected counts again
		is.Equal(rank, 1)
		m.mergeHeartbeat(b, &wire.WatchBeat{Gateways: 4, Rank: 1})
		m.forgetReports(a)
		is.Equal(m.Gateways(), 4)
	})
}

// Pattern: all control instances restart within moments, so that each knows only the gateways that have connected again.
// Guards against gateways that connect first and then take the share of a few for their own.
func TestRestartOfAllControlInstancesKeepsTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newTestMesh(t, "")
		const a, b = "10.0.0.1:7", "10.0.0.2:7"
		beat := func(address string, gateways, rank uint32) {
			m.mergeHeartbeat(address, &wire.WatchBeat{Gateways: gateways, Rank: rank})
		}
		is195 := func() {
			t.Helper()
			rank, gateways := m.Rank()
			is.Equal(gateways, 195)
			is.Equal(rank, 17)
			is.Equal(m.Gateways(), 195)
		}
		for range 6 {
			beat(a, 195, 18)
			beat(b, 195, 18)
			time.Sleep(time.Second)
		}
		m.forgetReports(a)
		beat(a, 3, 2) // has restarted; b is next
		m.forgetReports(b)
		is195()
		time.Sleep(time.Second)
		m.forgetReports(a)
		is195()
		time.Sleep(time.Minute) // nobody is connected
		for i := range uint32(9) {
			beat(a, 3+i, 2)
			beat(b, 4+i, 2)
			is195()
			time.Sleep(500 * time.Millisecond)
		}
		m.forgetReports(b) // one link fails; the other control instance is heard all the time
		time.Sleep(500 * time.Millisecond)
		beat(a, 150, 10)
		rank, gateways := m.Rank()
		is.Equal(gateways, 150) // the others are gone
		is.Equal(rank, 9)
		is.Equal(m.Gateways(), 150)
		beat(b, 1, 1)
		is.Equal(m.Gateways(), 150)
		m.forgetReports(b)
		is.Equal(m.Gateways(), 150)
	})
}
