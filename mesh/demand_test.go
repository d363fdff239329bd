package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

func TestGatewayLearnsTheDemandOfTheOthersInItsDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control, gateway := newTestMesh(t, "10.0.0.5:7"), newTestMesh(t, "")
		own := []RankDemand{{Service: "advice", Rank: 2, Running: 3, Waiting: 1, Arriving: 0.5}}
		gateway.SetLocalDemand(func() []RankDemand { return own })
		w := gateway.newWatcher("10.0.0.5:7")
		f := control.NewWatchFeed(w.Request())
		other := control.NewWatchFeed(&wire.WatchRequest{Name: "g2", DataCentre: "a", Demand: []*wire.RankDemand{
			{Service: "advice", Rank: 0, Running: 4, Refused: 2}, {Service: "advice", Rank: 2, Running: 5},
		}})
		control.NewWatchFeed(&wire.WatchRequest{Name: "g3", DataCentre: "b", Demand: []*wire.RankDemand{{Service: "advice", Running: 100}}})
		heard := func() []RankDemand {
			time.Sleep(usageInterval)
			w.HandleHeartbeat("10.0.0.5:7", next(t, f))
			return gateway.PeerDemand().Demand
		}
		is.Equal(heard(), []RankDemand{{Service: "advice", Rank: 0, Running: 4, Refused: 2}, {Service: "advice", Rank: 2, Running: 5}})
		is.Equal(gateway.PeerDemand().At, time.Now())
		is.Equal(control.Demand("advice"), map[string]float64{"a": 15, "b": 100})

		other.Close()
		is.Equal(heard(), []RankDemand{{Service: "advice", Rank: 2}})
		is.Equal(control.Demand("advice"), map[string]float64{"a": 4, "b": 100})
	})
}

// Guards against a plan that takes layers from a data centre whose gateways run drafts and report no demand, as those of
// f7e7bc0, and against gateways of this build that take such drafts for none.
func TestRunningDraftsOfGatewaysThatReportNoDemandCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control, gateway := newTestMesh(t, "10.0.0.5:7"), newTestMesh(t, "")
		own := []RankDemand{{Service: "advice", Rank: 2, Running: 3}}
		gateway.SetLocalDemand(func() []RankDemand { return own })
		gateway.SetLocalUsage(func() []Usage { return []Usage{{Server: "advice-1", Drafts: 3, Heads: 3}} })
		for _, id := range []string{"advice-1", "advice-2"} {
			control.Announce(time.Now(), discovery.Announcement{ID: id, Sequence: 1, Address: id, Service: "advice", State: discovery.StateReady})
		}
		w := gateway.newWatcher("10.0.0.5:7")
		f := control.NewWatchFeed(w.Request())
		older := []*wire.DraftUse{{Server: "advice-1", Drafts: 5, Heads: 4}, {Server: "advice-2", Drafts: 5, Heads: 1}, {Server: "unknown", Heads: 9}}
		control.NewWatchFeed(&wire.WatchRequest{Name: "old-a", DataCentre: "a", Running: older})
		control.NewWatchFeed(&wire.WatchRequest{Name: "old-b", DataCentre: "b", Running: older})
		is.Equal(control.Demand("advice"), map[string]float64{"a": 8, "b": 5})
		time.Sleep(usageInterval)
		w.HandleHeartbeat("10.0.0.5:7", next(t, f))
		is.Equal(gateway.PeerDemand().Demand, []RankDemand{{Service: "advice", Running: 5}, {Service: "advice", Rank: 2}})
	})
}

func TestDemandOfAnotherDataCentreIsNotTaken(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	m.mergeHeartbeat("10.0.0.9:7", &wire.WatchBeat{DataCentre: "b", HasDemand: true, Demand: []*wire.RankDemand{{Service: "advice", Running: 9}}})
	is.True(m.PeerDemand().At.IsZero())
	m.mergeHeartbeat("10.0.0.9:7", &wire.WatchBeat{DataCentre: "a"}) // of an older release
	is.True(m.PeerDemand().At.IsZero())
}
