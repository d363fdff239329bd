package gateway

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against blaming requests for the end of a server that has said in an answer that it leaves.
func TestEndOfServerThatSaidItLeavesIsNoCrash(t *testing.T) {
	for name, test := range map[string]struct {
		saysSo    bool
		isCrashed bool
	}{"said that it leaves": {true, false}, "said nothing": {false, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, err := mesh.New(mesh.Options{Name: "g", DataCentre: "a", Log: logr.Discard()})
			is.NoErr(err)
			g := New(Options{Name: "g", DataCentre: "a", Mesh: m, Orders: noOrders{}, Registry: prometheus.NewRegistry(), Log: logr.Discard()})
			announce := func(id string, incarnation int64) *view {
				m.Announce(time.Now(), discovery.Announcement{
					ID: id, Incarnation: incarnation, Sequence: 1, Service: "desk", Address: "10.0.0.1:80", DataCentre: "a", Release: "v1", State: discovery.StateReady,
				})
				return newView(m.Snapshot())
			}
			before := announce("s1", 1)
			g.view.Store(before)
			if test.saysSo {
				g.RecordLeaving("10.0.0.1:80")
			}
			g.recordEndedServers(before, announce("s1", 2))
			is.Equal(g.lost.isConfirmed(quarantine.Crash{Server: "s1", Incarnation: 1}), test.isCrashed)
		})
	}
}
