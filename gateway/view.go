package gateway

import (
	"sync"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/routing"
)

// view is what requests are routed by. It is replaced as a whole when the mesh changes.
type view struct {
	table   *routing.Table
	servers map[string]*discovery.Announcement
	// plain holds the ready servers of each service.
	plain map[string][]*discovery.Announcement
	// byAddress finds the server that an answer blames.
	byAddress map[string]string
	searches  map[string]*search
	// states are those of all servers, also of those that take nothing new.
	states   map[string]discovery.State
	suspects map[string]bool
	fence    uint64
	// dataCentres is the number of data centres that servers stand in.
	dataCentres int
}

// search is the search for paths of one service. Its lock guards the use of its holders.
type search struct {
	mu     sync.Mutex
	paths  *layers.Search
	engine *routing.Engine
}

func newView(s mesh.Snapshot) *view {
	v := &view{
		table:     s.Table,
		servers:   make(map[string]*discovery.Announcement),
		plain:     make(map[string][]*discovery.Announcement),
		byAddress: make(map[string]string),
		searches:  make(map[string]*search),
		states:    make(map[string]discovery.State),
		suspects:  s.Suspects,
		fence:     s.Fence,
	}
	holders := make(map[string][]layers.Holder)
	centres := make(map[string]bool)
	for i := range s.Servers {
		a := &s.Servers[i]
		v.states[a.ID] = a.State
		centres[a.DataCentre] = true
		if a.State != discovery.StateGone {
			v.byAddress[a.Address] = a.ID
		}
		if a.State != discovery.StateReady && a.State != discovery.StateSilent {
			continue
		}
		v.servers[a.ID] = a
		v.plain[a.Service] = append(v.plain[a.Service], a)
		if a.HasLayers && a.LayersTo > a.LayersFrom {
			holders[a.Service] = append(holders[a.Service], layers.Holder{
				ID: a.ID, Address: a.Address, DataCentre: a.DataCentre, Accelerator: a.Accelerator,
				From: a.LayersFrom, To: a.LayersTo,
			})
		}
	}
	v.dataCentres = len(centres)
	if s.Table == nil {
		return v
	}
	s.Table.Services(func(svc *routing.Service) {
		if svc.Engine != nil {
			v.searches[svc.Name] = &search{paths: layers.NewSearch(svc.Engine, holders[svc.Name]), engine: svc.Engine}
		}
	})
	return v
}

// isSilent reports whether the control instances hear nothing of a server. It may work all the
// same: its way to them may be cut, and not that to the gateways.
func (v *view) isSilent(id string) bool { return v.states[id] == discovery.StateSilent }

func (v *view) isKnown(id string) bool {
	_, ok := v.states[id]
	return ok
}
