package backend

import (
	"testing"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
)

// Guards against one server whose announcement makes the leader go through billions of layers at each
// plan.
func TestAnnouncedLayersAreBounded(t *testing.T) {
	is := is.New(t)
	s := fleet.BackendServer{
		Name: "s", Incarnation: 1, DataCentre: "kandy", Address: "127.0.0.1:9000", Slots: 1, Model: "m",
		Layers: fleet.Range{From: 0, To: fleet.MaxLayers},
	}
	is.Equal(checkAnnouncement(s), "")
	s.Layers.To++
	is.True(checkAnnouncement(s) != "")
	s.Model = "" // a server without a model has no layers, but those of an announcement are kept
	is.True(checkAnnouncement(s) != "")
}
