package gateway

import (
	"sync"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/routing"
)

// view is the state by which requests are routed. It is replaced as a whole when the mesh changes.
type view struct {
	table   *routing.Table
	servers map[string]*discovery.Announcement
	// plain holds the ready and silent servers of each service.
	plain map[string][]*discovery.Announcement
	// byAddress maps the address of a server, as reported in a fault, to its ID.
	byAddress map[string]string
	searches  map[string]*search
	// states holds the state of every server, including those that take no new requests.
	states map[string]discovery.State
	// incarnations holds the incarnation of every server.
	incarnations map[string]int64
	unresponsive map[string]bool
	fence        uint64
	// dataCentres is the number of data centres with servers.
	dataCentres int
}

// search finds paths for one service. mu guards the usage that paths holds for each server.
type search struct {
	mu     sync.Mutex
	paths  *layers.Search
	engine *routing.Engine
}

func newView(s mesh.Snapshot) *view {
	v := &view{
		table:        s.Table,
		servers:      make(map[string]*discovery.Announcement),
		plain:        make(map[string][]*discovery.Announcement),
		byAddress:    make(map[string]string),
		searches:     make(map[string]*search),
		states:       make(map[string]discovery.State),
		incarnations: make(map[string]int64),
		unresponsive: s.Unresponsive,
		fence:        s.Fence,
	}
	holders := make(map[string][]layers.Holder)
	centres := make(map[string]bool)
	for i := range s.Servers {
		a := &s.Servers[i]
		v.states[a.ID] = a.State
		v.incarnations[a.ID] = a.Incarnation
		centres[a.DataCentre] = true
		if a.State != discovery.StateLeft {
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

// isSilent reports whether the announcements of a server are missing. The server may still work:
// perhaps only its connection to the control instances is cut, and not its connections to the
// gateways.
func (v *view) isSilent(id string) bool { return v.states[id] == discovery.StateSilent }

// announces reports whether the announcements of a server are received.
func (v *view) announces(id string) bool {
	return v.states[id] == discovery.StateReady || v.states[id] == discovery.StateDraining
}

// crashOf returns the crash that would end the current incarnation of a server.
func (v *view) crashOf(id string) quarantine.Crash {
	return quarantine.Crash{Server: id, Incarnation: uint64(v.incarnations[id])}
}

func (v *view) isKnown(id string) bool {
	_, ok := v.states[id]
	return ok
}
